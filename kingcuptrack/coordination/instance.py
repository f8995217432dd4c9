"""One instance on the platform: its components and their tasks."""

import anyio
import attrs

from ..logs import log_event
from ..outcomes import Done
from ..state.cluster.shard_state import DEFAULT_REMOTE_FACTOR
from ..state.planning.plan_rules import DEFAULT_RULES
from .admissions import Admissions
from .leadership import LeadershipCandidate
from .overload import OverloadControl
from .policy_watch import PolicyWatch
from .ports import Shard
from .scheduler import Scheduler
from .supervision import supervise

# Interval between reads of the worker list for the check whether a job can ever run;
# the list changes rarely.
WORKER_LIST_INTERVAL_SECONDS = 10.0
WORKER_LIST_TIMEOUT_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class InstanceSettings:
    """Settings of an instance.

    ``lease_seconds`` is the longest lease that workers accept,
    ``policy_age_limit_seconds`` the time after the last confirming read for which
    requests may be answered by the configuration, ``remote_factor`` the run time of a
    task outside its rack, relative to that inside. ``processor_cores`` is the
    processor time that the instance can use, 0 if unknown.
    """

    instance_id: str
    lease_seconds: float
    policy_age_limit_seconds: float
    remote_factor: float = DEFAULT_REMOTE_FACTOR
    processor_cores: float = 0.0


class Instance:
    """Admits jobs, follows the configuration and schedules while it is the leader."""

    def __init__(
        self, *, settings, environment, metrics, shard=None, rules=DEFAULT_RULES
    ):
        shard = shard or Shard()
        self._environment = environment
        self._listed_workers = ()
        self._is_leaving = False
        self.policy_watch = PolicyWatch(
            operators=environment.operators,
            clocks=environment.clocks,
            policy_age_limit_seconds=settings.policy_age_limit_seconds,
            metrics=metrics,
        )
        overload = None
        if rules.features.admission:
            overload = OverloadControl(
                store=environment.store, clocks=environment.clocks, shard=shard
            )
        self.admissions = Admissions(
            environment=environment,
            policy_watch=self.policy_watch,
            shard=shard,
            list_workers=self._list_workers,
            metrics=metrics,
            overload=overload,
        )

        def make_scheduler(chain):
            return Scheduler(
                environment=environment,
                policy_watch=self.policy_watch,
                shard=shard,
                chain=chain,
                lease_seconds=settings.lease_seconds,
                remote_factor=settings.remote_factor,
                metrics=metrics,
                rules=rules,
            )

        self.candidate = LeadershipCandidate(
            store=environment.store,
            clocks=environment.clocks,
            shard=shard,
            instance_id=settings.instance_id,
            make_scheduler=make_scheduler,
            cores=settings.processor_cores,
        )

    def is_ready(self):
        """Return whether the instance should get new callers."""
        return (
            not self._is_leaving
            and self.policy_watch.is_policy_fresh()
            and self.policy_watch.is_reachable
        )

    @property
    def is_leaving(self):
        """Whether the instance is about to stop."""
        return self._is_leaving

    async def run(self):
        """Run the tasks of all components until cancelled."""
        async with anyio.create_task_group() as task_group:
            for name, function in (
                ("policy_watch", self.policy_watch.run),
                ("worker_list", self._follow_workers),
                ("leadership", self.candidate.run),
            ):
                task_group.start_soon(supervise, name, function)

    async def leave(self):
        """Report not ready and release the leadership."""
        self._is_leaving = True
        log_event("instance", outcome="leaving")
        await self.candidate.release()

    def _list_workers(self, service):
        return [
            (entry.labels, entry.capacity)
            for entry in self._listed_workers
            if entry.service == service
        ]

    async def _follow_workers(self):
        while True:
            outcome = await self._environment.workers.list(
                timeout_seconds=WORKER_LIST_TIMEOUT_SECONDS
            )
            if isinstance(outcome, Done):
                self._listed_workers = outcome.value
            await anyio.sleep(WORKER_LIST_INTERVAL_SECONDS)
