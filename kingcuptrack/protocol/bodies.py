"""JSON bodies of the caller and operator interfaces."""

import json
import unicodedata

import attrs

from ..findings import Finding, Place
from ..state.placer.jobs import GANG_TASKS_LIMIT_COUNT, JobSpec, Phase
from ..state.placer.plans import NAME_LIMIT_COUNT
from .codecs import findings_from_error, json_converter, strict_json_converter

PAYLOAD_LIMIT_BYTES = 256 * 1024
IDEMPOTENCY_KEY_LIMIT_BYTES = 256
DECLARED_RUN_LIMIT_SECONDS = 30 * 86400.0

# Outcomes reported to callers; all but ``pending`` are final.
OUTCOME_BY_PHASE = {
    Phase.QUEUED: "pending",
    Phase.CLAIMED: "pending",
    Phase.DONE: "done",
    Phase.FAILED: "failed",
    Phase.UNKNOWN: "unknown",
    Phase.REFUSED: "not_run",
    Phase.CANCELLED: "not_run",
}


@attrs.frozen(kw_only=True)
class TaskResultBody:
    """Result of one task: text, length in bytes and SHA-256 digest."""

    task_index: int
    body: str
    length_bytes: int
    sha256: str


@attrs.frozen(kw_only=True)
class JobBody:
    """Answer about one job.

    ``outcome`` is ``pending``, ``done``, ``not_run``, ``failed`` or ``unknown``.
    ``durability`` is ``table`` once the job survives the loss of every instance,
    else ``memory``.
    """

    job_id: str
    outcome: str
    phase: str = ""
    reason: str = ""
    code: str = ""
    durability: str = ""
    attempt: int = 0
    retry_after_seconds: float = 0.0
    results: tuple[TaskResultBody, ...] = ()


@attrs.frozen(kw_only=True)
class ListsBody:
    """Lists of organisations and plans, as INI text.

    ``expected_version`` is the configuration version that the edit is based on.
    """

    organisations: str
    plans: str
    expected_version: int = 0


def parse_job_spec(body):
    """Parse the body of a submission.

    Returns
    -------
    spec : JobSpec or None
    findings : list of Finding
        All problems of the body; the place of each names the key.
    """
    data, findings = _decode_object(body)
    if findings:
        return None, findings
    try:
        spec = strict_json_converter.structure(data, JobSpec)
    except Exception as error:  # cattrs raises exception groups of many types
        return None, findings_from_error(error, source="body")
    findings = _check_spec(spec)
    return (None if findings else spec), findings


def parse_lists_body(body):
    """Parse a body with both lists; returns `ListsBody` or None, and the findings."""
    data, findings = _decode_object(body)
    if findings:
        return None, findings
    try:
        lists = strict_json_converter.structure(data, ListsBody)
    except Exception as error:  # cattrs raises exception groups of many types
        return None, findings_from_error(error, source="body")

    findings = [
        Finding(place=Place(file="body", key=key), message=_SURROGATE_MESSAGE)
        for key in ("organisations", "plans")
        if not _is_encodable(getattr(lists, key))
    ]
    return (None if findings else lists), findings


def encode_findings(findings):
    """Return findings as JSON objects."""
    return [
        {
            **attrs.asdict(finding.place),
            "message": finding.message,
            "is_warning": finding.is_warning,
        }
        for finding in findings
    ]


def encode_body(body):
    """Return a body as a JSON object."""
    return json_converter.unstructure(body)


def _decode_object(body):
    try:
        text = body.decode() if isinstance(body, bytes) else body
        data = json.loads(text, object_pairs_hook=_make_object)
    except UnicodeDecodeError as error:
        message = f"not UTF-8: {error.reason} at byte {error.start}"
        return None, [Finding(place=Place(file="body"), message=message)]
    except RecursionError:
        message = "not valid JSON: nested too deeply"
        return None, [Finding(place=Place(file="body"), message=message)]
    except ValueError as error:
        place = Place(file="body", line=getattr(error, "lineno", 0))
        return None, [Finding(place=place, message=f"not valid JSON: {error}")]
    if not isinstance(data, dict):
        place = Place(file="body")
        return None, [Finding(place=place, message="must be a JSON object")]
    return data, []


def _make_object(pairs):
    """Return a JSON object as a dict; raises ValueError for repeated keys."""
    values = dict(pairs)
    if len(values) < len(pairs):
        keys = [key for key, _ in pairs]
        repeated = sorted({key for key in keys if keys.count(key) > 1})
        raise ValueError(f"repeated keys {repeated}")
    return values


_SURROGATE_MESSAGE = "contains an unpaired surrogate, which is no character"


def _is_encodable(text):
    """Return whether a text has no unpaired surrogates, which JSON escapes can hold."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _has_control_characters(text):
    return any(unicodedata.category(character) == "Cc" for character in text)


def _check_spec(spec: JobSpec):
    findings = []

    def require(condition, key, message):
        if not condition:
            place = Place(file="body", key=key)
            findings.append(Finding(place=place, message=message))

    def is_within(value, minimum, maximum):
        return minimum <= value <= maximum

    shape = spec.shape
    limit = GANG_TASKS_LIMIT_COUNT
    require(spec.organisation, "organisation", "must not be empty")
    for key in ("organisation", "idempotency_key", "payload"):
        require(_is_encodable(getattr(spec, key)), key, _SURROGATE_MESSAGE)
    for key in ("organisation", "idempotency_key"):
        message = "must not contain control characters"
        require(not _has_control_characters(getattr(spec, key)), key, message)
    require(
        len(spec.organisation) <= NAME_LIMIT_COUNT,
        "organisation",
        f"at most {NAME_LIMIT_COUNT} characters",
    )
    require(is_within(spec.tasks_count, 1, limit), "tasks_count", f"1 to {limit}")
    for key in ("accelerators_count", "cores_count", "memory_bytes"):
        value = getattr(shape, key)
        require(is_within(value, 0, 2**50), f"shape.{key}", f"0 to {2**50}")
    require(
        is_within(shape.connections_count, 0, 10_000),
        "shape.connections_count",
        "0 to 10000",
    )
    require(
        is_within(spec.declared_run_seconds, 0.0, DECLARED_RUN_LIMIT_SECONDS),
        "declared_run_seconds",
        f"0 to {DECLARED_RUN_LIMIT_SECONDS:.0f}",
    )
    require(
        len(spec.payload.encode(errors="replace")) <= PAYLOAD_LIMIT_BYTES,
        "payload",
        f"at most {PAYLOAD_LIMIT_BYTES} bytes",
    )
    require(
        len(spec.idempotency_key.encode(errors="replace"))
        <= IDEMPOTENCY_KEY_LIMIT_BYTES,
        "idempotency_key",
        f"at most {IDEMPOTENCY_KEY_LIMIT_BYTES} bytes",
    )
    require(
        spec.is_repeatable or spec.idempotency_key,
        "idempotency_key",
        "required for a job that is not repeatable, so that a retry finds it",
    )
    return findings
