"""Tasks that continue after an unexpected error.

One malformed message or one error in the handling of one worker must not end the
process, since the next instance would meet the same error.
"""

import anyio

from ..logs import log_event
from .commits import LeadershipLostError

# Pause before a failed task starts again, so that a permanent error costs little.
RESTART_SECONDS = 1.0


async def supervise(name, function):
    """Run an async function, again after each unexpected error, until it returns.

    Raises
    ------
    LeadershipLostError
        Ends the term of a scheduler, and so its tasks.
    """
    while True:
        try:
            await function()
        except LeadershipLostError:
            raise
        except Exception as error:
            log_event("task", outcome="failed", name=name, reason=describe_error(error))
            await anyio.sleep(RESTART_SECONDS)
        else:
            return


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
