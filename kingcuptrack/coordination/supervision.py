"""Tasks that continue after an unexpected error.

One malformed message or one error in the handling of one worker must not end the
process, since the next instance would meet the same error.
"""

import anyio

from ..errors import log_error
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
            log_error("task", outcome="failed", error=error, name=name)
            await anyio.sleep(RESTART_SECONDS)
        else:
            return
