"""Crashes of in-memory workers, which return at their address after some seconds."""

import anyio
import attrs

from kingcuptrack.coordination.ports import REPLACED
from kingcuptrack.outcomes import Refused, Unknown

# Time from the start of a task that crashes its worker to the crash.
CRASH_DELAY_SECONDS = 0.01
# Shortest and longest time from a crash to the return of the worker.
CRASHED_SECONDS = (2.0, 5.0)
# Time for which the registry lists a worker that has crashed.
LISTED_SECONDS = 4.5


async def crash_by_run(fleet, worker, run, *, seconds):
    """Crash a worker shortly after a run began there; it returns after ``seconds``."""
    life = worker.life
    await anyio.sleep(CRASH_DELAY_SECONDS)
    if worker.is_up and worker.life == life:
        await crash_and_return(
            fleet, worker, seconds=seconds, keeps_id=fleet.keeps_crashed_ids, cause=run
        )


async def crash_and_return(fleet, worker, *, seconds, keeps_id=False, cause=None):
    """Crash the process of a worker that is up and start it again after ``seconds``.

    Its connections close at once. ``cause`` is the run that crashed it, if any.
    """
    life = worker.life
    worker.closed_life = life
    fleet.listed_until[worker.entry.worker_id] = anyio.current_time() + LISTED_SECONDS
    worker.crash(cause=cause)
    await anyio.sleep(seconds)
    if worker.is_up or worker.life != life:
        return
    if keeps_id:
        worker.begin_life(life + 1)
        return
    worker.is_replaced = True
    new_id = f"{worker.entry.address}-{life + 1}"
    fleet.add(attrs.evolve(worker.entry, worker_id=new_id), life=life + 1)


def find_crash_outcome(fleet, entry, is_cut):
    """Return the immediate outcome of a call to a crashed worker, or None.

    ``is_cut`` tells for a worker id whether the caller cannot connect to it.
    """
    worker = fleet.workers.get(entry.worker_id)
    if worker is None or worker.is_up or worker.closed_life != worker.life:
        return None
    occupant = find_worker_at(fleet, entry.address)
    if is_cut(entry.worker_id) or (occupant and is_cut(occupant.entry.worker_id)):
        return None
    if occupant is not None:
        return Refused(code=REPLACED, message="another worker has this address")
    return Unknown(message="connection refused")


def find_worker_at(fleet, address):
    """Return the worker that is up at an address, or None."""
    for worker in fleet.workers.values():
        if worker.is_up and worker.entry.address == address:
            return worker
    return None


def unreplaced_ids(fleet):
    """Return the sorted ids of the workers that no other worker has replaced."""
    return sorted(
        worker_id
        for worker_id, worker in fleet.workers.items()
        if not worker.is_replaced
    )
