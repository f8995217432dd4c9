"""Tasks that a worker holds, by the progress of their job, without a known run."""

from collections import deque


class MissingRuns:
    """Looks for missing runs, some jobs at a time, and keeps those recreated."""

    def __init__(self):
        self._job_ids = deque()
        self._restored = []

    def find(self, jobs, *, tasks_limit_count):
        """Return (`Job`, `OpenRun`) of each missing run in the next jobs.

        Parameters
        ----------
        jobs : dict
            `Job` by id; each of them is looked at once before any is looked at again.
        tasks_limit_count : int
            Number of tasks after which no further job is begun.
        """
        if not self._job_ids:
            self._job_ids.extend(jobs)
        found = []
        tasks_count = 0
        while self._job_ids and tasks_count < tasks_limit_count:
            job = jobs.get(self._job_ids.popleft())
            if job is None:
                continue
            tasks_count += 1 + _count_tasks(job.progress)
            found += [
                (job, held)
                for held in job.progress.list_held_runs()
                if held.key(job.submission.job_id) not in job.runs
            ]
        return found

    def note_restored(self, run):
        """Record that a missing run was recreated."""
        self._restored.append(run)

    def take_restored(self):
        """Return the runs that were recreated, once each."""
        restored, self._restored = self._restored, []
        return restored


def _count_tasks(progress):
    return sum(
        len(step.tasks) for steps in progress.occurrences.values() for step in steps
    )
