"""Shapes of tasks and capacities of workers."""

import attrs


@attrs.frozen(kw_only=True)
class Shape:
    """Resources that one task needs; it also takes one slot of its worker."""

    accelerators_count: int = 0
    cores_count: int = 0
    memory_bytes: int = 0
    connections_count: int = 1


@attrs.frozen(kw_only=True)
class Capacity:
    """Resources of an empty worker; each task takes one slot."""

    accelerators_count: int
    cores_count: int
    memory_bytes: int
    connections_count: int
    slots_count: int


@attrs.frozen(kw_only=True)
class Worker:
    """A worker as last reported; ``incarnation`` changes when the worker restarts."""

    worker_id: str
    data_centre: str
    rack: str
    address: str
    incarnation: str
    capacity: Capacity
    is_leaving: bool = False


def tasks_that_fit_count(capacity, shape):
    """Return how many tasks of a shape fit into a capacity."""
    limits = [capacity.slots_count]
    for name in (
        "accelerators_count",
        "cores_count",
        "memory_bytes",
        "connections_count",
    ):
        need = getattr(shape, name)
        if need:
            limits.append(getattr(capacity, name) // need)
    return max(0, min(limits))


def subtract_tasks(capacity, shape, tasks_count):
    """Return the capacity left after ``tasks_count`` tasks of ``shape``."""
    return Capacity(
        accelerators_count=capacity.accelerators_count
        - tasks_count * shape.accelerators_count,
        cores_count=capacity.cores_count - tasks_count * shape.cores_count,
        memory_bytes=capacity.memory_bytes - tasks_count * shape.memory_bytes,
        connections_count=capacity.connections_count
        - tasks_count * shape.connections_count,
        slots_count=capacity.slots_count - tasks_count,
    )
