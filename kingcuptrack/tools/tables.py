"""Plain-text tables."""


def format_table(headers, rows):
    """Return headers and rows as aligned text; columns of numbers are right-aligned."""
    texts = [[_format_value(value) for value in row] for row in rows]
    lines = [list(headers), *texts]
    widths = [max(len(line[index]) for line in lines) for index in range(len(headers))]
    are_numbers = [
        bool(rows) and all(_is_number(row[index]) for row in rows)
        for index in range(len(headers))
    ]
    return "\n".join(
        "  ".join(
            text.rjust(width) if is_right_aligned else text.ljust(width)
            for text, width, is_right_aligned in zip(
                line, widths, are_numbers, strict=True
            )
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
