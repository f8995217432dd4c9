"""Reads that are repeated while their first attempt is still unanswered.

A read without an answer may be lost on a broken connection, or the store may be slow.
One timeout cannot suit both: a short one never lets a slow store answer, and a long one
spends the caller's time on the broken connection. So a further attempt is made soon,
and the earlier ones may still answer.
"""

import functools
import math

import anyio

from ..outcomes import Done, Refused, Unknown
from .ports import HISTORY_LOST

# Attempts that wait at the same time; a further one replaces the oldest. Bounds the
# load on a store that is slow.
ATTEMPTS_LIMIT_COUNT = 4


async def hedge(read, *, delay_seconds, limit_seconds, may_repeat=lambda: True):
    """Return the outcome of a read, which must not have any effect.

    Parameters
    ----------
    read : async callable
        Takes ``timeout_seconds`` and ``note_begun`` as `ports.Store.read` does, and
        returns an outcome.
    delay_seconds : float
        Time without an answer after which the read is repeated, unless an answer has
        begun to arrive: a repetition would only slow down a large one.
    limit_seconds : float
        Time after which attempts end that are still without any answer.
    may_repeat : callable, optional
        Is called before each repetition; the read ends as Unknown if it returns False.

    Returns
    -------
    Done, Refused or Unknown
        The first `Done`, or refusal because the history is lost: every attempt would
        meet it. Another attempt that fails is the outcome if no other one waits.
    """
    deadline_seconds = anyio.current_time() + limit_seconds
    send, receive = anyio.create_memory_object_stream(math.inf)
    # Cancel scopes of the attempts that wait, oldest first, and those of them whose
    # answer has begun to arrive.
    waiting, begun = [], set()

    async def attempt(scope):
        remaining_seconds = max(0.0, deadline_seconds - anyio.current_time())
        with scope:
            outcome = await read(
                timeout_seconds=remaining_seconds,
                note_begun=functools.partial(begun.add, scope),
            )
            waiting.remove(scope)
            begun.discard(scope)
            send.send_nowait(outcome)

    async with send, receive, anyio.create_task_group() as task_group:
        outcome = None
        while not _is_final(outcome):
            if waiting and not begun and not may_repeat():
                outcome = Unknown(message="no answer, and no repetition")
                break
            remaining_seconds = deadline_seconds - anyio.current_time()
            is_late = remaining_seconds < delay_seconds / 2
            if not waiting or not (begun or is_late):
                if len(waiting) == ATTEMPTS_LIMIT_COUNT:
                    waiting.pop(0).cancel()
                waiting.append(anyio.CancelScope())
                task_group.start_soon(attempt, waiting[-1])
            with anyio.move_on_after(delay_seconds):
                while not _is_final(outcome):
                    outcome = await receive.receive()
                    if not waiting:
                        break
            if outcome is not None and not waiting:
                break
        task_group.cancel_scope.cancel()
    return outcome


def _is_final(outcome):
    return isinstance(outcome, Done) or (
        isinstance(outcome, Refused) and outcome.code == HISTORY_LOST
    )
