"""``kingcuptrack-check-settings``: checks settings files and describes all settings.

Exit codes: 0 no findings; 2 bad usage or findings.
"""

import json as json_module
import sys
from pathlib import Path

import attrs
import defopt

from ..findings import Finding, Place
from ..protocol.bodies import encode_findings
from ..settings import Settings, load_settings


def check_settings(*files: Path, describe: bool = False, json: bool = False):
    """Check settings files and report the findings of all of them.

    Files given together are checked for instance ids and addresses used twice.

    :param files: INI files with the settings of one instance each
    :param describe: print all settings as a Markdown table instead
    :param json: print the findings as JSON
    """
    if describe:
        print(describe_settings(), end="")
        return 0
    if not files:
        print("error: no settings file given", file=sys.stderr)
        return 2
    findings = check_files(files)
    if json:
        print(json_module.dumps({"findings": encode_findings(findings)}, indent=2))
    else:
        for finding in findings:
            print(finding)
        print(f"{len(files)} files checked, {len(findings)} findings")
    return 2 if findings else 0


def check_files(files):
    """Return the findings of each file, and ids and addresses that files share."""
    findings = []
    loaded_by_file = {}
    for file in files:
        loaded, file_findings = load_settings(file)
        findings += file_findings
        if loaded is not None:
            loaded_by_file[str(file)] = loaded
    return findings + _duplicate_findings(loaded_by_file)


def _duplicate_findings(loaded_by_file):
    first_uses = {}
    findings = []
    for file, loaded in loaded_by_file.items():
        ip = loaded.listen_ip
        uses = (
            ("instance_id", loaded.instance_id),
            ("http_port", f"{ip}:{loaded.http_port}"),
            ("peer_port", f"{ip}:{loaded.peer_port}"),
        )
        for key, value in uses:
            kind = "id" if key == "instance_id" else "address"
            first_file, first_key = first_uses.setdefault((kind, value), (file, key))
            if (first_file, first_key) != (file, key):
                place = Place(file=file, section="instance", key=key)
                message = f"{value} is used by {first_file} ({first_key})"
                findings.append(Finding(place=place, message=message))
    return findings


def describe_settings():
    """Return Markdown tables of all settings, one for each section."""
    lines = []
    section = ""
    for field in attrs.fields(Settings):
        if field.metadata["section"] != section:
            section = field.metadata["section"]
            lines += [
                "" if lines else None,
                f"## [{section}]",
                "",
                "| Key | Default | Range | Meaning |",
                "| --- | --- | --- | --- |",
            ]
        lines.append(_format_table_row(field))
    return "".join(f"{line}\n" for line in lines if line is not None)


def _format_table_row(field):
    metadata = field.metadata
    default = "required" if field.default is attrs.NOTHING else f"`{field.default}`"
    if field.default == "":
        default = "empty"
    limits = ""
    if metadata["choices"]:
        limits = ", ".join(f"`{choice}`" for choice in metadata["choices"])
    elif metadata["minimum"] is not None:
        limits = f"{metadata['minimum']} to {metadata['maximum']}"
    return f"| `{field.name}` | {default} | {limits} | {metadata['help']} |"


def main():
    """Run the program and exit with its exit code."""
    sys.exit(defopt.run(check_settings, short={}))


if __name__ == "__main__":
    main()
