"""Fixtures: plays of single jobs on the in-memory cluster, on a virtual clock."""

import random

import anyio

from emulator.cluster import Cluster
from emulator.platform_service import NullObserver
from emulator.virtual_clock import run_virtual
from kingcuptrack.coordination.admissions import JobRequest
from kingcuptrack.outcomes import Done

from .caught_errors import no_caught_errors
from .simulated_policy import HOST, KEY, make_policy

# Time in which an instance leads and all workers have answered.
START_SECONDS = 4.0


def play_cluster(function, *, allowed_errors=(), **cluster_options):
    """Call an async function with a started cluster; returns its result.

    ``cluster_options`` are parameters of `Cluster`; by default the observer ignores
    every event, and the seed is always the same. Fails if an instance catches an
    unexpected error but those with the events in ``allowed_errors``, which a test
    injects.
    """

    async def run():
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(
                tasks=tasks,
                **{
                    "rng": random.Random(1),
                    "observer": NullObserver(),
                    **cluster_options,
                },
            )
            cluster.set_policy(make_policy())
            cluster.begin()
            await anyio.sleep(START_SECONDS)
            result = await function(cluster)
            tasks.cancel_scope.cancel()
        return result

    with no_caught_errors(allowed_events=allowed_errors):
        return run_virtual(run)


def set_links(cluster, *, bytes_per_second):
    """Restart all instances with links of this rate."""
    for member in cluster.members:
        cluster.kill(member)
        member.link_bytes_per_second = bytes_per_second
        cluster.start(member)


async def submit_job(member, cluster, job_id, step, *, run_seconds, queue="batch"):
    """Submit a job with one step at an instance; returns the caller.

    Each of its tasks runs for ``run_seconds``.
    """
    cluster.fleet.jobs[job_id] = (step,), run_seconds, 0
    admissions = member.instance.admissions
    caller = admissions.authorise(host=HOST, path=f"/{queue}/{job_id}", key=KEY).value
    request = JobRequest(spec="", steps=(step,), digest=job_id)
    outcome = await admissions.submit(caller, job_id, request, timeout_seconds=2.0)
    assert isinstance(outcome, Done), outcome
    return caller
