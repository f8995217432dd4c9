"""Changes of the capacity of in-memory workers while they run."""

import anyio
import attrs

# Longest time from a change of the capacity until the registry shows it.
BEAT_SECONDS = 1.5


async def set_capacity(worker, capacity, *, delay_seconds):
    """Change the capacity of a worker; the registry shows it after a delay.

    What runs at the worker stays.
    """
    worker.capacities.append((anyio.current_time(), capacity))
    await anyio.sleep(delay_seconds)
    worker.entry = attrs.evolve(worker.entry, capacity=worker.capacity)


def capacities_since(worker, first_at):
    """Return the capacities that a worker has had since a time."""
    capacities = []
    until = anyio.current_time()
    for since, capacity in reversed(worker.capacities):
        if until < first_at:
            break
        capacities.append(capacity)
        until = since
    return capacities
