"""Refusal of jobs under overload at one instance: copy of the load, and hysteresis."""

from collections import OrderedDict

from ..errors import log_error
from ..state.planning.admission import decide_admission, is_refusable
from .load_views import LoadViewReader

# Time for which a transaction without an answer may still be applied: it can wait in
# connections and in the queue of the store after this instance has given up on it.
UNCONFIRMED_SECONDS = 15.0


class OverloadControl:
    """Decides which jobs an instance refuses for lack of capacity.

    Parameters
    ----------
    store : Store
    clocks : Clocks
    shard : Shard
    """

    def __init__(self, *, store, clocks, shard):
        self._clocks = clocks
        self._reader = LoadViewReader(store=store, clocks=clocks, shard=shard)
        # (service, priority, organisation) of which the latest job was refused.
        self._refusing = set()
        # Job ids whose row this instance may have written without learning of it, with
        # the time of the latest transaction, in the order of these times. Answered
        # ones stay as well: their next submission is then settled by the row.
        self._unconfirmed = OrderedDict()

    async def find_refusal(self, submission):
        """Return the `AdmissionDecision` that refuses a job, or None.

        The caller must not refuse the job before it has looked for its row.
        """
        if not is_refusable(submission) or self._may_be_stored(submission.job_id):
            return None
        view = await self._reader.current()
        if view is None:
            return None
        key = submission.service, submission.priority, submission.organisation
        try:
            decision = decide_admission(
                view, submission, is_refusing=key in self._refusing
            )
        except Exception as error:
            log_error("load_view", outcome="undecided", error=error)
            return None
        if decision.is_refused:
            self._refusing.add(key)
            # A transaction may have been sent while the view was read.
            return None if self._may_be_stored(submission.job_id) else decision
        self._refusing.discard(key)
        return None

    def note_sent(self, job_id):
        """Record that a transaction that stores a job is about to be sent."""
        self._unconfirmed[job_id] = self._clocks.boottime()
        self._unconfirmed.move_to_end(job_id)
        self._forget_old()

    def _may_be_stored(self, job_id):
        self._forget_old()
        return job_id in self._unconfirmed

    def _forget_old(self):
        oldest_seconds = self._clocks.boottime() - UNCONFIRMED_SECONDS
        while self._unconfirmed:
            job_id, sent_at_seconds = next(iter(self._unconfirmed.items()))
            if sent_at_seconds > oldest_seconds:
                return
            del self._unconfirmed[job_id]
