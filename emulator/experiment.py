"""Comparison of planning rules on the same seeded load, as a table and a plot.

    python -m emulator.experiment examples/experiment.ini [--plot FILE.png]

The in-memory cluster runs the load on a virtual clock, so that one simulated run takes
about a second. An INI file sets the number of seeds, the load (fields of `LoadShape`),
organisations with a load of their own (fields of `OrganisationLoad`), and the variants,
each of which changes fields of `PlanRules`.
"""

import random
import sys
from pathlib import Path

import anyio
import attrs
import defopt

from kingcuptrack.errors import collect_errors
from kingcuptrack.findings import Finding, Place
from kingcuptrack.ini import parse_ini
from kingcuptrack.outcomes import Done
from kingcuptrack.state.jobs.progress import FINAL_STATES, JobState
from kingcuptrack.state.jobs.steps import GUARANTEED_PRIORITY, Resources
from kingcuptrack.state.planning.features import parse_features
from kingcuptrack.state.planning.plan_rules import PlanRules
from kingcuptrack.state.planning.shares import rank_by_share, rank_by_slack
from kingcuptrack.tools.tables import format_table

from .cluster import Cluster
from .platform_service import NullObserver
from .simulated_load import (
    HOST,
    LoadShape,
    OrganisationLoad,
    draw_jobs,
    draw_worker_factors,
    make_policy,
    make_task_factor,
    parse_interference,
)
from .virtual_clock import run_virtual

POLL_INTERVAL_SECONDS = 0.2
# Time after the end of the load within which jobs may still finish.
FINISH_LIMIT_SECONDS = 60.0


def order_by_priority(unit, *, is_guaranteed, wall_seconds, expect):
    """Return a sort key: guaranteed units, then the queue priority, then arrival."""
    submission = unit.job.submission
    is_not_guaranteed = unit.priority != GUARANTEED_PRIORITY
    return (
        is_not_guaranteed,
        submission.priority,
        submission.accepted_at_seconds,
        submission.job_id,
        unit.step_number,
    )


def order_by_arrival(unit, *, is_guaranteed, wall_seconds, expect):
    """Return a sort key that serves jobs in the order of arrival."""
    submission = unit.job.submission
    return submission.accepted_at_seconds, submission.job_id, unit.step_number


# Fields of `LoadShape` whose text is not that of a number.
LOAD_PARSERS = {"interference": parse_interference}
NAMED_ORDERS = {"priority": order_by_priority, "arrival": order_by_arrival}
NAMED_SHARE_RANKS = {"share": rank_by_share, "slack": rank_by_slack}


class CaughtErrorsError(Exception):
    """An instance has caught unexpected errors; holds each `CaughtError`."""


@attrs.frozen(kw_only=True)
class Experiment:
    """Seeds, load and the `PlanRules` of the variants by name."""

    seeds: tuple
    shape: LoadShape
    variants: dict


@attrs.define(kw_only=True, eq=False)
class JobResult:
    """Final state and completion time of one job as its caller saw them.

    ``accepted_at_seconds`` is when the caller had the answer to its submission, on the
    clock of the event loop.
    """

    kind: str
    organisation: str = "acme"
    objective_seconds: float
    job_id: str = ""
    steps: tuple = ()
    accepted_at_seconds: float | None = None
    state: JobState | None = None
    seconds: float | None = None

    @property
    def verdict(self):
        """``on time``, ``late`` (up to 3 times the objective) or ``not`` (served)."""
        if self.state != JobState.COMPLETED or self.seconds is None:
            return "not"
        if self.seconds <= self.objective_seconds:
            return "on time"
        return "late" if self.seconds <= 3 * self.objective_seconds else "not"


def load_experiment(path):
    """Parse an experiment file.

    No experiment is returned if there are findings.

    Returns
    -------
    experiment : Experiment or None
    findings : list of Finding
    """
    sections, findings = parse_ini(Path(path).read_text("utf-8"), file=str(path))
    known = {field.name: field for field in attrs.fields(LoadShape)}
    # Has sections of its own.
    del known["organisations"]
    shape, seeds, variants, organisations = {}, (), {}, {}
    for section in sections.values():
        for key, raw in section.values.items():
            place = Place(file=str(path), section=section.name, key=key, line=raw.line)
            try:
                if section.name == "load" and key == "seeds":
                    seeds = tuple(range(1, 1 + int(raw.text)))
                elif section.name == "load" and key in known:
                    parse = LOAD_PARSERS.get(key)
                    shape[key] = (
                        parse(raw.text)
                        if parse
                        else _parse_shape(known[key].type, raw.text)
                    )
                elif section.name.startswith("variant "):
                    name = section.name.removeprefix("variant ")
                    variants.setdefault(name, {})[key] = _parse_rule(key, raw.text)
                elif section.name.startswith("organisation "):
                    name = section.name.removeprefix("organisation ")
                    fields = organisations.setdefault(name, {})
                    fields[key] = _parse_organisation_field(key, raw.text)
                else:
                    raise ValueError("unknown key")
            except (ValueError, KeyError) as error:
                findings.append(Finding(place=place, message=str(error)))
        if section.name.startswith("variant "):
            variants.setdefault(section.name.removeprefix("variant "), {})
    if not seeds or not variants:
        place = Place(file=str(path))
        findings.append(Finding(place=place, message="seeds and variants are required"))
    if findings:
        return None, findings
    rules = {name: PlanRules(**fields) for name, fields in variants.items()}
    shape["organisations"] = tuple(
        OrganisationLoad(name=name, **fields) for name, fields in organisations.items()
    )
    return Experiment(seeds=seeds, shape=LoadShape(**shape), variants=rules), []


def _parse_shape(kind, text):
    if kind is tuple:
        return tuple(float(word) for word in text.split())
    return kind(text)


def _parse_organisation_field(key, text):
    known = {field.name: field for field in attrs.fields(OrganisationLoad)}
    if key not in known or key == "name":
        raise ValueError("unknown key")
    return known[key].type(text)


def _parse_rule(key, text):
    if key == "features":
        return parse_features(text)
    if key == "order":
        return NAMED_ORDERS[text]
    if key == "share_rank":
        return NAMED_SHARE_RANKS[text]
    if key == "reservations_count":
        return int(text)
    if key == "is_reclaiming":
        return {"yes": True, "no": False}[text]
    if key not in {field.name for field in attrs.fields(PlanRules)}:
        raise ValueError("unknown rule")
    return float(text)


async def no_disturbance(cluster):
    """Leave the cluster alone."""


def play(rules, shape, seed, *, observer=None, disturb=no_disturbance):
    """Simulate one run of the load and return its list of `JobResult`.

    Parameters
    ----------
    rules : PlanRules
    shape : LoadShape
    seed : int
    observer : NullObserver, optional
        Notified of events at the workers.
    disturb : async callable
        Called with the `Cluster` when the load begins; may inject faults.

    Raises
    ------
    CaughtErrorsError
        An instance has caught an unexpected error, so that the results tell nothing.
    """
    observer = observer or NullObserver()
    with collect_errors() as errors:
        results = run_virtual(_simulate, rules, shape, seed, observer, disturb)
    if errors:
        raise CaughtErrorsError(errors)
    return results


async def _simulate(rules, shape, seed, observer, disturb):
    rng = random.Random(seed)
    jobs = draw_jobs(shape, rng)
    results = []
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(
            tasks=tasks,
            rng=rng,
            observer=observer,
            workers_count=shape.workers_count,
            rack_size=shape.rack_size,
            worker_capacity=Resources(
                cpu_millicores=shape.worker_cpu_millicores,
                memory_mb=shape.worker_memory_mb,
                gpus_count=8,
            ),
            instances_count=2,
            rules=rules,
            worker_factors=draw_worker_factors(shape, seed),
        )
        cluster.fleet.interference = {
            (image, neighbour): factor
            for image, neighbour, factor in shape.interference
        }
        cluster.fleet.task_factor = make_task_factor(shape, seed)
        cluster.fleet.checkpoint_interval_seconds = shape.checkpoint_interval_seconds
        cluster.set_policy(make_policy(shape))
        cluster.begin()
        await anyio.sleep(4.0)
        tasks.start_soon(disturb, cluster)
        with anyio.move_on_after(shape.load_seconds + FINISH_LIMIT_SECONDS):
            async with anyio.create_task_group() as callers:
                for job in jobs:
                    result = JobResult(
                        kind=job.kind,
                        organisation=job.organisation,
                        objective_seconds=job.objective_seconds,
                        job_id=job.job_id,
                        steps=job.request.steps,
                    )
                    results.append(result)
                    callers.start_soon(_run_caller, cluster, job, result)
        tasks.cancel_scope.cancel()
    return results


async def _run_caller(cluster, job, result):
    await anyio.sleep(job.at_seconds)
    cluster.fleet.jobs[job.job_id] = job.request.steps, job.seconds, 0
    admissions = cluster.members[0].instance.admissions
    caller = admissions.authorise(
        host=HOST, path=f"/{job.kind}/{job.job_id}", key=job.key
    ).value
    submitted_at_seconds = anyio.current_time()
    await admissions.submit(caller, job.job_id, job.request, timeout_seconds=2.5)
    result.accepted_at_seconds = anyio.current_time()
    while result.state not in FINAL_STATES:
        await anyio.sleep(POLL_INTERVAL_SECONDS)
        outcome = await admissions.read_state(caller, job.job_id)
        if isinstance(outcome, Done):
            result.state = outcome.value
            result.seconds = anyio.current_time() - submitted_at_seconds


def summarise(results_by_variant):
    """Return (headers, rows) of a table by variant and kind of job.

    Columns are the shares of jobs on time, late and not served, and percentiles of
    the completion time in seconds; jobs that are not served count as infinite.
    """
    rows = []
    for variant, results in results_by_variant.items():
        for kind in sorted({result.kind for result in results}):
            chosen = [result for result in results if result.kind == kind]
            verdicts = [result.verdict for result in chosen]
            seconds = sorted(
                result.seconds if result.verdict != "not" else float("inf")
                for result in chosen
            )
            rows.append(
                (
                    variant,
                    kind,
                    len(chosen),
                    *(
                        round(verdicts.count(verdict) / len(chosen), 3)
                        for verdict in ("on time", "late", "not")
                    ),
                    round(seconds[len(seconds) // 2], 1),
                    round(seconds[int(0.95 * (len(seconds) - 1))], 1),
                )
            )
    headers = ("variant", "kind", "jobs", "on time", "late", "not", "p50 s", "p95 s")
    return headers, rows


def plot(rows, path):
    """Write a bar chart of the share on time by kind and variant."""
    # matplotlib is a development extra, which only plots need.
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    variants = list(dict.fromkeys(row[0] for row in rows))
    kinds = sorted({row[1] for row in rows})
    figure, axes = plt.subplots(figsize=(8, 4))
    width = 0.8 / len(variants)
    for number, variant in enumerate(variants):
        shares = [
            next(row[3] for row in rows if row[:2] == (variant, kind)) for kind in kinds
        ]
        positions = [index + number * width for index in range(len(kinds))]
        axes.bar(positions, shares, width=width, label=variant)
    axes.set_xticks([index + 0.4 - width / 2 for index in range(len(kinds))], kinds)
    axes.set_ylabel("share of jobs on time")
    axes.set_ylim(0, 1)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def main(experiment: Path, *, plot_file: str = ""):
    """Simulate every variant of an experiment with each seed.

    :param experiment: INI file
    :param plot_file: PNG file for a chart of the share on time
    """
    loaded, findings = load_experiment(experiment)
    for finding in findings:
        print(finding, file=sys.stderr)
    if loaded is None:
        return 2
    results = {
        name: [
            result
            for seed in loaded.seeds
            for result in play(rules, loaded.shape, seed)
        ]
        for name, rules in loaded.variants.items()
    }
    headers, rows = summarise(results)
    print(format_table(headers, rows))
    if plot_file:
        plot(rows, plot_file)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
