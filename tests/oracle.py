"""Test oracle for the job semantics that callers rely on.

An `Oracle` sends the requests of callers and keeps every answer. `Oracle.check`
compares the answers with the journals of the emulated workers and platform, never
with state that the system under test reports about itself.
"""

import hashlib
import json
import time
from collections import Counter, defaultdict
from concurrent.futures import ThreadPoolExecutor

import attrs

from .support import NO_ANSWER_ERRORS, check

FINAL_PHASES = {"done", "failed", "unknown", "refused", "cancelled"}
END_EVENTS = {"task_effect", "task_failed", "stop", "lapse", "lost"}
CALLERS_COUNT = 64


@attrs.frozen(kw_only=True)
class Call:
    """One request of a caller; ``answer`` is None if none arrived."""

    kind: str
    job_id: str
    sent_seconds: float
    received_seconds: float
    status: int = 0
    answer: dict | None = None


@attrs.define(kw_only=True)
class Oracle:
    """Requests of callers, and the submitted bodies by job id.

    ``partial_limit_seconds`` bounds how long the tasks of an incompletely started
    attempt may run: one lease and one start round.
    """

    deployment: object
    partial_limit_seconds: float
    calls: list = attrs.field(factory=list)
    bodies: dict = attrs.field(factory=dict)
    callers: ThreadPoolExecutor = attrs.field(
        factory=lambda: ThreadPoolExecutor(CALLERS_COUNT)
    )

    def register(self, body):
        """Include a job in later checks; return its id."""
        job_id = job_id_of(body)
        self.bodies.setdefault(job_id, body)
        return job_id

    def submit(self, entry, body, *, wait_seconds=0.0, timeout_seconds=30.0):
        """Submit a job; return its id and the answer, None if no answer arrived."""
        job_id = self.register(body)
        path = f"/v1/jobs?wait_seconds={wait_seconds}"
        return job_id, self._call(
            "submit", job_id, entry, "POST", path, body, timeout_seconds
        )

    def read(self, entry, job_id, *, wait_seconds=0.0, timeout_seconds=30.0):
        """Read a job; return the answer, None if no answer arrived."""
        path = f"/v1/jobs/{job_id}?wait_seconds={wait_seconds}"
        return self._call("read", job_id, entry, "GET", path, None, timeout_seconds)

    def cancel(self, entry, job_id, *, timeout_seconds=30.0):
        """Cancel a job; return the answer, None if no answer arrived."""
        path = f"/v1/jobs/{job_id}"
        return self._call(
            "cancel", job_id, entry, "DELETE", path, None, timeout_seconds
        )

    def start_call(self, function, *args, **kwargs):
        """Run a call in a thread; return its future."""
        return self.callers.submit(function, *args, **kwargs)

    def _call(self, kind, job_id, entry, method, path, body, timeout_seconds):
        sent_seconds = time.monotonic()
        try:
            status, answer = entry.request(
                method, path, body, timeout_seconds=timeout_seconds
            )
        except NO_ANSWER_ERRORS:
            status, answer = 0, None
        self.calls.append(
            Call(
                kind=kind,
                job_id=job_id,
                sent_seconds=sent_seconds,
                received_seconds=time.monotonic(),
                status=status,
                answer=answer,
            )
        )
        return answer

    def wait_until_final(self, job_ids=None, *, timeout_seconds=30.0):
        """Wait until jobs (default: all) are final or unknown to the system.

        Returns the last answers by job id.
        """
        answers = {}

        def are_final():
            entry = self.deployment.running_entries()[-1]
            for job_id in job_ids or list(self.bodies):
                if job_id not in answers:
                    answer = self.read(entry, job_id, timeout_seconds=5.0)
                    if answer is not None and (
                        answer.get("phase") in FINAL_PHASES
                        or answer.get("code") == "unknown_job"
                    ):
                        answers[job_id] = answer
            return len(answers) == len(job_ids or self.bodies)

        try:
            self.deployment.wait(
                are_final, "jobs are final", timeout_seconds=timeout_seconds
            )
        except AssertionError as error:
            open_ids = set(job_ids or self.bodies) - set(answers)
            last_calls = [call for call in self.calls if call.job_id in open_ids][-3:]
            writes = [
                event
                for event in self.deployment.platform_journal()
                if any(job_id in event["key"] for job_id in open_ids)
            ]
            raise AssertionError(
                f"jobs are not final: {open_ids}; last calls: {last_calls}\n"
                f"writes: {writes}\n{error}"
            ) from None
        return answers

    def check(self):
        """Assert that every rule holds for all jobs registered so far."""
        self.callers.shutdown()
        self.callers = ThreadPoolExecutor(CALLERS_COUNT)
        violations = find_violations(
            self,
            self.deployment.worker_journal(),
            self.deployment.platform_journal(),
            now_seconds=time.monotonic(),
        )
        check.assertEqual(violations, [])


def job_id_of(body):
    """Return the job id that the design page defines for a body."""
    text = f"{body['organisation']}\0{body['idempotency_key']}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def find_violations(oracle, events, writes, *, now_seconds):
    """Return a description of each violated rule.

    ``events`` is the journal of the workers, ``writes`` that of the platform.
    """
    claims = {
        (write["value"]["attempt"], write["value"]["owner_id"])
        for write in writes
        if write.get("table") == "jobs" and write["value"]["phase"] == "claimed"
    }
    by_job = defaultdict(list)
    for event in events:
        by_job[event.get("job_id")].append(event)
    violations = []
    for job_id, body in oracle.bodies.items():
        calls = [call for call in oracle.calls if call.job_id == job_id]
        attempts = collect_attempts(by_job[job_id])
        is_repeatable = body.get("is_repeatable", True)
        findings = [
            *check_at_most_once(body, attempts),
            *check_attempts_disjoint(attempts, claims if is_repeatable else attempts),
            *check_partial_start(oracle, body, attempts, now_seconds),
            *check_not_run(calls, attempts),
            *check_answers(body, calls, attempts),
        ]
        key = body["idempotency_key"]
        violations += [f"{key} ({job_id}): {finding}" for finding in findings]
    return violations


@attrs.define(kw_only=True)
class Attempt:
    """Starts, ends and effects of one attempt in the journals, by task index."""

    data_centre: str = ""
    starts: dict = attrs.field(factory=lambda: defaultdict(list))
    ends: dict = attrs.field(factory=lambda: defaultdict(list))
    effects: Counter = attrs.field(factory=Counter)

    def span(self, now_seconds):
        """Return when the first task started and the last one ended."""
        first = min(min(times) for times in self.starts.values())
        last = max(max(self.ends[index], default=now_seconds) for index in self.starts)
        return first, last


def collect_attempts(events):
    """Return the started attempts of a job by token and holder."""
    attempts = defaultdict(Attempt)
    for event in events:
        if "token" not in event:
            continue
        attempt = attempts[event["token"], event["holder"]]
        attempt.data_centre = event["data_centre"]
        for index in event["task_indices"]:
            if event["event"] == "task_start":
                attempt.starts[index].append(event["time_seconds"])
            elif event["event"] in END_EVENTS and attempt.starts[index]:
                attempt.ends[index].append(event["time_seconds"])
            if event["event"] == "task_effect":
                attempt.effects[index] += 1
    for attempt in attempts.values():
        attempt.starts = {
            index: times for index, times in attempt.starts.items() if times
        }
    return {key: attempt for key, attempt in attempts.items() if attempt.starts}


def check_at_most_once(body, attempts):
    """A job that is not repeatable starts in one attempt only.

    No task of any job runs twice in the same attempt.
    """
    if not body.get("is_repeatable", True) and len(attempts) > 1:
        yield f"not repeatable but started in attempts {sorted(attempts)}"
    for key, attempt in attempts.items():
        repeated = [index for index, times in attempt.starts.items() if len(times) > 1]
        repeated += [index for index, count in attempt.effects.items() if count > 1]
        if repeated:
            yield f"tasks {repeated} ran twice in attempt {key}"


def check_attempts_disjoint(attempts, claims):
    """No two attempts run at the same time.

    Two attempts in different data centres are exempt if at least one of them is not
    claimed in the table: without the table, each data centre starts the repeatable
    jobs that were submitted to it.
    """
    spans = sorted(
        (attempt.span(float("inf")), key) for key, attempt in attempts.items()
    )
    for (first, first_key), (second, second_key) in zip(spans, spans[1:], strict=False):
        is_claimed = first_key in claims and second_key in claims
        is_exempt = (
            not is_claimed
            and attempts[first_key].data_centre != attempts[second_key].data_centre
        )
        if second[0] < first[1] and not is_exempt:
            yield f"attempts {first_key} and {second_key} overlap: {first} {second}"


def check_partial_start(oracle, body, attempts, now_seconds):
    """The tasks of an incompletely started attempt stop within the limit."""
    for key, attempt in attempts.items():
        first, last = attempt.span(now_seconds)
        is_complete = len(attempt.starts) == body["tasks_count"]
        if not is_complete and last - first > oracle.partial_limit_seconds:
            yield (
                f"incomplete attempt {key} ran tasks {sorted(attempt.starts)} "
                f"for {last - first:.1f} s"
            )


def check_not_run(calls, attempts):
    """A job that was answered as not run has not started and never starts.

    After a refusal that was not recorded as the outcome, the caller may submit the
    job again, also while that refusal is still in transit.
    """
    start_seconds = min(
        (attempt.span(0.0)[0] for attempt in attempts.values()), default=None
    )
    if start_seconds is None:
        return
    for call in calls:
        answer = call.answer or {}
        if answer.get("outcome") != "not_run" or answer.get("code") == "key_conflict":
            continue
        is_resubmitted = any(
            other.kind == "submit"
            and other.received_seconds > call.sent_seconds
            and (other.answer or {}).get("outcome") != "not_run"
            for other in calls
        )
        if answer.get("phase") in FINAL_PHASES or not is_resubmitted:
            yield f"started at {start_seconds:.2f} but answered as not run: {call}"


def check_answers(body, calls, attempts):
    """Every done answer is complete and correct; final answers never change."""
    final_outcomes = set()
    for call in calls:
        answer = call.answer or {}
        if answer.get("phase") not in FINAL_PHASES:
            if answer.get("outcome") == "done":
                yield f"outcome is done but the phase is not final: {call}"
            continue
        final_outcomes.add((answer["outcome"], answer["attempt"]))
        if answer["outcome"] != "done":
            continue
        expected_indices = set(range(body["tasks_count"]))
        effects = [
            set(attempt.effects)
            for (token, _), attempt in attempts.items()
            if token == answer["attempt"]
        ]
        if expected_indices not in effects:
            yield f"done in attempt {answer['attempt']} with effects of tasks {effects}"
        yield from check_results(body, answer)
    if len(final_outcomes) > 1:
        yield f"final answers changed: {sorted(final_outcomes)}"


def check_results(body, answer):
    """An answer holds the result of every task of its own job, undamaged."""
    expected = json.loads(body["payload"])["result"]
    indices = [result["task_index"] for result in answer["results"]]
    if indices != list(range(body["tasks_count"])):
        yield f"answer has results of tasks {indices}"
    for result in answer["results"]:
        content = result["body"].encode()
        values = json.loads(content)
        found = (values["job_id"], values["task_index"], values["result"])
        if found != (answer["job_id"], result["task_index"], expected):
            yield f"result belongs to {found}"
        digest = hashlib.sha256(content).hexdigest()
        if (len(content), digest) != (result["length_bytes"], result["sha256"]):
            yield (
                f"result of task {result['task_index']} does not match its length "
                "or SHA-256"
            )
