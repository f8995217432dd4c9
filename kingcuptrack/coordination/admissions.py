"""Requests of callers: submit, read the state, cancel, count the waiting jobs.

A submission or a cancel is confirmed only after the store holds it. A submission is
refused only if no attempt to store it can still have an effect.
"""

import functools

import anyio
import attrs

from ..logs import log_event
from ..outcomes import Done, Refused, Unknown
from ..state.cluster.cluster_policy import ClusterPolicy, Organisation, Queue
from ..state.jobs.progress import JobState
from ..state.jobs.records import (
    RecordError,
    decode_pending,
    decode_progress,
    decode_submission,
    encode_record,
)
from ..state.jobs.steps import Submission, find_placement_problem, find_step_problems
from ..state.planning.quotas import find_maximum_problem
from .hedging import hedge
from .ports import CONFLICT, DENIED, Transaction
from .rows import (
    JOBS_TABLE,
    cancel_key,
    job_key,
    job_range,
    parse_job_key,
    pending_key,
    progress_key,
    withdrawal_key,
)
from .timeouts import AdaptiveTimeout

# Bounds of the timeout of transactions.
SHORTEST_CALL_TIMEOUT_SECONDS = 0.8
LONGEST_CALL_TIMEOUT_SECONDS = 2.0
# Pause before a transaction is sent again; several times the usual answer time.
RETRY_SECONDS = 0.05
# Longest time spent on one request; must stay below the time that callers wait, by
# default `platform.http_api.DEFAULT_DEADLINE_SECONDS`.
REQUEST_LIMIT_SECONDS = 2.3
# Longest time spent on a read, however long its caller waits.
READ_LIMIT_SECONDS = 10.0
# Time without an answer after which a read is repeated. It is above
# `platform.store.SUSPICION_SECONDS`, so that the repetition gets a new connection.
HEDGE_DELAY_SECONDS = 0.85
# Pause after a failed read, which is repeated once: a store that is down refuses at
# once, and so must the instance.
READ_RETRY_SECONDS = 0.1
# Delay that a caller is asked for after a refusal because the store is unreachable.
# Another instance can serve the caller at once, and this one reads the store again
# within a second.
RETRY_AFTER_SECONDS = 1.0

# Codes of `Refused` outcomes.
UNKNOWN_QUEUE = "unknown_queue"
UNAUTHORISED = "unauthorised"
NOT_READY = "not_ready"
INVALID = "invalid"
NEVER_FITS = "never_fits"
DIFFERENT_JOB = "different_job"
NO_SUCH_JOB = "no_such_job"
OVERLOADED = "overloaded"
TOO_LARGE = "too_large"


@attrs.frozen(kw_only=True)
class Caller:
    """An authorised caller, and the configuration that authorised it.

    ``organisation`` is None if the key is unknown, which only a public queue permits.
    """

    policy: ClusterPolicy
    queue: Queue
    organisation: Organisation | None
    host: str
    path: str
    key: str

    @property
    def organisation_name(self):
        """Name of the organisation; empty without one."""
        return self.organisation.name if self.organisation else ""


@attrs.frozen(kw_only=True)
class JobRequest:
    """A job as requested by a caller; see `Submission` for the fields."""

    spec: str
    steps: tuple
    digest: str
    occurrences_count: int = 1
    is_timed: bool = False
    start_at_seconds: float = 0.0
    interval_seconds: float = 0.0


class Admissions:
    """Answers the requests of callers of one instance.

    Parameters
    ----------
    environment : Environment
    policy_watch : PolicyWatch
    shard : Shard
    list_workers : callable
        Returns a (labels, capacity) pair of each known worker of a service.
    metrics : PrometheusMetrics
        Counts the rows that cannot be decoded.
    overload : OverloadControl or None
        Decides which jobs are refused for lack of capacity; None if none is.
    """

    def __init__(
        self,
        *,
        environment,
        policy_watch,
        shard,
        list_workers,
        metrics,
        overload=None,
    ):
        self._store = environment.store
        self._operators = environment.operators
        self._clocks = environment.clocks
        self._policy_watch = policy_watch
        self._shard = shard
        self._list_workers = list_workers
        self._metrics = metrics
        self._overload = overload
        self._timeout = AdaptiveTimeout(
            shortest_seconds=SHORTEST_CALL_TIMEOUT_SECONDS,
            longest_seconds=LONGEST_CALL_TIMEOUT_SECONDS,
        )

    def authorise(self, *, host, path, key):
        """Return Done with a `Caller`, or Refused."""
        if not self._policy_watch.is_policy_fresh():
            return Refused(
                code=NOT_READY,
                message="the configuration cannot be confirmed",
                retry_after_seconds=RETRY_AFTER_SECONDS,
                detail={"configuration_age_seconds": self._policy_watch.age_seconds()},
            )
        policy = self._policy_watch.policy
        queue = policy.find_queue(host, path)
        if queue is None:
            return Refused(code=UNKNOWN_QUEUE, message="no such queue")
        organisation = policy.find_organisation(key)
        if organisation is None and not queue.is_public:
            return Refused(code=UNAUTHORISED, message="unknown key")
        caller = Caller(
            policy=policy,
            queue=queue,
            organisation=organisation,
            host=host,
            path=path,
            key=key,
        )
        return Done(value=caller)

    async def submit(self, caller, job_id, request, *, timeout_seconds):
        """Store a job.

        Returns
        -------
        Done, Refused or Unknown
            Refused means that the job never runs, Unknown that it may be stored.
        """
        # Marks of this version or an older one were written before this request.
        earlier_version = self._policy_watch.store_version
        refusal = self._find_refusal(caller, request)
        if refusal is not None:
            return refusal
        if not self._policy_watch.is_reachable:
            return self._refuse_without_store()
        deadline_seconds = self._clocks.steady() + min(
            timeout_seconds, REQUEST_LIMIT_SECONDS
        )
        settled = await self._refuse_overload(caller, job_id, request, deadline_seconds)
        if settled is not None:
            return settled
        key = job_key(self._shard, job_id)
        mark_version = 0
        may_be_stored = False
        while True:
            if self._find_maximum_problem(caller, request):
                caller, settled = await self._settle_maximum(
                    caller, key, request, deadline_seconds
                )
                if settled is not None:
                    return settled
            data = encode_record(self._make_submission(caller, job_id, request))
            limit_bytes = self._store.limits.row_bytes
            if len(data) > limit_bytes:
                message = f"the job has {len(data)} bytes; the limit is {limit_bytes}"
                return Refused(code=TOO_LARGE, message=message)
            mark_key = withdrawal_key(self._shard, job_id, caller.organisation_name)
            transaction = Transaction(
                expect={
                    key: 0,
                    mark_key: mark_version,
                    self._operators.policy_key: caller.policy.row_version,
                },
                puts={key: data},
                removes=(mark_key,) if mark_version else (),
            )
            if self._overload is not None:
                self._overload.note_sent(job_id)
            outcome = await self._transact(transaction, deadline_seconds)
            if isinstance(outcome, Done):
                return outcome
            if isinstance(outcome, Refused) and outcome.code == CONFLICT:
                row = outcome.detail.get(key)
                if row is not None:
                    return self._compare_submission(row, request)
                mark = outcome.detail.get(mark_key)
                if mark is not None and mark.version > earlier_version:
                    return _refuse_withdrawn()
                mark_version = mark.version if mark is not None else 0
                # The job has no row, so that no earlier attempt was applied; since the
                # configuration row or the mark has changed, none can be applied any
                # more.
                may_be_stored = False
                reauthorised = self._reauthorise(caller, outcome.detail)
                if not isinstance(reauthorised, Done):
                    return reauthorised
                caller = reauthorised.value
            elif isinstance(outcome, Refused) and outcome.code == DENIED:
                # Earlier attempts had the same content.
                message = f"the store does not take the job: {outcome.message}"
                return Refused(code=INVALID, message=message)
            elif isinstance(outcome, Unknown):
                may_be_stored = True
            if self._clocks.steady() + RETRY_SECONDS > deadline_seconds:
                if may_be_stored:
                    return Unknown(message="the store did not confirm the job")
                return self._refuse_without_store()
            await anyio.sleep(RETRY_SECONDS)

    async def _refuse_overload(self, caller, job_id, request, deadline_seconds):
        """Return the outcome of a job that is not to be stored for lack of capacity.

        None if it is to be stored. An earlier attempt may have stored it, possibly at
        another instance, or may yet do so, which a mark excludes before the refusal.
        Without an answer the submission goes on, since a refusal could be untrue.
        """
        if self._overload is None:
            return None
        decision = await self._overload.find_refusal(
            self._make_submission(caller, job_id, request)
        )
        if decision is None:
            return None
        # Half of the time is left for the submission.
        now_seconds = self._clocks.steady()
        outcome = await self._transact(
            self._make_withdrawal(caller, job_id), (now_seconds + deadline_seconds) / 2
        )
        if isinstance(outcome, Refused) and outcome.code == CONFLICT:
            row = outcome.detail.get(job_key(self._shard, job_id))
            if row is not None:
                return self._compare_submission(row, request)
        if not isinstance(outcome, Done):
            return None
        return Refused(
            code=OVERLOADED,
            message=(
                f"overload: the job would end after "
                f"{decision.expected_end_seconds:.0f} s and is of use up to "
                f"{decision.limit_seconds:.0f} s"
            ),
            retry_after_seconds=decision.retry_after_seconds,
            detail=decision,
        )

    async def read_state(
        self, caller, job_id, *, timeout_seconds=REQUEST_LIMIT_SECONDS
    ):
        """Return Done with a `JobState`, Refused or Unknown."""
        found, outcome = await self._find_job_and_progress(
            caller, job_id, self._read_deadline_seconds(timeout_seconds)
        )
        if not isinstance(found, Done):
            return found
        if found.value[0] is None:
            return _no_such_job()
        if not isinstance(outcome, Done):
            return outcome
        if outcome.value is None:
            return Done(value=JobState.QUEUED)
        try:
            return Done(value=decode_progress(outcome.value.value).state)
        except RecordError as error:
            return self._note_unreadable(outcome.value, error)

    async def cancel(self, caller, job_id, *, timeout_seconds):
        """Cancel a job; returns Done once the cancel mark is stored.

        Refused with `NO_SUCH_JOB` means that no submission which the store has yet to
        apply can create the job either.
        """
        deadline_seconds = self._clocks.steady() + min(
            timeout_seconds, REQUEST_LIMIT_SECONDS
        )
        may_be_stored = False
        while True:
            found = await self._find_job(caller, job_id, deadline_seconds)
            if isinstance(found, Refused) and found.code != NOT_READY:
                return found
            if isinstance(found, Done):
                job_row, cancel_row = found.value
                if cancel_row is not None:
                    return Done()
                transaction = self._make_cancel(caller, job_id, job_row)
                outcome = await self._transact(transaction, deadline_seconds)
                if isinstance(outcome, Done):
                    return Done() if job_row is not None else _no_such_job()
                if isinstance(outcome, Refused) and outcome.code == CONFLICT:
                    reauthorised = self._reauthorise(caller, outcome.detail)
                    if not isinstance(reauthorised, Done):
                        return reauthorised
                    caller = reauthorised.value
                may_be_stored = may_be_stored or isinstance(outcome, Unknown)
            if self._clocks.steady() + RETRY_SECONDS > deadline_seconds:
                if isinstance(found, Refused) and not may_be_stored:
                    return found
                return Unknown(message="the store did not confirm the cancel")
            await anyio.sleep(RETRY_SECONDS)

    async def count_pending(self, caller, *, timeout_seconds=REQUEST_LIMIT_SECONDS):
        """Return Done with the number of waiting jobs of a queue."""
        outcome = await self._read_row(
            pending_key(self._shard), self._read_deadline_seconds(timeout_seconds)
        )
        if not isinstance(outcome, Done):
            return outcome
        if outcome.value is None:
            return Done(value=0)
        try:
            counts = decode_pending(outcome.value.value)
        except RecordError as error:
            return self._note_unreadable(outcome.value, error)
        return Done(value=counts.get(caller.queue.name, 0))

    async def _transact(self, transaction, deadline_seconds):
        started_at_seconds = self._clocks.steady()
        remaining_seconds = max(0.0, deadline_seconds - started_at_seconds)
        outcome = Unknown(message="no answer while the caller waited")
        with anyio.move_on_after(remaining_seconds):
            outcome = await self._store.transact(
                transaction=transaction,
                timeout_seconds=min(self._timeout.seconds, remaining_seconds),
            )
        if isinstance(outcome, Unknown):
            self._timeout.note_timeout()
        else:
            self._timeout.note_answer(self._clocks.steady() - started_at_seconds)
        return outcome

    def _find_refusal(self, caller, request):
        problems = find_step_problems(
            request.steps, occurrences_count=request.occurrences_count
        )
        if problems:
            return Refused(code=INVALID, message="; ".join(problems))
        problem = find_placement_problem(
            request.steps, self._list_workers(caller.queue.service)
        )
        if problem:
            return Refused(code=NEVER_FITS, message=problem)
        return None

    def _find_maximum_problem(self, caller, request):
        if caller.organisation is None:
            return ""
        return find_maximum_problem(request.steps, caller.organisation.maximum)

    async def _settle_maximum(self, caller, key, request, deadline_seconds):
        """Return the reauthorised caller, and the outcome of a job above the maximum.

        The outcome is None if the newest configuration allows the job.
        The configuration is read anew, and then the job: an earlier request may have
        stored it under another configuration. It cannot do so after the first read,
        since its transaction expects its configuration to be in force.
        """
        policy_key = self._operators.policy_key
        outcome = await self._read_row(policy_key, deadline_seconds)
        if not isinstance(outcome, Done):
            return caller, Unknown(message=outcome.message)
        rows = {policy_key: outcome.value} if outcome.value else {}
        reauthorised = self._reauthorise(caller, rows)
        if not isinstance(reauthorised, Done):
            return caller, reauthorised
        caller = reauthorised.value
        problem = self._find_maximum_problem(caller, request)
        if not problem:
            return caller, None
        outcome = await self._read_row(key, deadline_seconds)
        if not isinstance(outcome, Done):
            return caller, Unknown(message=f"{problem}; {outcome.message}")
        if outcome.value is not None:
            return caller, self._compare_submission(outcome.value, request)
        return caller, Refused(code=NEVER_FITS, message=problem)

    def _refuse_without_store(self):
        return Refused(
            code=NOT_READY,
            message="the store cannot be reached",
            retry_after_seconds=RETRY_AFTER_SECONDS,
            detail={"configuration_age_seconds": self._policy_watch.age_seconds()},
        )

    def _make_submission(self, caller, job_id, request):
        queue = caller.queue
        return Submission(
            job_id=job_id,
            queue=queue.name,
            organisation=caller.organisation_name,
            service=queue.service,
            priority=queue.priority,
            attempts_limit=queue.attempts_limit,
            stretch=queue.stretch,
            target_latency_seconds=queue.target_latency_seconds,
            spec=request.spec,
            steps=request.steps,
            occurrences_count=request.occurrences_count,
            is_timed=request.is_timed,
            start_at_seconds=request.start_at_seconds,
            interval_seconds=request.interval_seconds,
            accepted_at_seconds=self._clocks.wall(),
            digest=request.digest,
        )

    def _reauthorise(self, caller, rows):
        """Authorise a caller by the configuration row that failed a condition."""
        row = rows.get(self._operators.policy_key)
        if row is None:
            return Done(value=caller)
        policy = self._operators.decode_policy(row)
        if policy is None:
            return Refused(
                code=NOT_READY,
                message="the configuration cannot be read",
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        self._policy_watch.apply(policy)
        return self.authorise(host=caller.host, path=caller.path, key=caller.key)

    def _read_deadline_seconds(self, timeout_seconds):
        return self._clocks.steady() + min(timeout_seconds, READ_LIMIT_SECONDS)

    async def _find_job_and_progress(self, caller, job_id, deadline_seconds):
        """Return the outcomes of `_find_job` and of the read of the progress row.

        Both rows are read at the same time. A progress row that was read before its job
        was stored is absent, and the job was queued then. The second outcome is None if
        there is no job to show.
        """
        rows = _row_range(progress_key(self._shard, job_id))
        outcome = None

        async def read_progress():
            nonlocal outcome
            outcome = await self._read_once(rows, deadline_seconds)

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(read_progress)
            found = await self._find_job(caller, job_id, deadline_seconds)
            is_shown = isinstance(found, Done) and found.value[0] is not None
            if not is_shown:
                task_group.cancel_scope.cancel()
        if not is_shown:
            return found, None
        if not isinstance(outcome, Done):
            outcome = await self._read_again(rows, deadline_seconds, outcome)
        return found, self._take_row(outcome)

    async def _find_job(self, caller, job_id, deadline_seconds):
        """Return Done with (job row or None, cancel row or None), Refused or Unknown.

        A job of another organisation is refused.
        """
        first, last = job_range(job_id)
        outcome = await self._read_rows(
            {
                "table": JOBS_TABLE,
                "part": self._shard.part,
                "first": first,
                "last": last,
            },
            deadline_seconds,
        )
        if not isinstance(outcome, Done):
            return self._refuse_read(outcome)
        job_row = cancel_row = None
        for row in outcome.value.rows:
            if parse_job_key(row.key.key)[1]:
                cancel_row = row
            else:
                job_row = row
        if job_row is None:
            return Done(value=(None, None))
        try:
            submission = decode_submission(job_row.value)
        except RecordError as error:
            return self._note_unreadable(job_row, error)
        owner = submission.organisation
        if owner and owner != caller.organisation_name:
            return _no_such_job()
        return Done(value=(job_row, cancel_row))

    def _make_cancel(self, caller, job_id, job_row):
        """Return the transaction that cancels a job, which may have no row."""
        if job_row is None:
            return self._make_withdrawal(caller, job_id)
        key = cancel_key(self._shard, job_id)
        return Transaction(
            expect={
                job_row.key: job_row.version,
                self._operators.policy_key: caller.policy.row_version,
                key: 0,
            },
            puts={key: caller.organisation_name.encode()},
        )

    def _make_withdrawal(self, caller, job_id):
        """Return the transaction that excludes a submission that is on its way.

        It is applied only if the job has no row. Where keys are not required, a job can
        have no owner, and anybody may cancel it.
        """
        owners = {caller.organisation_name}
        if caller.queue.is_public:
            owners.add("")
        return Transaction(
            expect={
                job_key(self._shard, job_id): 0,
                self._operators.policy_key: caller.policy.row_version,
            },
            puts={
                withdrawal_key(self._shard, job_id, owner): b""
                for owner in sorted(owners)
            },
        )

    async def _read_row(self, key, deadline_seconds):
        """Return Done with a row or None, or Refused."""
        return self._take_row(await self._read_rows(_row_range(key), deadline_seconds))

    def _take_row(self, outcome):
        """Return Done with the row of a read or None, or Refused."""
        if not isinstance(outcome, Done):
            return self._refuse_read(outcome)
        rows = outcome.value.rows
        return Done(value=rows[0] if rows else None)

    async def _read_rows(self, rows, deadline_seconds):
        """Return the outcome of a read, which is repeated once if it fails."""
        outcome = await self._read_once(rows, deadline_seconds)
        if isinstance(outcome, Done):
            return outcome
        return await self._read_again(rows, deadline_seconds, outcome)

    async def _read_again(self, rows, deadline_seconds, outcome):
        """Repeat a read that failed with an outcome, unless no time is left."""
        is_late = self._clocks.steady() + READ_RETRY_SECONDS >= deadline_seconds
        if is_late or not self._policy_watch.is_reachable:
            return outcome
        await anyio.sleep(READ_RETRY_SECONDS)
        return await self._read_once(rows, deadline_seconds)

    async def _read_once(self, rows, deadline_seconds):
        """Return the outcome of a read; ``rows`` are the arguments of `Store.read`."""
        read = functools.partial(self._store.read, **rows)
        limit_seconds = deadline_seconds - self._clocks.steady()
        if limit_seconds > 0:
            # An answer that has begun may arrive for longer than its timeout.
            with anyio.move_on_after(limit_seconds):
                return await hedge(
                    read,
                    delay_seconds=HEDGE_DELAY_SECONDS,
                    limit_seconds=limit_seconds,
                    may_repeat=lambda: self._policy_watch.is_reachable,
                )
        return Unknown(message="no answer while the caller waited")

    def _compare_submission(self, row, request):
        """Return the outcome of a submission whose job id is already stored."""
        try:
            submission = decode_submission(row.value)
        except RecordError as error:
            return self._note_unreadable(row, error)
        if submission.digest == request.digest:
            return Done(value=row.version)
        return Refused(code=DIFFERENT_JOB, message="the id belongs to a different job")

    def _note_unreadable(self, row, error):
        """Log and count a row that cannot be decoded; returns the outcome."""
        log_event("row", outcome="unreadable", row=str(row.key), reason=str(error))
        self._metrics.count_unreadable_row(row.key.table)
        return Unknown(message=str(error))

    def _refuse_read(self, outcome):
        """Return the refusal for a read of the store that failed."""
        return Refused(
            code=NOT_READY,
            message=f"the store cannot be read: {outcome.message}",
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )


def _row_range(key):
    """Return the arguments of `Store.read` for one row."""
    return {
        "table": key.table,
        "part": key.part,
        "first": key.key,
        "last": key.key + "\0",
    }


def _no_such_job():
    return Refused(code=NO_SUCH_JOB, message="no such job")


def _refuse_withdrawn():
    """Return the refusal of a submission that another request has excluded."""
    return Refused(
        code=NOT_READY,
        message="the job was cancelled or refused while this request was under way",
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
