"""Plain-text tables."""


def format_table(headers, rows):
    """Return rows of values as aligned text, numbers to the right."""
    texts = [[_format_value(value) for value in row] for row in rows]
    lines = [list(headers), *texts]
    widths = [max(len(line[index]) for line in lines) for index in range(len(headers))]
    is_number = [
        bool(rows) and all(_is_number(row[index]) for row in rows)
        for index in range(len(headers))
    ]
    return "\n".join(
        "  ".join(
            text.rjust(width) if right else text.ljust(width)
            for text, width, right in zip(line, widths, is_number, strict=True)
        ).rstrip()
        for line in lines
    )


def _is_number(value):
    return value is None or (
        isinstance(value, int | float) and not isinstance(value, bool)
    )


def _format_value(value):
    if value is None:
        return "?"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
