"""INI text as sections of values that know their line."""

import configparser
import re

import attrs

from .findings import Finding, Place

_SECTION_LINE = re.compile(r"^\[(?P<section>[^]]+)\]")
_KEY_LINE = re.compile(r"^(?P<key>[^\s#;=:][^=:]*?)\s*[=:]")


@attrs.frozen(kw_only=True)
class IniValue:
    """A raw value and the line of its key."""

    text: str
    line: int


@attrs.frozen(kw_only=True)
class IniSection:
    """A section, the line of its header and its values by key."""

    name: str
    line: int
    values: dict


def parse_ini(text, *, file):
    """Parse INI text.

    Returns
    -------
    sections : dict of str to IniSection
    findings : list of Finding
        Syntax errors, duplicate sections and duplicate keys.
    """
    # Without a section for defaults, one named DEFAULT is like any other.
    parser = configparser.ConfigParser(
        interpolation=None, strict=False, default_section=""
    )
    # Keeps the case of keys, so that findings show them as written.
    parser.optionxform = str
    findings = []
    try:
        parser.read_string(text, source=file)
    except configparser.MissingSectionHeaderError as error:
        place = Place(file=file, line=error.lineno)
        return {}, [Finding(place=place, message="a key before the first section")]
    except configparser.ParsingError as error:
        # Raised after everything else has been parsed.
        findings = [
            Finding(
                place=Place(file=file, line=line), message="neither key nor section"
            )
            for line, _ in error.errors
        ]
    section_lines, key_lines, more = _locate_lines(text, file=file)
    findings += more
    sections = {
        name: IniSection(
            name=name,
            line=section_lines.get(name, 0),
            values={
                key: IniValue(text=value, line=key_lines.get((name, key), 0))
                for key, value in parser.items(name)
            },
        )
        for name in parser.sections()
    }
    return sections, findings


def _locate_lines(text, *, file):
    section_lines = {}
    key_lines = {}
    findings = []
    section = ""
    for line_number, line in enumerate(text.split("\n"), start=1):
        header = _SECTION_LINE.match(line)
        if header:
            section = header["section"]
            if section in section_lines:
                place = Place(file=file, section=section, line=line_number)
                message = f"section repeats line {section_lines[section]}"
                findings.append(Finding(place=place, message=message))
            section_lines.setdefault(section, line_number)
            continue
        key_line = _KEY_LINE.match(line)
        if not key_line:
            continue
        key = key_line["key"]
        if (section, key) in key_lines:
            place = Place(file=file, section=section, key=key, line=line_number)
            message = f"key repeats line {key_lines[section, key]}"
            findings.append(Finding(place=place, message=message))
        key_lines[section, key] = line_number
    return section_lines, key_lines, findings
