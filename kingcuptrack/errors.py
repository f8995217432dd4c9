"""Errors that no code expects: their log lines, their count and their text.

They are caught so that one malformed message or one faulty job stops nothing else. Each
is a line at level ERROR, which is counted in production and fails the plays of tests.
"""

import contextlib

import attrs
from loguru import logger

LEVEL = "ERROR"


@attrs.frozen(kw_only=True)
class CaughtError:
    """An unexpected error that was logged, as ``event`` and ``outcome``."""

    event: str
    outcome: str
    fields: dict


def log_error(event, *, outcome, error=None, **fields):
    """Log an unexpected error that was caught, or what such an error has left.

    Parameters
    ----------
    event, outcome : str
        As of `logs.log_event`.
    error : BaseException, optional
        Described as the ``reason`` of the line.
    **fields
    """
    if error is not None:
        fields["reason"] = describe_error(error)
    bound = logger.bind(event=event, outcome=outcome, **fields)
    bound.error("{}: {}", event, outcome)


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


def watch_errors(note):
    """Call a function with each `CaughtError`; returns the id of the loguru handler."""

    def write(message):
        fields = dict(message.record["extra"])
        note(
            CaughtError(
                event=fields.pop("event"), outcome=fields.pop("outcome"), fields=fields
            )
        )

    # A filter by name lets pass what this module logs.
    return logger.add(write, level=LEVEL, filter=__name__)


@contextlib.contextmanager
def collect_errors():
    """Log nothing but unexpected errors; yields a list of `CaughtError`."""
    errors = []
    package = __name__.partition(".")[0]
    logger.disable(package)
    logger.enable(__name__)
    handler_id = watch_errors(errors.append)
    try:
        yield errors
    finally:
        logger.remove(handler_id)
        logger.enable(package)
