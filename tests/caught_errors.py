"""Fails plays in which an unexpected error was caught."""

import contextlib
import json

from kingcuptrack.errors import LEVEL, collect_errors

from .support import check


@contextlib.contextmanager
def no_caught_errors(*, allowed_events=()):
    """Log nothing, and fail if an unexpected error is caught.

    Yields a list of all `CaughtError`; those that a test injects have
    ``allowed_events``.
    """
    with collect_errors() as errors:
        yield errors
    unexpected = [error for error in errors if error.event not in allowed_events]
    check.assertEqual(unexpected, [])


def find_logged_errors(directory, *, allowed_events=()):
    """Return the lines of unexpected errors in the log files of a directory.

    What is no log line, such as a traceback, is an unexpected error as well.
    """
    found = []
    for path in sorted(directory.glob("*.log")):
        for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
            try:
                line = json.loads(text)
            except ValueError:
                is_error = text.startswith("Traceback")
            else:
                is_error = (
                    isinstance(line, dict)
                    and line.get("level") == LEVEL
                    and line.get("event") not in allowed_events
                )
            if is_error:
                found.append(f"{path.name}: {text}")
    return found
