"""Counts the work of the simulated workers, and how much of it was wasted."""

import anyio

from kingcuptrack.state.jobs.progress import EndKind
from kingcuptrack.state.planning.victims import weighted_cores

from .platform_service import NullObserver


class WorkMeter(NullObserver):
    """Observer of workers that counts core-seconds; an accelerator counts as 8 cores.

    Wasted is the time for which runs occupied their workers beyond the work of the
    tasks that were completed: work that was stopped, lost or done twice, restored
    checkpoints, and gangs that waited for their members. ``ends`` counts the ends of
    runs by kind, ``begun_at`` maps the reference of a task to its first start.
    """

    def __init__(self):
        self.occupied_core_seconds = 0.0
        self.useful_core_seconds = 0.0
        self.ends = {}
        self.begun_at = {}

    @property
    def wasted_core_seconds(self):
        """Core-seconds that did not contribute to a completed task."""
        return self.occupied_core_seconds - self.useful_core_seconds

    def note_start(self, worker, run, order):
        """Note the first start of a task."""
        self.begun_at.setdefault(run.ref, anyio.current_time())

    def note_end(self, worker, run, end):
        """Count a run that has ended."""
        self._count(run, end.how)

    def note_lost(self, worker, run):
        """Count a run that was lost with its worker."""
        self._count(run, EndKind.LAPSED)

    def _count(self, run, how):
        cores = weighted_cores(run.resources)
        self.ends[how] = self.ends.get(how, 0) + 1
        self.occupied_core_seconds += cores * (anyio.current_time() - run.began_at)
        if how == EndKind.DONE:
            # The work counts from its virtual beginning, so that a resumed run brings
            # the work of the runs before it.
            self.useful_core_seconds += cores * (run.ends_at - run.work_began_at)
