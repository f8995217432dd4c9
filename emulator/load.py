"""Load tool: submits a seeded mix of jobs and reports outcomes and completion times.

Arrivals do not wait for completions. Each simulated caller sends an idempotency key,
retries at another instance if no answer arrives or the status is 503 (this instance
cannot serve the request), and polls until the outcome is final.
"""

import json
import random
import statistics
import time
from collections import Counter

import anyio
import attrs
import cattrs
import defopt
import httpcore

from kingcuptrack.state.placer.jobs import (
    JobSpec,
    TaskResult,
    Urgency,
    make_job_id,
    verify_result,
)
from kingcuptrack.state.placer.shapes import Shape

# Limit of jobs in progress; further jobs wait, which counts as completion time.
OPEN_JOBS_LIMIT_COUNT = 500
LONG_POLL_SECONDS = 10
REQUEST_TIMEOUT_SECONDS = LONG_POLL_SECONDS + 5.0
RETRY_SECONDS = 0.2
POLL_PAUSE_SECONDS = 0.05
GIGABYTE = 10**9
# Declared run times are the actual ones times 10**x; this is the largest abs(x).
DECLARED_ERROR_EXPONENT = 1.0


@attrs.frozen(kw_only=True)
class JobKind:
    """One kind of job in the mix; pairs are inclusive ranges."""

    name: str
    weight: float
    urgency: Urgency
    tasks_count: tuple[int, int]
    accelerators_count: tuple[int, int]
    run_seconds: tuple[float, float]
    is_repeatable: bool = True
    is_checkpointable: bool = False


JOB_MIX = (
    JobKind(
        name="quote",
        weight=0.5,
        urgency=Urgency.URGENT,
        tasks_count=(1, 1),
        accelerators_count=(1, 1),
        run_seconds=(0.1, 0.5),
    ),
    JobKind(
        name="fit_check",
        weight=0.2,
        urgency=Urgency.URGENT,
        tasks_count=(1, 4),
        accelerators_count=(1, 4),
        run_seconds=(0.2, 1.0),
    ),
    JobKind(
        name="preview",
        weight=0.2,
        urgency=Urgency.PATIENT,
        tasks_count=(1, 3),
        accelerators_count=(1, 2),
        run_seconds=(0.2, 1.0),
        is_repeatable=False,
    ),
    JobKind(
        name="render",
        weight=0.1,
        urgency=Urgency.PATIENT,
        tasks_count=(2, 8),
        accelerators_count=(4, 8),
        run_seconds=(1.0, 4.0),
        is_checkpointable=True,
    ),
)


@attrs.frozen(kw_only=True)
class PlannedJob:
    """A job, the time at which it is submitted and the result text of its tasks."""

    at_seconds: float
    kind: str
    spec: JobSpec
    result: str


@attrs.define(kw_only=True)
class Report:
    """Outcomes of the jobs, and completion times in seconds by urgency class."""

    outcomes: Counter = attrs.field(factory=Counter)
    completion_seconds: dict = attrs.field(
        factory=lambda: {urgency.value: [] for urgency in Urgency}
    )
    wrong_answers: list = attrs.field(factory=list)
    unanswered_requests_count: int = 0


def plan_jobs(*, seed, seconds, jobs_per_second, organisations):
    """Return the jobs of a run; equal arguments give equal jobs."""
    generator = random.Random(seed)
    jobs = []
    at_seconds = generator.expovariate(jobs_per_second)
    while at_seconds < seconds:
        kind = generator.choices(JOB_MIX, [item.weight for item in JOB_MIX])[0]
        run_seconds = round(generator.uniform(*kind.run_seconds), 3)
        exponent = generator.uniform(-DECLARED_ERROR_EXPONENT, DECLARED_ERROR_EXPONENT)
        result = f"{kind.name}-{seed}-{len(jobs)}"
        spec = JobSpec(
            organisation=generator.choice(organisations),
            tasks_count=generator.randint(*kind.tasks_count),
            shape=Shape(
                accelerators_count=generator.randint(*kind.accelerators_count),
                cores_count=generator.randint(1, 4),
                memory_bytes=generator.randint(1, 8) * GIGABYTE,
            ),
            urgency=kind.urgency,
            is_repeatable=kind.is_repeatable,
            is_checkpointable=kind.is_checkpointable,
            idempotency_key=result,
            declared_run_seconds=round(run_seconds * 10**exponent, 3),
            payload=json.dumps({"run_seconds": run_seconds, "result": result}),
        )
        planned = PlannedJob(
            at_seconds=at_seconds, kind=kind.name, spec=spec, result=result
        )
        jobs.append(planned)
        at_seconds += generator.expovariate(jobs_per_second)
    return jobs


def find_answer_defect(planned, job_id, answer):
    """Return the defect in the answer of a done job, or an empty text."""
    try:
        results = cattrs.structure(answer["results"], tuple[TaskResult, ...])
        indices = sorted(result.task_index for result in results)
        bodies = [(item.task_index, json.loads(item.body)) for item in results]
    except (KeyError, ValueError, TypeError, cattrs.BaseValidationError) as error:
        return f"unreadable: {error!r}"
    if indices != list(range(planned.spec.tasks_count)):
        return f"task indices {indices}"
    if not all(verify_result(result) for result in results):
        return "length or digest"
    for index, body in bodies:
        if body != {"job_id": job_id, "task_index": index, "result": planned.result}:
            return f"answer of another task: {body}"
    return ""


async def run_job(planned, *, limiter, entry_urls, report, first_index):
    """Submit one job, wait for its outcome and add the outcome to the report."""
    await anyio.sleep(planned.at_seconds)
    submitted_seconds = time.monotonic()
    # httpcore iterates over all connections of a pool on each request: with one pool
    # for all jobs, the processor time of a request would grow with the connections.
    async with limiter, httpcore.AsyncConnectionPool() as pool:
        outcome, job_id, answer = await follow_job(
            planned,
            pool=pool,
            entry_urls=entry_urls,
            report=report,
            first_index=first_index,
        )
    report.outcomes[outcome] += 1
    if outcome == "done":
        elapsed_seconds = time.monotonic() - submitted_seconds
        report.completion_seconds[planned.spec.urgency].append(elapsed_seconds)
        problem = find_answer_defect(planned, job_id, answer)
        if problem:
            report.wrong_answers.append({"job_id": job_id, "problem": problem})


async def follow_job(planned, *, pool, entry_urls, report, first_index):
    """Submit and poll a job; return its final outcome, its id and the last answer."""
    job_id = make_job_id(planned.spec.organisation, planned.spec.idempotency_key)
    submission = ("POST", "/v1/jobs", json.dumps(cattrs.unstructure(planned.spec)))
    poll = ("GET", f"/v1/jobs/{job_id}?wait_seconds={LONG_POLL_SECONDS}", "")
    method, path, body = submission
    index = first_index
    refusals_count = 0
    while True:
        url = entry_urls[index % len(entry_urls)]
        status, answer = await send(pool, method, url + path, body.encode())
        report.unanswered_requests_count += status is None
        outcome = final_outcome(status, answer)
        refusals_count += outcome.startswith("not_run")
        is_answer_final = status != 503 or refusals_count >= len(entry_urls)
        if outcome and is_answer_final:
            return outcome, job_id, answer
        if status is None or status >= 500:
            index += 1
            await anyio.sleep(RETRY_SECONDS)
        elif status == 404:
            # No instance knows the job; the idempotency key makes a resubmission safe.
            method, path, body = submission
            await anyio.sleep(RETRY_SECONDS)
        else:
            if method == "GET":
                # Limits the rate of polls that are answered at once.
                await anyio.sleep(POLL_PAUSE_SECONDS)
            method, path, body = poll


async def send(pool, method, url, body):
    """Send one request; returns (None, {}) if no complete answer arrives."""
    seconds = dict.fromkeys(
        ("connect", "read", "write", "pool"), REQUEST_TIMEOUT_SECONDS
    )
    try:
        response = await pool.request(
            method, url, content=body, extensions={"timeout": seconds}
        )
        answer = json.loads(response.content)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        ValueError,
    ):
        return None, {}
    return response.status, answer if isinstance(answer, dict) else {}


def final_outcome(status, answer):
    """Return the final outcome that an answer states, or an empty text.

    ``not_run`` is followed by the code of the refusal. ``unknown`` is final only with
    status 200; otherwise another instance may know the outcome.
    """
    if status is None:
        return ""
    outcome = answer.get("outcome", "")
    if outcome == "not_run":
        return f"not_run: {answer.get('code') or answer.get('phase') or status}"
    if status == 200 and outcome in ("done", "failed", "unknown"):
        return outcome
    return ""


def summarise(values):
    """Return count, percentiles and maximum of durations in seconds."""
    if not values:
        return {"count": 0}
    cuts = [values[0]] * 99
    if len(values) > 1:
        cuts = statistics.quantiles(values, n=100, method="inclusive")
    percentiles = {f"p{percent}": round(cuts[percent - 1], 4) for percent in (50, 90)}
    return {
        "count": len(values),
        **percentiles,
        "p99": round(cuts[98], 4),
        "max": round(max(values), 4),
    }


async def run_load(jobs, *, entry_urls, limit_seconds):
    """Run planned jobs and return the report after ``limit_seconds`` at most."""
    report = Report()
    limiter = anyio.CapacityLimiter(OPEN_JOBS_LIMIT_COUNT)
    with anyio.move_on_after(limit_seconds):
        async with anyio.create_task_group() as tasks:
            for index, planned in enumerate(jobs):

                async def run(planned=planned, index=index):
                    await run_job(
                        planned,
                        limiter=limiter,
                        entry_urls=entry_urls,
                        report=report,
                        first_index=index,
                    )

                tasks.start_soon(run)
    return report


def describe_report(report, jobs, *, seed):
    """Return the report as the JSON object that the tool prints."""
    answered_count = sum(report.outcomes.values())
    return {
        "seed": seed,
        "jobs_count": len(jobs),
        "kinds": Counter(planned.kind for planned in jobs),
        "outcomes": report.outcomes,
        "pending_count": len(jobs) - answered_count,
        "unanswered_requests_count": report.unanswered_requests_count,
        "wrong_answers": report.wrong_answers,
        "completion_seconds": {
            urgency: summarise(values)
            for urgency, values in report.completion_seconds.items()
        },
    }


def main(
    *,
    entry_url: list[str],
    organisation: list[str],
    seed: int = 1,
    seconds: float = 10.0,
    jobs_per_second: float = 5.0,
    drain_seconds: float = 60.0,
):
    """Submit a seeded mix of jobs and print outcomes as one JSON object.

    :param entry_url: base URLs of entry instances, used in turn.
    :param organisation: organisations that submit jobs.
    :param seed: seed of the mix; the idempotency keys contain it.
    :param seconds: time during which jobs are submitted.
    :param jobs_per_second: mean rate of submissions.
    :param drain_seconds: longest wait for outcomes after the last submission.
    """
    jobs = plan_jobs(
        seed=seed,
        seconds=seconds,
        jobs_per_second=jobs_per_second,
        organisations=organisation,
    )

    async def run():
        return await run_load(
            jobs, entry_urls=entry_url, limit_seconds=seconds + drain_seconds
        )

    report = anyio.run(run)
    print(json.dumps(describe_report(report, jobs, seed=seed), indent=2))


if __name__ == "__main__":
    defopt.run(main)
