"""INI parser that keeps the line numbers of sections and keys."""

import configparser
import re

import attrs

from .findings import Finding, Place

_SECTION_LINE = re.compile(r"^\[(?P<section>[^]]+)\]")
_KEY_LINE = re.compile(r"^(?P<key>[^\s#;=:][^=:]*?)\s*[=:]")


@attrs.frozen(kw_only=True)
class IniValue:
    """An unparsed value and the line number of its key."""

    text: str
    line: int


@attrs.frozen(kw_only=True)
class IniSection:
    """A section, the line number of its header and its values by key."""

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
    # With an empty default section, a section named DEFAULT is an ordinary one.
    parser = configparser.ConfigParser(
        interpolation=None, strict=False, default_section=""
    )
    # The standard transformation to lower case would change keys in findings.
    parser.optionxform = str
    findings = []
    try:
        parser.read_string(text, source=file)
    except configparser.MissingSectionHeaderError as error:
        place = Place(file=file, line=error.lineno)
        return {}, [Finding(place=place, message="a key before the first section")]
    except configparser.ParsingError as error:
        # ConfigParser raises ParsingError only after parsing all other lines.
        findings = [
            Finding(
                place=Place(file=file, line=line),
                message="the line is neither a key nor a section header",
            )
            for line, _ in error.errors
        ]
    section_lines, key_lines, duplicate_findings = _locate_lines(text, file=file)
    findings += duplicate_findings
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
    """Return line numbers of sections and keys, and findings for duplicates."""
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
                message = f"section is already defined in line {section_lines[section]}"
                findings.append(Finding(place=place, message=message))
            section_lines.setdefault(section, line_number)
            continue
        key_line = _KEY_LINE.match(line)
        if not key_line:
            continue
        key = key_line["key"]
        if (section, key) in key_lines:
            place = Place(file=file, section=section, key=key, line=line_number)
            message = f"key is already defined in line {key_lines[section, key]}"
            findings.append(Finding(place=place, message=message))
        key_lines[section, key] = line_number
    return section_lines, key_lines, findings
