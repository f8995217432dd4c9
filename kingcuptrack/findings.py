"""Problems found in input, reported together with their locations."""

import attrs


@attrs.frozen(kw_only=True)
class Place:
    """Location of a finding in the input; unknown parts are empty or zero."""

    file: str = ""
    section: str = ""
    key: str = ""
    line: int = 0

    def __str__(self):
        parts = [self.file or "input"]
        if self.line:
            parts[0] += f":{self.line}"
        if self.section:
            parts.append(f"[{self.section}]")
        if self.key:
            parts.append(self.key)
        return " ".join(parts)


@attrs.frozen(kw_only=True)
class Finding:
    """One problem and its location; a warning does not prevent use of the input."""

    place: Place
    message: str
    is_warning: bool = False

    def __str__(self):
        level = "warning" if self.is_warning else "error"
        return f"{self.place}: {level}: {self.message}"


def has_errors(findings):
    """Return whether any finding is an error."""
    return any(not finding.is_warning for finding in findings)
