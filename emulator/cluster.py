"""In-memory cluster for simulations: store, operators, workers and instances.

All times are those of the event loop, whose clock may be virtual.
"""

import anyio
import attrs
import msgspec

from kingcuptrack.coordination.instance import Instance, InstanceSettings
from kingcuptrack.coordination.operator_rows import make_operators
from kingcuptrack.coordination.ports import (
    Clocks,
    Environment,
    RowKey,
    Store,
    Workers,
)
from kingcuptrack.prometheus_metrics import PrometheusMetrics
from kingcuptrack.state.cluster.cluster_policy import ClusterPolicy
from kingcuptrack.state.planning.plan_rules import DEFAULT_RULES

from .gang_workers import (
    LONGEST_LEASE_SECONDS,
    WORKER_CAPACITY,
    Fleet,
    make_worker_entry,
)
from .rows import NO_ANSWER, RowStore

WALL_CLOCK_START_SECONDS = 1_700_000_000.0
POLICY_AGE_LIMIT_SECONDS = 3.5
POLICY_KEY = RowKey(table="operators", part="", key="policy")
CLOSURE_PREFIX = "closed/"


def closure_key(data_centre):
    """Return the key of the row whose existence takes a data centre out of service."""
    return RowKey(table="operators", part="", key=CLOSURE_PREFIX + data_centre)


def decode_policy(row):
    """Return the policy stored in a row, with the version of the row."""
    policy = msgspec.msgpack.decode(row.value, type=ClusterPolicy)
    return attrs.evolve(policy, row_version=row.version)


@attrs.define(kw_only=True, eq=False)
class Member:
    """An instance of the cluster, which can be killed, restarted and frozen.

    ``instance`` and ``scope`` are None while it does not run; ``resumed`` is set when
    its suspended calls may continue, and None unless it is frozen. ``cores`` is the
    processor time that it can use, 0 if unknown. ``link_bytes_per_second`` is the rate
    at which it receives answers of the store, None for no limit; it takes effect when
    the instance is started.
    """

    name: str
    cores: float = 0.0
    link_bytes_per_second: float | None = None
    instance: Instance | None = None
    scope: anyio.CancelScope | None = None
    resumed: anyio.Event | None = None

    @property
    def is_frozen(self):
        """Whether its calls to the store and to the workers are suspended."""
        return self.resumed is not None


class Cluster:
    """Instances, store and workers of one simulated deployment.

    Parameters
    ----------
    tasks : anyio.abc.TaskGroup
    rng : random.Random
    observer : object
        Notified of events at workers; has the methods of `NullObserver`.
    workers_count, instances_count : int
    rack_size : int
        Number of workers in a rack.
    worker_capacity : Resources
    instance_cores : sequence of float
        Processor time of the first instances; unknown for the others.
    rules : PlanRules
    call_seconds : float
        Time that a call to a worker takes of the processor of an instance; calls of one
        instance take it one after another.
    worker_factors : sequence of float
        Run times on the workers relative to those of the jobs; 1 for further workers.
    store_limits : StoreLimits, optional
    link_bytes_per_second : float, optional
        Rate at which each instance receives answers of the store; no limit if None.
    """

    def __init__(
        self,
        *,
        tasks,
        rng,
        observer,
        workers_count=12,
        instances_count=4,
        rack_size=4,
        worker_capacity=WORKER_CAPACITY,
        instance_cores=(),
        rules=DEFAULT_RULES,
        call_seconds=0.0,
        worker_factors=(),
        store_limits=None,
        link_bytes_per_second=None,
    ):
        self._rules = rules
        self._call_seconds = call_seconds
        self._tasks = tasks
        self.store = RowStore(rng=rng, spawn=tasks.start_soon, limits=store_limits)
        self.fleet = Fleet(rng=rng, spawn=tasks.start_soon, observer=observer)
        for number in range(workers_count):
            entry = make_worker_entry(
                number, rack_size=rack_size, capacity=worker_capacity
            )
            self.fleet.add(entry, life=1)
        for worker, factor in zip(
            self.fleet.workers.values(), worker_factors, strict=False
        ):
            worker.slow_factor = factor
        self.members = [
            Member(name=f"i{n}", link_bytes_per_second=link_bytes_per_second)
            for n in range(instances_count)
        ]
        for member, cores in zip(self.members, instance_cores, strict=False):
            member.cores = cores

    def begin(self):
        """Start the workers and all instances."""
        self._tasks.start_soon(self.fleet.run)
        for member in self.members:
            self.start(member)

    def set_policy(self, policy):
        """Store a configuration, as operators do."""
        self.store.put(POLICY_KEY, msgspec.msgpack.encode(policy))

    def start(self, member):
        """Start an instance unless it already runs."""
        if member.scope is not None:
            return
        member.scope = anyio.CancelScope()
        member.instance = Instance(
            settings=InstanceSettings(
                instance_id=member.name,
                lease_seconds=LONGEST_LEASE_SECONDS,
                policy_age_limit_seconds=POLICY_AGE_LIMIT_SECONDS,
                processor_cores=member.cores,
            ),
            environment=self.make_environment(member),
            metrics=PrometheusMetrics(),
            rules=self._rules,
        )
        self._tasks.start_soon(self._run_member, member, member.scope)

    def kill(self, member):
        """Stop an instance abruptly, as a crash of its process does."""
        if member.scope is not None:
            member.scope.cancel()
            member.scope = None
            member.instance = None
        self.resume(member)

    def freeze(self, member):
        """Suspend the requests of an instance and the answers to them."""
        if member.resumed is None:
            member.resumed = anyio.Event()

    def resume(self, member):
        """Let the suspended calls of a frozen instance continue."""
        if member.resumed is not None:
            member.resumed.set()
            member.resumed = None

    def leader(self):
        """Return a member whose instance is the scheduler, or None."""
        for member in self.members:
            if member.instance and member.instance.candidate.scheduler:
                return member
        return None

    async def _run_member(self, member, scope):
        with scope:
            await member.instance.run()

    def make_environment(self, member):
        """Return the `Environment` of an instance."""

        def suspend_while_frozen(function):
            async def call(**arguments):
                await self._wait_resumed(member)
                outcome = await function(**arguments)
                await self._wait_resumed(member)
                return outcome

            return call

        processor = anyio.Lock()

        def charge_call(function):
            async def call(**arguments):
                async with processor:
                    await anyio.sleep(self._call_seconds)
                return await function(**arguments)

            return call if self._call_seconds else function

        store = self.store.port(
            member.name, link_bytes_per_second=member.link_bytes_per_second
        )
        store = Store(
            read=suspend_while_frozen(store.read),
            transact=suspend_while_frozen(store.transact),
            follow=suspend_while_frozen(store.follow),
            limits=store.limits,
        )
        workers = self.fleet.port(
            member.name, lambda: self._can_reach_store(member.name)
        )

        async def list_workers(*, timeout_seconds, **options):
            begun_at_seconds = anyio.current_time()
            outcome = await workers.list(timeout_seconds=timeout_seconds, **options)
            if self.store.is_silent(begun_at_seconds):
                await anyio.sleep_until(begun_at_seconds + timeout_seconds)
                return NO_ANSWER
            return outcome

        suspended_workers = Workers(
            poll=suspend_while_frozen(charge_call(workers.poll)),
            start=suspend_while_frozen(charge_call(workers.start)),
            stop=suspend_while_frozen(charge_call(workers.stop)),
            list=suspend_while_frozen(list_workers),
        )
        return Environment(
            store=store,
            workers=suspended_workers,
            operators=make_operators(
                store,
                policy_key=POLICY_KEY,
                closure_prefix=CLOSURE_PREFIX,
                decode_policy=decode_policy,
            ),
            clocks=Clocks(
                steady=anyio.current_time,
                boottime=anyio.current_time,
                wall=lambda: WALL_CLOCK_START_SECONDS + anyio.current_time(),
            ),
        )

    async def _wait_resumed(self, member):
        while member.resumed is not None:
            await member.resumed.wait()

    def _can_reach_store(self, name):
        faults = self.store.faults
        return not faults.down and name not in faults.cut_callers
