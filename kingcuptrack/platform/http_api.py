"""HTTP interface: requests of callers, readiness and metrics."""

import hashlib
import json
import math
import re
import time
from typing import Annotated

import attrs
import msgspec

from ..coordination import admissions as codes
from ..coordination.admissions import JobRequest
from ..decoding import DecodingError, decode_json
from ..logs import log_event
from ..outcomes import Done, Refused
from ..state.jobs.steps import Resources, Step
from ..state.planning.admission import AdmissionDecision

# Limit of request bodies until a configuration has been read.
DEFAULT_BODY_LIMIT_BYTES = 262144
# Timeout of a request without a deadline-ms header.
DEFAULT_DEADLINE_SECONDS = 3.0
# Longest timeout that a deadline-ms header can ask for.
DEADLINE_LIMIT_SECONDS = 30.0
# Part of the caller's timeout kept for sending the answer back.
ANSWER_MARGIN_SECONDS = 0.3
# Unknown fields named in one log line, and the characters kept of each name. Without
# these limits a caller could make the line as long as its request body.
UNKNOWN_FIELDS_LIMIT_COUNT = 8
UNKNOWN_FIELD_NAME_LIMIT_LENGTH = 40
# Characters kept of a path in a log line.
LOGGED_PATH_LIMIT_LENGTH = 200
_JOB_ID = re.compile(r"[0-9a-f]{16}")

_STATUS_OF_CODE = {
    codes.NOT_READY: 503,
    codes.UNKNOWN_QUEUE: 404,
    codes.UNAUTHORISED: 401,
    codes.INVALID: 400,
    codes.NEVER_FITS: 422,
    codes.DIFFERENT_JOB: 409,
    codes.NO_SUCH_JOB: 410,
    codes.OVERLOADED: 429,
    codes.TOO_LARGE: 413,
}
# Status of an `Unknown` outcome: the store may or may not have applied the change.
_UNKNOWN_OUTCOME_STATUS = 504


# Stored rows hold integers of 64 bits.
_Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


@attrs.frozen
class _WireStep:
    count: _Integer  # tasks of the step
    cpu: _Integer = 0  # thousandths of a core
    mem_mb: _Integer = 0
    gpu: _Integer = 0  # accelerators of one task
    estimate_ms: float = 0.0
    after: list[_Integer] = attrs.field(factory=list)  # steps that must be done first
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""  # one label that the worker must have
    data_rack: str = ""
    anti_affinity: _Integer = (
        0  # largest number of its tasks at one worker; 0: no limit
    )
    speculative: bool = False
    long_running: bool = False
    image: str = ""  # what the tasks run; tasks of the same image behave alike


@attrs.frozen
class _WireJob:
    steps: list[_WireStep]
    spec: str = ""
    times: _Integer = 0  # number of occurrences; 0: one, due at once
    start_at_ms: float = 0.0
    interval_ms: float = 0.0
    long_running: bool = False


_JOB_FIELDS = frozenset(field.name for field in attrs.fields(_WireJob))
_STEP_FIELDS = frozenset(field.name for field in attrs.fields(_WireStep))


@attrs.frozen(kw_only=True)
class Answer:
    """An HTTP response with a JSON body.

    ``refusal`` is the `AdmissionDecision` of a refusal for lack of capacity.
    """

    status: int
    body: dict
    retry_after_seconds: float = 0.0
    refusal: AdmissionDecision | None = None


@attrs.frozen(kw_only=True)
class _Request:
    method: str
    path: str
    headers: dict
    body: bytes

    @property
    def host(self):
        return self.headers.get(b"host", b"").decode("latin-1").partition(":")[0]

    @property
    def api_key(self):
        return self.headers.get(b"x-api-key", b"").decode("latin-1")

    @property
    def timeout_seconds(self):
        try:
            seconds = float(self.headers[b"deadline-ms"]) / 1000
        except (KeyError, ValueError):
            seconds = DEFAULT_DEADLINE_SECONDS
        return max(0.0, min(seconds, DEADLINE_LIMIT_SECONDS) - ANSWER_MARGIN_SECONDS)


class _IncompleteBodyError(Exception):
    """The connection ended before the whole body of a request had arrived."""


def make_callers_application(instance, metrics):
    """Return the ASGI application for callers."""

    async def application(scope, receive, send):
        if scope["type"] != "http":
            return
        started_at_seconds = time.monotonic()
        headers = dict(scope["headers"])
        limit_bytes = _body_limit_bytes(instance)
        try:
            body = await _read_body(receive, headers, limit_bytes)
        except _IncompleteBodyError:
            return
        kind, job_id = scope["method"], ""
        if body is None:
            answer = _make_error(413, f"the body is larger than {limit_bytes} bytes")
        else:
            request = _Request(
                method=scope["method"], path=scope["path"], headers=headers, body=body
            )
            kind, job_id, answer = await _handle_request(instance.admissions, request)
        seconds = time.monotonic() - started_at_seconds
        metrics.count_request(kind, str(answer.status))
        metrics.observe(kind, seconds)
        watch = instance.policy_watch
        refusal_fields = {}
        if answer.refusal is not None:
            metrics.count_refusal(answer.refusal.reason)
            refusal_fields = _describe_refusal(answer.refusal)
        log_event(
            "request",
            outcome=answer.status,
            kind=kind,
            job_id=job_id[:LOGGED_PATH_LIMIT_LENGTH],
            path=scope["path"][:LOGGED_PATH_LIMIT_LENGTH],
            reason=answer.body.get("error", answer.body.get("state", "")),
            seconds=round(seconds, 4),
            configuration=watch.policy.version if watch.policy else None,
            configuration_age_seconds=round(watch.age_seconds(), 3),
            **refusal_fields,
        )
        await _send_answer(send, answer, closes_connection=instance.is_leaving)

    return application


def make_readiness_application(instance):
    """Return the ASGI application of the readiness address."""

    async def application(scope, receive, send):
        if scope["type"] == "http":
            is_ready = instance.is_ready()
            await _send_answer(
                send, Answer(status=200 if is_ready else 503, body={"ready": is_ready})
            )

    return application


def make_metrics_application(metrics):
    """Return the ASGI application of the metrics address."""

    async def application(scope, receive, send):
        if scope["type"] == "http":
            headers = [(b"content-type", b"text/plain; version=0.0.4")]
            await send(
                {"type": "http.response.start", "status": 200, "headers": headers}
            )
            await send({"type": "http.response.body", "body": metrics.render()})

    return application


async def _handle_request(admissions, request):
    """Handle a request; returns its kind, its job id and its answer."""
    outcome = admissions.authorise(
        host=request.host, path=request.path, key=request.api_key
    )
    if not isinstance(outcome, Done):
        return "authorise", "", _make_answer(outcome)
    caller = outcome.value
    job_id = request.path.removeprefix(caller.queue.path_prefix)
    if not job_id and request.method == "GET":
        outcome = await admissions.count_pending(
            caller, timeout_seconds=request.timeout_seconds
        )
        return "pending", "", _make_answer(outcome, lambda count: {"pending": count})
    if not _JOB_ID.fullmatch(job_id):
        answer = _make_error(400, "a job id has 16 hexadecimal digits")
        return "invalid", job_id, answer
    if request.method == "POST":
        return "submit", job_id, await _submit(admissions, caller, job_id, request)
    if request.method == "GET":
        outcome = await admissions.read_state(
            caller, job_id, timeout_seconds=request.timeout_seconds
        )
        answer = _make_answer(outcome, lambda state: {"state": state.value})
        return "state", job_id, answer
    if request.method == "DELETE":
        outcome = await admissions.cancel(
            caller, job_id, timeout_seconds=request.timeout_seconds
        )
        return "cancel", job_id, _make_answer(outcome)
    return (
        "invalid",
        job_id,
        _make_error(405, f"method {request.method} is not allowed"),
    )


async def _submit(admissions, caller, job_id, request):
    try:
        job_request = decode_job(request.body)
    except ValueError as error:
        return _make_error(400, str(error))
    unknown_fields = find_unknown_fields(request.body)
    if unknown_fields:
        log_event(
            "submission", outcome="fields_ignored", job_id=job_id, fields=unknown_fields
        )
    outcome = await admissions.submit(
        caller, job_id, job_request, timeout_seconds=request.timeout_seconds
    )
    return _make_answer(outcome)


def decode_job(body):
    """Return the `JobRequest` of a body; raises ValueError if it is malformed."""
    try:
        job = decode_json(body, _WireJob)
    except DecodingError as error:
        raise ValueError(f"malformed job: {error}") from error
    if job.times < 0 or job.interval_ms < 0:
        raise ValueError("times and interval_ms must not be negative")
    return JobRequest(
        spec=job.spec,
        steps=tuple(_decode_step(step, job) for step in job.steps),
        digest=hashlib.sha256(body).hexdigest()[:32],
        occurrences_count=max(1, job.times),
        is_timed=job.times > 0,
        start_at_seconds=job.start_at_ms / 1000,
        interval_seconds=job.interval_ms / 1000,
    )


def find_unknown_fields(body):
    """Return the unknown fields of a valid job, at most UNKNOWN_FIELDS_LIMIT_COUNT.

    They may belong to a newer version of the interface, so the job is still accepted.
    """
    try:
        job = decode_json(body, dict[str, msgspec.Raw])
        steps = decode_json(job["steps"], list[dict[str, msgspec.Raw]])
    except DecodingError as error:
        # A job is valid whatever is in its unknown fields.
        return [f"not listed: {error}"]
    names = [name for name in job if name not in _JOB_FIELDS]
    for number, step in enumerate(steps):
        names += [
            f"steps[{number}].{name}" for name in step if name not in _STEP_FIELDS
        ]
    return [
        name[:UNKNOWN_FIELD_NAME_LIMIT_LENGTH]
        for name in names[:UNKNOWN_FIELDS_LIMIT_COUNT]
    ]


def _decode_step(step, job):
    return Step(
        task_count=step.count,
        resources=Resources(
            cpu_millicores=step.cpu, memory_mb=step.mem_mb, gpus_count=step.gpu
        ),
        estimate_seconds=step.estimate_ms / 1000,
        after=tuple(step.after),
        has_checkpoints=step.checkpointing,
        is_gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.requirements,
        data_rack=step.data_rack,
        tasks_per_worker_limit=step.anti_affinity,
        allows_copies=step.speculative,
        is_long_running=step.long_running or job.long_running,
        image=step.image,
    )


def _make_answer(outcome, encode=lambda value: {}):
    if isinstance(outcome, Done):
        return Answer(status=200, body=encode(outcome.value))
    if isinstance(outcome, Refused):
        return _make_error(
            _STATUS_OF_CODE[outcome.code],
            outcome.message,
            retry_after_seconds=outcome.retry_after_seconds,
            refusal=outcome.detail if outcome.code == codes.OVERLOADED else None,
        )
    return _make_error(_UNKNOWN_OUTCOME_STATUS, outcome.message)


def _describe_refusal(refusal):
    """Return the fields of the log line of a refusal for lack of capacity."""
    return {
        "refused": refusal.reason,
        "expected_wait_seconds": round(refusal.expected_wait_seconds, 1),
        "expected_end_seconds": round(refusal.expected_end_seconds, 1),
        "limit_seconds": round(refusal.limit_seconds, 1),
        "retry_after_seconds": refusal.retry_after_seconds,
    }


def _make_error(status, message, *, retry_after_seconds=0.0, refusal=None):
    return Answer(
        status=status,
        body={"error": message},
        retry_after_seconds=retry_after_seconds,
        refusal=refusal,
    )


def _body_limit_bytes(instance):
    policy = instance.policy_watch.policy
    return policy.body_limit_bytes if policy else DEFAULT_BODY_LIMIT_BYTES


async def _read_body(receive, headers, limit_bytes):
    """Return the request body, or None if it is larger than the limit.

    Raises `_IncompleteBodyError`.
    """
    try:
        declared_bytes = int(headers.get(b"content-length", b"0"))
    except ValueError:
        declared_bytes = 0
    if declared_bytes > limit_bytes:
        return None
    parts, size_bytes = [], 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            if parts or declared_bytes:
                raise _IncompleteBodyError
            return b""
        parts.append(message.get("body", b""))
        size_bytes += len(parts[-1])
        if size_bytes > limit_bytes:
            return None
        if not message.get("more_body"):
            return b"".join(parts)


async def _send_answer(send, answer, *, closes_connection=False):
    body = json.dumps(answer.body).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    if answer.retry_after_seconds:
        seconds = math.ceil(answer.retry_after_seconds)
        headers.append((b"retry-after", str(seconds).encode()))
    if closes_connection:
        headers.append((b"connection", b"close"))
    await send(
        {"type": "http.response.start", "status": answer.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})
