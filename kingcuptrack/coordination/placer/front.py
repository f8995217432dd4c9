"""Requests of callers about jobs, which every entry instance answers.

A submission is recorded in the table and handed to the placer of a data centre. Reads
are answered by that placer, or from the row once the job is final.
"""

import hashlib
import time
import uuid

import anyio
import attrs

from ...logs import log_decision
from ...outcomes import Done, Refused, Unknown
from ...protocol.bodies import OUTCOME_BY_PHASE, JobBody, TaskResultBody
from ...protocol.messages import AwaitJob, CancelJob, SubmitJob
from ...state.placer.jobs import FINAL_PHASES, JobRow, Phase, make_job_id, spec_digest
from .routing import DATA_CENTRE_TRIES_COUNT

# Longest wait of a submission for a placer; a takeover must end within this time.
PLACER_WAIT_SECONDS = 5.0

# Refusals that mean that no placer was reached.
NO_PLACER_CODES = frozenset({"unreachable", "no_placer", "not_placer"})

# Pause before a placer is asked again during a takeover or after a lost answer. Reads
# double it up to the limit.
RETRY_PAUSE_SECONDS = 0.3
RETRY_PAUSE_LIMIT_SECONDS = 3.0

# Jobs without a row whose data centre an instance keeps in memory.
UNRECORDED_JOBS_LIMIT_COUNT = 10_000

# Refusals that depend on the body alone, so that they hold for earlier requests too.
BODY_REFUSAL_CODES = frozenset({"key_conflict"})

STATUS_BY_CODE = {
    "unknown_organisation": 422,
    "never_fits": 422,
    "never_guaranteed": 422,
    "key_conflict": 409,
    "queue_full": 429,
}


@attrs.frozen(kw_only=True)
class Reply:
    """HTTP status and body for a caller."""

    status: int
    body: JobBody


class Front:
    """Handles requests of callers.

    Setting ``stop_requested`` refuses new jobs and ends the waits of open requests.
    """

    def __init__(self, *, settings, membership, configuration, job_table, router):
        self._settings = settings
        self._membership = membership
        self._configuration = configuration
        self._job_table = job_table
        self._router = router
        self.stop_requested = anyio.Event()
        # By job id, for jobs without a row: the data centre whose placer holds the job.
        self._unrecorded_jobs = {}

    async def submit(self, spec, *, wait_seconds):
        """Accept a job and wait for its outcome at most ``wait_seconds``."""
        is_new_key = not spec.idempotency_key
        if is_new_key:
            spec = attrs.evolve(spec, idempotency_key=str(uuid.uuid4()))
        job_id = make_job_id(spec.organisation, spec.idempotency_key)
        refusal = self._find_refusal(spec)
        if refusal is not None and is_new_key:
            return _not_run_reply(job_id, refusal)
        if refusal is not None:
            return await self._refuse_unless_recorded(
                job_id, spec, refusal, wait_seconds
            )
        deadline_seconds = time.monotonic() + PLACER_WAIT_SECONDS
        choice = self._router.choose_data_centre(spec, job_id)
        while choice is None and self._may_await_placer(deadline_seconds):
            await anyio.sleep(RETRY_PAUSE_SECONDS)
            choice = self._router.choose_data_centre(spec, job_id)
        if choice is None:
            refusal = Refused(
                code="no_placer",
                message="no data centre in service has a placer",
                retry_after_seconds=1.0,
            )
            return await self._refuse_unless_recorded(
                job_id, spec, refusal, wait_seconds
            )
        row = JobRow(job_id=job_id, spec=spec, phase=Phase.QUEUED, data_centre=choice)
        outcome = await self._insert(row)
        if isinstance(outcome, Done):
            return await self._submit_recorded(outcome.value, wait_seconds)
        if isinstance(outcome, Refused) and outcome.code == "conflict":
            return await self._join_existing(outcome.detail, spec, wait_seconds)
        reply = await self._submit_unrecorded(row, outcome, wait_seconds)
        if reply.body.outcome == "not_run" and not is_new_key:
            # An earlier job of this key may have run although its row cannot be read.
            return _not_dispatched_reply(reply.body)
        return reply

    async def read(self, job_id, *, wait_seconds):
        """Answer about a job, waiting at most ``wait_seconds`` for its outcome."""
        deadline_seconds = time.monotonic() + wait_seconds
        reply = None
        pause_seconds = RETRY_PAUSE_SECONDS
        while True:
            remaining_seconds = max(0.0, deadline_seconds - time.monotonic())
            reply = await self._read_once(job_id, remaining_seconds)
            is_timed_out = time.monotonic() >= deadline_seconds
            if reply.body.outcome != "pending" or is_timed_out:
                return reply
            if self.stop_requested.is_set():
                return reply
            # The pause grows, since every retry reads the row while no placer answers.
            await anyio.sleep(min(pause_seconds, remaining_seconds))
            pause_seconds = min(2 * pause_seconds, RETRY_PAUSE_LIMIT_SECONDS)

    async def cancel(self, job_id):
        """Cancel a job; the answer says whether it may have run."""
        read = await self._job_table.read(job_id)
        data_centre = self._unrecorded_jobs.get(job_id)
        if isinstance(read, Done) and read.value is not None:
            row = read.value.row
            if row.phase in FINAL_PHASES:
                return await self._row_reply(row)
            data_centre = row.data_centre
        if data_centre is None:
            data_centre = await self._find_data_centre(job_id)
        if data_centre is None:
            return _missing_reply(job_id, read)
        # Stopping a gang waits for the leases of workers that do not answer.
        timeout_seconds = 2 * self._settings.lease_seconds
        outcome = await self._router.ask_placer(
            data_centre, CancelJob(job_id=job_id), timeout_seconds=timeout_seconds
        )
        if isinstance(outcome, Done) and outcome.value and outcome.value.is_known:
            return _answer_reply(outcome.value)
        return _pending_reply(job_id, "cancellation not confirmed; try again")

    def _may_await_placer(self, deadline_seconds):
        return not self.stop_requested.is_set() and time.monotonic() < deadline_seconds

    def _find_refusal(self, spec):
        if self.stop_requested.is_set():
            return Refused(
                code="leaving",
                message="this instance is leaving; try another",
                retry_after_seconds=0.1,
            )
        configuration = self._configuration.current
        if not self._configuration.is_ready:
            return Refused(
                code="not_ready",
                message="no configuration known yet",
                retry_after_seconds=1.0,
            )
        if spec.organisation not in configuration.plan_by_organisation:
            return Refused(code="unknown_organisation", message=spec.organisation)
        return None

    async def _insert(self, row):
        if row.spec.is_repeatable and self._configuration.is_table_silent():
            return Refused(code="unavailable", message="the table does not answer")
        return await self._job_table.insert(row)

    async def _submit_recorded(self, current, wait_seconds):
        outcome, current = await self._router.submit_recorded(current)
        is_refused = isinstance(outcome, Refused)
        if is_refused and outcome.code not in NO_PLACER_CODES:
            return await self._record_refusal(current, outcome)
        # If no placer was reached, the one that takes over finds the row.
        return await self.read(current.row.job_id, wait_seconds=wait_seconds)

    async def _record_refusal(self, current, refusal):
        """Make the row final before the caller is told that the job did not run."""
        reason = f"{refusal.code}: {refusal.message}"
        row = attrs.evolve(current.row, phase=Phase.REFUSED, reason=reason)
        outcome = await self._job_table.write(row, expected_version=current.version)
        if isinstance(outcome, Done):
            await self._job_table.remove_from_open_jobs(row)
            return _not_run_reply(row.job_id, refusal)
        return await self.read(row.job_id, wait_seconds=0.0)

    async def _refuse_unless_recorded(self, job_id, spec, refusal, wait_seconds):
        """Refuse a submission unless an earlier one with the same key was accepted."""
        read = await self._job_table.read(job_id)
        if isinstance(read, Done) and read.value is not None:
            return await self._join_existing(read.value, spec, wait_seconds)
        reply = await self._join_unrecorded(job_id, spec, wait_seconds)
        if reply is not None:
            return reply
        if isinstance(read, Done):
            return _not_run_reply(job_id, refusal)
        message = (
            f"{refusal.message}; whether an earlier request with this key ran is "
            "unknown while the table does not answer"
        )
        return _unknown_reply(job_id, message)

    async def _join_existing(self, current, spec, wait_seconds):
        """Answer a submission whose key has a row already."""
        row = current.row
        if spec_digest(row.spec) != spec_digest(spec):
            refusal = Refused(
                code="key_conflict",
                message="the idempotency key belongs to a job with another body",
            )
            return _not_run_reply(row.job_id, refusal)
        log_decision(
            "routing",
            choice=row.data_centre,
            reason="idempotency key is known",
            job_id=row.job_id,
            organisation=spec.organisation,
        )
        if row.phase == Phase.QUEUED:
            # The inserting instance may have died before it reached a placer.
            return await self._submit_recorded(current, wait_seconds)
        return await self.read(row.job_id, wait_seconds=wait_seconds)

    async def _join_unrecorded(self, job_id, spec, wait_seconds):
        """Answer from a placer that holds the job already; None if none does.

        An earlier request with this key may have been accepted in memory only, or with
        a row that cannot be read now; a refusal without this check could be false.
        """
        data_centre = await self._find_data_centre(job_id)
        if data_centre is None:
            return None
        message = SubmitJob(job_id=job_id, spec=spec, row_version=0, may_have_row=True)
        submitted = await self._router.submit(data_centre, message)
        if isinstance(submitted, Refused) and submitted.code == "key_conflict":
            return _not_run_reply(job_id, submitted)
        return await self.read(job_id, wait_seconds=wait_seconds)

    async def _submit_unrecorded(self, row, outcome, wait_seconds):
        """Run a repeatable job without the table; refuse any other."""
        spec = row.spec
        reply = await self._join_unrecorded(row.job_id, spec, wait_seconds)
        if reply is not None:
            return reply
        if not spec.is_repeatable:
            message = f"a job that is not repeatable needs the table: {outcome.message}"
            if isinstance(outcome, Unknown):
                return _unknown_reply(row.job_id, message)
            refusal = Refused(
                code="unavailable", message=message, retry_after_seconds=2.0
            )
            return _not_run_reply(row.job_id, refusal)
        message = SubmitJob(
            job_id=row.job_id,
            spec=spec,
            row_version=0,
            may_have_row=isinstance(outcome, Unknown),
        )
        deadline_seconds = time.monotonic() + PLACER_WAIT_SECONDS
        while True:
            data_centre, submitted = await self._offer_unrecorded(message)
            if isinstance(submitted, Done):
                self._remember_unrecorded(row.job_id, data_centre)
                return await self.read(row.job_id, wait_seconds=wait_seconds)
            if isinstance(submitted, Unknown):
                return _unknown_reply(row.job_id, submitted.message)
            is_placer_missing = submitted.code in NO_PLACER_CODES
            if not is_placer_missing or not self._may_await_placer(deadline_seconds):
                break
            await anyio.sleep(RETRY_PAUSE_SECONDS)
        if isinstance(outcome, Unknown):
            # The insertion may have taken effect, and a placer may find its row.
            return _unknown_reply(row.job_id, submitted.message)
        return _not_run_reply(row.job_id, submitted)

    def _remember_unrecorded(self, job_id, data_centre):
        self._unrecorded_jobs[job_id] = data_centre
        if len(self._unrecorded_jobs) > UNRECORDED_JOBS_LIMIT_COUNT:
            # A read of a job that is not kept here asks all placers.
            del self._unrecorded_jobs[next(iter(self._unrecorded_jobs))]

    async def _offer_unrecorded(self, message):
        """Offer a job without a row to placers; return the last one and its outcome.

        The order follows from the job id alone, so that retries of one key at several
        instances reach the same placer.
        """
        names = {candidate.data_centre for candidate in self._router.candidates()}

        def rank(name):
            return hashlib.sha256(f"{message.job_id}\0{name}".encode()).digest()

        name = None
        outcome = Refused(code="no_placer", message="no data centre has a placer")
        for name in sorted(names, key=rank)[:DATA_CENTRE_TRIES_COUNT]:
            outcome = await self._router.submit(name, message)
            is_conflict = getattr(outcome, "code", "") == "key_conflict"
            if not isinstance(outcome, Refused) or is_conflict:
                break
        return name, outcome

    async def _read_once(self, job_id, wait_seconds):
        data_centre = self._unrecorded_jobs.get(job_id)
        read = None
        if data_centre is None:
            read = await self._job_table.read(job_id)
            if not isinstance(read, Done):
                return await self._search_placers(job_id, read, wait_seconds)
            if read.value is None:
                return await self._search_placers(job_id, read, wait_seconds)
            row = read.value.row
            if row.phase in FINAL_PHASES:
                return await self._row_reply(row)
            data_centre = row.data_centre
        answer = await self._await_at_placer(data_centre, job_id, wait_seconds)
        if answer is not None:
            return _answer_reply(answer)
        if data_centre == self._unrecorded_jobs.get(job_id):
            return await self._search_placers(job_id, None, 0.0)
        return _pending_reply(job_id, "waiting for the placer", durability="table")

    async def _await_at_placer(self, data_centre, job_id, wait_seconds):
        """Return the answer of a placer, or None if it does not know the job."""
        message = AwaitJob(job_id=job_id, wait_seconds=wait_seconds)
        timeout_seconds = wait_seconds + self._settings.peer_call_timeout_seconds
        outcome = None
        async with anyio.create_task_group() as task_group:

            async def watch_stop():
                await self.stop_requested.wait()
                # A stopping instance answers open long polls without waiting.
                task_group.cancel_scope.cancel()

            task_group.start_soon(watch_stop)
            outcome = await self._router.ask_placer(
                data_centre, message, timeout_seconds=timeout_seconds
            )
            task_group.cancel_scope.cancel()
        is_known = (
            isinstance(outcome, Done)
            and outcome.value is not None
            and outcome.value.is_known
        )
        return outcome.value if is_known else None

    async def _search_placers(self, job_id, read, wait_seconds):
        """Ask every reachable placer about a job whose row is missing or unreadable."""
        for candidate in self._router.candidates():
            answer = await self._await_at_placer(
                candidate.data_centre, job_id, wait_seconds
            )
            if answer is not None:
                return _answer_reply(answer)
        if read is None:
            read = await self._job_table.read(job_id)
            if isinstance(read, Done) and read.value is not None:
                return await self._row_reply(read.value.row)
        return _missing_reply(job_id, read)

    async def _find_data_centre(self, job_id):
        """Return the data centre whose placer knows a job, or None."""
        found = []

        async def ask(name):
            if await self._await_at_placer(name, job_id, 0.0) is not None:
                found.append(name)

        # Also those out of service, where work may still be running.
        names = {info.data_centre for info in self._membership.live_instances()}
        async with anyio.create_task_group() as task_group:
            for name in names:
                task_group.start_soon(ask, name)
        return min(found, default=None)

    async def _row_reply(self, row):
        if row.phase not in FINAL_PHASES:
            return _pending_reply(
                row.job_id, "waiting for the placer", durability="table"
            )
        results = await self._job_table.read_results(row)
        if not isinstance(results, Done):
            message = f"done; results not readable yet: {results.message}"
            return _pending_reply(row.job_id, message, durability="table")
        body = JobBody(
            job_id=row.job_id,
            outcome=OUTCOME_BY_PHASE[row.phase],
            phase=row.phase,
            reason=row.reason,
            durability="table",
            attempt=row.attempt,
            results=_result_bodies(results.value),
        )
        return Reply(status=200, body=body)


def _missing_reply(job_id, read):
    """Reply about a job that no placer knows, given the outcome of a row read."""
    if isinstance(read, Done):
        body = JobBody(
            job_id=job_id, outcome="unknown", code="unknown_job", reason="no such job"
        )
        return Reply(status=404, body=body)
    return _unknown_reply(
        job_id, "neither the table nor a placer answered about this job"
    )


def _answer_reply(answer):
    outcome = OUTCOME_BY_PHASE[Phase(answer.phase)]
    body = JobBody(
        job_id=answer.job_id,
        outcome=outcome,
        phase=answer.phase,
        reason=answer.reason,
        durability="table" if answer.is_recorded else "memory",
        attempt=answer.attempt,
        results=_result_bodies(answer.results),
    )
    return Reply(status=202 if outcome == "pending" else 200, body=body)


def _result_bodies(results):
    return tuple(
        TaskResultBody(
            task_index=result.task_index,
            body=result.body,
            length_bytes=result.length_bytes,
            sha256=result.sha256,
        )
        for result in results
    )


def _not_dispatched_reply(body):
    """Reply that this request started nothing, while earlier ones are unknown."""
    if body.code in BODY_REFUSAL_CODES:
        return Reply(status=STATUS_BY_CODE[body.code], body=body)
    reason = (
        f"not dispatched by this request: {body.reason}; whether an earlier request "
        "with this key ran is unknown while the table does not answer"
    )
    body = attrs.evolve(body, outcome="unknown", reason=reason)
    return Reply(status=503, body=body)


def _pending_reply(job_id, reason, durability="memory"):
    body = JobBody(
        job_id=job_id, outcome="pending", reason=reason, durability=durability
    )
    return Reply(status=202, body=body)


def _unknown_reply(job_id, reason):
    body = JobBody(
        job_id=job_id, outcome="unknown", reason=reason, retry_after_seconds=1.0
    )
    return Reply(status=503, body=body)


def _not_run_reply(job_id, refusal):
    body = JobBody(
        job_id=job_id,
        outcome="not_run",
        code=refusal.code,
        reason=refusal.message,
        retry_after_seconds=refusal.retry_after_seconds,
    )
    return Reply(status=STATUS_BY_CODE.get(refusal.code, 503), body=body)
