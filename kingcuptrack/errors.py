"""Text of errors for logs."""


def describe_error(error):
    """Return type, text and place of an error, or of the first error of a group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    place = ""
    trace = error.__traceback__
    while trace is not None:
        code = trace.tb_frame.f_code
        place = f" in {code.co_name}, {code.co_filename}:{trace.tb_lineno}"
        trace = trace.tb_next
    return f"{error!r}{place}"
