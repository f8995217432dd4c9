"""State of a cluster or a job as text, for operators and on-call engineers."""

from datetime import UTC, datetime

from ..coordination.inspection import inspect_cluster, inspect_job
from ..coordination.learned_rows import INTERFERENCE_SUBJECT
from ..coordination.ports import Shard
from ..state.cluster.interference import Interference
from ..state.cluster.worker_speeds import SLOW_WORKER_FACTOR
from ..state.jobs.records import RecordError
from ..state.jobs.steps import NO_RESOURCES
from ..state.planning.shares import dominant_share, make_weights, sum_resources
from .tables import format_table


async def describe_cluster(environment):
    """Return the state of the cluster as text; raises `InspectionError`."""
    view = await inspect_cluster(environment, Shard())
    lines = []
    if view.policy is not None:
        lines.append(f"configuration: version {view.policy.version}")
    else:
        lines.append("configuration: none")
    closed = ", ".join(sorted(view.closed_data_centres)) or "none"
    lines.append(f"data centres out of service: {closed}")
    if view.leader is None:
        lines.append("scheduler: none has led yet")
    else:
        state = "released" if view.leader.is_released else "leads"
        lines.append(
            f"scheduler: {view.leader.holder} {state} in epoch {view.leader.epoch}, "
            f"commit {view.leader.sequence}"
        )
    lines += ["", format_table(("state", "jobs"), sorted(view.jobs_by_state.items()))]
    lines += ["", format_table(("queue", "waiting"), sorted(view.pending.items()))]
    if view.load is not None:
        lines += ["", *_describe_load(view.load)]
    if view.policy is not None:
        lines += ["", _describe_organisations(view)]
    rows = [
        (
            entry.worker_id,
            entry.data_centre,
            entry.rack,
            entry.capacity.gpus_count,
            "leaving" if entry.is_draining else "ready",
        )
        for entry in sorted(view.workers, key=lambda entry: entry.worker_id)
    ]
    header = ("worker", "data centre", "rack", "accelerators", "state")
    lines += ["", format_table(header, rows)]
    if INTERFERENCE_SUBJECT in view.learned:
        lines += ["", _describe_interference(view.learned[INTERFERENCE_SUBJECT])]
    slow = [
        (worker_id, f"{factor:.2f}")
        for worker_id, factor in sorted(view.worker_factors.items())
        if factor > SLOW_WORKER_FACTOR
    ]
    if slow:
        lines += ["", format_table(("slow worker", "run time / average"), slow)]
    return "\n".join(lines)


def _describe_interference(data):
    interference = Interference()
    try:
        interference.restore(data)
    except RecordError as error:
        return f"row of interference: {error}"
    rows = [
        (
            pair.kind,
            pair.neighbour,
            round(pair.factor, 2),
            round(pair.deviations, 1),
        )
        for pair in interference.pairs()
    ]
    return format_table(("kind", "slowed by", "factor", "deviations"), rows)


def _describe_load(load):
    """Return the lines with the load by class and by organisation."""
    made_at = datetime.fromtimestamp(load.made_at_seconds, UTC)
    amounts = ("waiting gpu s", "running gpu s", "gpus", "drain gpus", "wait s")

    def describe_amounts(part):
        return (
            round(part.backlog_gpu_seconds),
            round(part.running_gpu_seconds),
            part.used_gpus_count,
            round(part.drain_gpus, 1),
            round(part.wait_seconds, 1),
        )

    classes = [
        (part.service, part.priority, *describe_amounts(part)) for part in load.classes
    ]
    organisations = [
        (
            part.service,
            part.organisation,
            *describe_amounts(part),
            round(part.share, 3),
            round(part.oldest_wait_seconds, 1),
        )
        for part in load.organisations
    ]
    header = ("service", "organisation", *amounts, "share", "oldest s")
    return [
        f"load at {made_at:%Y-%m-%d %H:%M:%S} UTC",
        format_table(("service", "priority", *amounts), classes),
        "",
        format_table(header, organisations),
    ]


def _describe_organisations(view):
    """Return a table of what the organisations use and may use.

    ``used`` and ``maximum`` are accelerators, cores and memory in GB; ``share`` is the
    largest fraction of a resource that is used, ``fair`` the one by weight.
    """
    capacity = sum_resources(entry.capacity for entry in view.workers)
    weights = make_weights(view.policy)
    rows = []
    for organisation in sorted(view.policy.organisations, key=lambda item: item.name):
        name = organisation.name
        used = view.used_by_organisation.get(name, NO_RESOURCES)
        fair = weights[name] / sum(weights.values()) if weights else None
        rows.append(
            (
                name,
                _format_resources(used, "0"),
                _format_resources(organisation.maximum, "-"),
                organisation.guarantee_gpus,
                organisation.weight or "-",
                round(dominant_share(used, capacity), 3),
                "-" if fair is None else round(fair, 3),
            )
        )
    header = (
        "organisation",
        "used",
        "maximum",
        "guaranteed",
        "weight",
        "share",
        "fair",
    )
    return format_table(header, rows)


def _format_resources(resources, zero):
    amounts = (
        resources.gpus_count,
        round(resources.cpu_millicores / 1000, 1),
        round(resources.memory_mb / 1000, 1),
    )
    return " / ".join(str(amount) if amount else zero for amount in amounts)


async def describe_job(environment, job_id):
    """Return the state of a job as text; raises `InspectionError`."""
    view = await inspect_job(environment, Shard(), job_id)
    submission, progress = view.submission, view.progress
    lines = [
        f"job {job_id}: {progress.state.value if progress else 'queued'}",
        f"queue {submission.queue}, organisation {submission.organisation}, "
        f"priority {submission.priority}, attempts {submission.attempts_limit}",
        f"cancel requested: {'yes' if view.is_cancelled else 'no'}",
    ]
    if progress and progress.failure_reason:
        lines.append(f"given up: {progress.failure_reason}")
    rows = []
    for occurrence, steps in (progress.occurrences if progress else {}).items():
        for number, step in enumerate(steps):
            for index, task in enumerate(step.tasks):
                state = "done" if task.is_done else "waiting"
                if task.worker_id:
                    state = f"at {task.worker_id}"
                rows.append(
                    (
                        f"{occurrence}/{number}/{index}",
                        state,
                        task.last_run,
                        task.failures_count,
                        task.crashes_count,
                    )
                )
    if rows:
        header = ("occurrence/step/task", "state", "runs", "failures", "crashes")
        lines += ["", format_table(header, rows)]
    return "\n".join(lines)
