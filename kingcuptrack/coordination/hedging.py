"""Reads that are repeated while their first attempt is still unanswered.

A read without an answer may be lost on a broken connection, or the store may be slow.
One timeout cannot suit both: a short one never lets a slow store answer, and a long one
spends the caller's time on the broken connection. So a further attempt is made soon,
and the earlier ones may still answer.
"""

import anyio

from ..outcomes import Done

# Attempts that wait at the same time; bounds the load on a store that is slow.
ATTEMPTS_LIMIT_COUNT = 3


async def hedge(read, *, delay_seconds, limit_seconds):
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

    Returns
    -------
    Done, Refused or Unknown
        The first `Done`. An attempt that fails is the outcome if no other one waits.
    """
    deadline_seconds = anyio.current_time() + limit_seconds
    begun = anyio.Event()
    send, receive = anyio.create_memory_object_stream(ATTEMPTS_LIMIT_COUNT)
    pending_count = 0

    async def attempt():
        remaining_seconds = max(0.0, deadline_seconds - anyio.current_time())
        outcome = await read(timeout_seconds=remaining_seconds, note_begun=begun.set)
        send.send_nowait(outcome)

    async def receive_outcome():
        nonlocal pending_count
        while True:
            outcome = await receive.receive()
            pending_count -= 1
            if isinstance(outcome, Done) or not pending_count:
                return outcome

    async with send, receive, anyio.create_task_group() as task_group:
        for _ in range(ATTEMPTS_LIMIT_COUNT):
            task_group.start_soon(attempt)
            pending_count += 1
            outcome = None
            with anyio.move_on_after(delay_seconds):
                outcome = await receive_outcome()
            if outcome is not None or begun.is_set():
                break
            if anyio.current_time() + delay_seconds >= deadline_seconds:
                break
        if outcome is None:
            outcome = await receive_outcome()
        task_group.cancel_scope.cancel()
    return outcome
