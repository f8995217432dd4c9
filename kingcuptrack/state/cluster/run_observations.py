"""What a finished run tells about the speed of its worker and about its neighbours."""

import attrs


@attrs.frozen(kw_only=True)
class RunObservation:
    """A run that ended ``done`` and whose whole run time is known.

    ``kind`` names work that behaves alike. ``expected_seconds`` is the run time
    expected on an average worker without neighbours, ``actual_seconds`` the time from
    the claim to the end. ``gang_worker_ids`` are the workers of the whole gang, which
    runs at the pace of the slowest; empty for a task that is in no gang.
    ``neighbour_shares`` maps the kind of other runs on the worker to the share of the
    run's time in which at least one of them was there, 0 to 1.
    ``estimate_seconds`` is the caller's estimate, 0 without one. ``step_key``
    identifies the step and, for a gang, its run; ``run_key`` the run.
    """

    kind: str
    queue: str
    service: str
    worker_id: str
    expected_seconds: float
    actual_seconds: float
    gang_worker_ids: tuple[str, ...] = ()
    estimate_seconds: float = 0.0
    step_key: tuple = ()
    run_key: tuple = ()
    neighbour_shares: dict[str, float] = attrs.field(factory=dict)

    @property
    def is_gang(self):
        """Whether the run was a member of a gang."""
        return bool(self.gang_worker_ids)

    @property
    def slowdown(self):
        """Actual run time relative to the expected one."""
        return self.actual_seconds / self.expected_seconds


def kind_of(queue, step):
    """Return the kind of a step's work: its image, else its queue and its shape."""
    if step.image:
        return step.image
    resources = step.resources
    return f"{queue}/{resources.gpus_count}/{resources.cpu_millicores}"
