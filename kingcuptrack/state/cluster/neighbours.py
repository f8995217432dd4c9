"""How long runs of each kind were beside a run on its worker."""

import attrs


@attrs.define(kw_only=True, eq=False)
class _Presence:
    """The runs of one worker.

    ``counts`` maps a kind to its number of runs. ``seen_seconds`` maps the key of a run
    to the time, by kind, for which at least one other run of the kind was there, until
    ``changed_at_seconds``.
    """

    changed_at_seconds: float
    counts: dict = attrs.field(factory=dict)
    seen_seconds: dict = attrs.field(factory=dict)
    runs: dict = attrs.field(factory=dict)

    def advance(self, now_seconds):
        """Add the time since the latest change to what each run has seen."""
        elapsed_seconds = now_seconds - self.changed_at_seconds
        if elapsed_seconds <= 0:
            return
        self.changed_at_seconds = now_seconds
        for key, seen_seconds in self.seen_seconds.items():
            own_kind = self.runs[key].kind
            for kind, count in self.counts.items():
                if count > (kind == own_kind):
                    seen_seconds[kind] = seen_seconds.get(kind, 0.0) + elapsed_seconds


class NeighbourTimes:
    """Times for which the runs of all workers were beside each other.

    A run counts from its claim until its end is certain. `attach` and `detach` are the
    only changes.
    """

    def __init__(self):
        self._by_worker = {}

    def attach(self, run, *, now_seconds):
        """Record that a run has begun to occupy its worker."""
        presence = self._by_worker.get(run.worker_id)
        if presence is None:
            presence = _Presence(changed_at_seconds=now_seconds)
            self._by_worker[run.worker_id] = presence
        presence.advance(now_seconds)
        presence.counts[run.kind] = presence.counts.get(run.kind, 0) + 1
        presence.runs[run.key] = run
        presence.seen_seconds[run.key] = {}

    def detach(self, run, *, now_seconds):
        """Record the end of a run.

        Returns the fraction of its time for which others were there, by kind.
        """
        presence = self._by_worker[run.worker_id]
        presence.advance(now_seconds)
        del presence.runs[run.key]
        presence.counts[run.kind] -= 1
        if not presence.counts[run.kind]:
            del presence.counts[run.kind]
        seen_seconds = presence.seen_seconds.pop(run.key)
        if not presence.runs:
            del self._by_worker[run.worker_id]
        run_seconds = now_seconds - run.claimed_at_seconds
        if run_seconds <= 0:
            return {}
        return {
            kind: min(1.0, seconds / run_seconds)
            for kind, seconds in seen_seconds.items()
        }

    def counts(self, worker_id):
        """Return the number of runs on a worker by kind."""
        presence = self._by_worker.get(worker_id)
        return presence.counts if presence else {}

    def worker_ids(self):
        """Return the workers with runs."""
        return set(self._by_worker)
