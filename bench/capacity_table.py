"""Computes the tables of docs/CAPACITY.md from the slopes of one run.

The input is the last line that `bench.capacity` printed. Slopes are measured up to the
sizes in the table of slopes; values for the target size are computed from them.
"""

import json
import math
import re
from pathlib import Path

import attrs
import defopt

SECONDS_PER_DAY = 86400.0

# Target sizes and limits, from docs/design.md.
DATA_CENTRES_COUNT = 20
REGIONS_COUNT = 5
WORKERS_COUNT = 2100
ACCELERATORS_COUNT = 4100
JOBS_PER_DAY = 2200
RUNNING_TASKS_COUNT = 8000
LARGEST_GANG_TASKS_COUNT = 256
ORGANISATIONS_COUNT = 50
CHANGES_PER_DAY = 2600
FAILURES_PER_DAY = 37
RESTARTS_PER_DAY = 120
WORKERS_PER_RACK_COUNT = 8

CORE_LIMIT_FRACTION = 0.029
MEMORY_LIMIT_BYTES = 64e6
TRANSFER_LIMIT_BYTES_PER_SECOND = 17e3
IN_FORCE_LIMIT_SECONDS = 18.0
START_LIMIT_SECONDS = 5.1
TAKEOVER_LIMIT_SECONDS = 5.0
# The page says "several hundred"; the computation uses 300.
TABLE_WRITES_LIMIT_PER_SECOND = 300.0
TABLE_READS_LIMIT_PER_SECOND = 2000.0

# Assumptions; docs/CAPACITY.md gives the reasons.
INSTANCES_PER_DATA_CENTRE_COUNT = 2
RUN_HOURS = 6.0
QUEUED_JOBS_PER_DATA_CENTRE_COUNT = 20
POLL_WAIT_SECONDS = 30.0
STATUS_POLL_SECONDS = 10.0
# Headers of two data packets and two acknowledgements, 52 bytes each. The proxy of the
# measurements counts only payload.
HEADER_BYTES_PER_EXCHANGE = 208.0
NETWORK_SECONDS = 0.1
# Difference in resident memory between the daemon's imports with and without docutils,
# which defopt loads to read a docstring.
DOCUTILS_BYTES = 3.6e6

# Constants of the daemon.
ASK_AGAIN_SECONDS = 0.3
SCAN_SECONDS = 5.0
POLL_FRACTION = 0.15
POLL_MINIMUM_SECONDS = 0.05
DECISION_SECONDS = 0.25
CHECKPOINT_SECONDS = 1.5
RECORD_RETRY_SECONDS = 10.0

INSTANCES_COUNT = DATA_CENTRES_COUNT * INSTANCES_PER_DATA_CENTRE_COUNT
PEERS_COUNT = INSTANCES_COUNT - 1
LISTED_COUNT = WORKERS_COUNT + INSTANCES_COUNT
CENTRE_WORKERS_COUNT = WORKERS_COUNT / DATA_CENTRES_COUNT
CENTRE_TASKS_COUNT = RUNNING_TASKS_COUNT / DATA_CENTRES_COUNT
TASKS_PER_WORKER = RUNNING_TASKS_COUNT / WORKERS_COUNT
RUNNING_JOBS_COUNT = JOBS_PER_DAY * RUN_HOURS / 24
CENTRE_JOBS_COUNT = RUNNING_JOBS_COUNT / DATA_CENTRES_COUNT
TASKS_PER_JOB = RUNNING_TASKS_COUNT / RUNNING_JOBS_COUNT
OPEN_JOBS_COUNT = (
    RUNNING_JOBS_COUNT + QUEUED_JOBS_PER_DATA_CENTRE_COUNT * DATA_CENTRES_COUNT
)
CENTRE_OPEN_JOBS_COUNT = OPEN_JOBS_COUNT / DATA_CENTRES_COUNT
# A lost worker ends every gang with a task on it; all of them are placed again.
LOST_WORKERS_PER_DAY = (FAILURES_PER_DAY + RESTARTS_PER_DAY) * (
    WORKERS_COUNT / LISTED_COUNT
)
PLACEMENTS_PER_DAY = JOBS_PER_DAY + LOST_WORKERS_PER_DAY * TASKS_PER_WORKER


@attrs.frozen(kw_only=True)
class Scenario:
    """Settings and mechanisms of the daemon that the computation depends on.

    The periods are in seconds. ``remote_heartbeat_seconds`` is the period towards other
    data centres, where one end of each pair sends. ``has_full_polls`` tells whether
    polls read rows that did not change, ``has_status_workers`` whether the status
    lists all workers.
    ``summaries_share`` is the share of heartbeats with the counts of organisations,
    ``saved_bytes`` the resident memory that the mechanisms save.
    """

    name: str
    heartbeat_seconds: float
    remote_heartbeat_seconds: float
    list_poll_seconds: float
    configuration_poll_seconds: float
    lease_seconds: float
    renewal_seconds: float
    has_full_polls: bool = True
    has_status_workers: bool = True
    summaries_share: float = 1.0
    saved_bytes: float = 0.0

    @property
    def heartbeats_per_second(self):
        """Heartbeat exchanges per second of one instance, sent and received."""
        local_count = INSTANCES_PER_DATA_CENTRE_COUNT - 1
        remote_count = PEERS_COUNT - local_count
        return (
            2 * local_count / self.heartbeat_seconds
            + remote_count / self.remote_heartbeat_seconds
        )


DEFAULTS = Scenario(
    name="default settings",
    heartbeat_seconds=1.0,
    remote_heartbeat_seconds=1.0,
    list_poll_seconds=1.0,
    configuration_poll_seconds=1.0,
    lease_seconds=10.0,
    renewal_seconds=3.0,
)
# Heartbeats stay at 1 s, since the time of a takeover depends on them. The period
# towards other data centres must be less than half of the isolation timeout of 3 s, the
# poll of the configuration less than all of it.
PROPOSED = Scenario(
    name="proposed settings",
    heartbeat_seconds=1.0,
    remote_heartbeat_seconds=1.4,
    list_poll_seconds=60.0,
    configuration_poll_seconds=2.0,
    lease_seconds=60.0,
    renewal_seconds=20.0,
)


# Settings with the changes of mechanisms that the page names. The daemon does not
# implement these changes.
CHANGED = Scenario(
    name="changed mechanisms",
    heartbeat_seconds=1.0,
    remote_heartbeat_seconds=5.0,
    list_poll_seconds=2.0,
    configuration_poll_seconds=2.0,
    lease_seconds=180.0,
    renewal_seconds=60.0,
    has_full_polls=False,
    has_status_workers=False,
    summaries_share=0.05,
    saved_bytes=DOCUTILS_BYTES,
)
SCENARIOS = (DEFAULTS, PROPOSED, CHANGED)


@attrs.frozen(kw_only=True)
class Cost:
    """Recurring work of one role of an instance; ``rate`` is per second."""

    role: str
    message: str
    rate_formula: str
    rate: float
    processor_seconds: float
    bytes_each: float

    @property
    def core_fraction(self):
        """Share of a core."""
        return self.rate * self.processor_seconds

    @property
    def bytes_per_second(self):
        """Bytes per second, both directions."""
        return self.rate * self.bytes_each


@attrs.frozen(kw_only=True)
class Row:
    """One row of the table that compares computed values with the target."""

    quantity: str
    formula: str
    slopes: str
    value: float
    limit: float
    unit: str
    mechanism: str

    @property
    def is_passed(self):
        """Whether the computed value is within the limit."""
        return self.value <= self.limit


class Slopes:
    """Fitted lines of a run by name."""

    def __init__(self, lines):
        self.lines = lines

    def at(self, name, x):
        """Return the value of a line at ``x``.

        A line that falls with ``x`` is replaced by the mean of its points. A negative
        intercept counts as 0.
        """
        line = self.lines[name]
        if line["slope"] <= 0:
            return sum(y for _, y in line["points"]) / len(line["points"])
        return max(0.0, line["intercept"]) + line["slope"] * x

    def per(self, name):
        """Return the slope, at least 0."""
        return max(0.0, self.lines[name]["slope"])


def early_polls_count(scenario):
    """Return the polls of a worker from a gang start until its renewal period."""
    first_count = POLL_MINIMUM_SECONDS / POLL_FRACTION / POLL_MINIMUM_SECONDS
    growth = math.log(scenario.renewal_seconds / POLL_MINIMUM_SECONDS)
    return first_count + growth / math.log(1 + POLL_FRACTION)


def renewal_cost(slopes, gangs_count):
    """Return processor seconds and bytes of a renewal of some gangs at one worker."""
    details_bytes = slopes.per("bytes_per_renewal_per_worker_of_gang") * (
        TASKS_PER_JOB - 1
    )
    return (
        slopes.at("processor_seconds_per_renewal_per_gang", gangs_count),
        slopes.at("bytes_per_renewal_per_gang", gangs_count)
        + gangs_count * details_bytes
        + HEADER_BYTES_PER_EXCHANGE,
    )


def recurring_costs(slopes, scenario, *, is_placer=True):
    """Return the recurring costs of an instance on an ordinary day."""

    def exchange(name, x=None):
        size = slopes.per(name) if x is None else slopes.at(name, x)
        return size + HEADER_BYTES_PER_EXCHANGE

    centre_placements = PLACEMENTS_PER_DAY / DATA_CENTRES_COUNT / SECONDS_PER_DAY
    full_renewal = renewal_cost(slopes, TASKS_PER_WORKER)
    # A poll after a start renews little more than the gang that was started.
    early_poll = renewal_cost(slopes, 1.0)
    listed_count = LISTED_COUNT if scenario.has_full_polls else 0
    organisations_count = ORGANISATIONS_COUNT if scenario.has_full_polls else 0
    # Each end of an exchange sends a summary if it is a placer, and one instance of
    # each data centre is.
    summaries_count = (1.0 if is_placer else 0.0) + 1 / INSTANCES_PER_DATA_CENTRE_COUNT
    summary_bytes = summaries_count * scenario.summaries_share * ORGANISATIONS_COUNT
    summary_bytes *= slopes.per("frame_bytes_per_placer_heartbeat_per_organisation")
    early_rate = centre_placements * TASKS_PER_JOB * early_polls_count(scenario)
    status_workers_count = CENTRE_WORKERS_COUNT if scenario.has_status_workers else 0
    status_bytes = exchange("bytes_per_status_poll_per_worker", status_workers_count)
    return [
        Cost(
            role="peer",
            message="heartbeat and answer",
            rate_formula="2 x 1 / period + 38 / remote period",
            rate=scenario.heartbeats_per_second,
            processor_seconds=slopes.per("processor_seconds_per_heartbeat"),
            bytes_each=exchange("bytes_per_heartbeat") + summary_bytes,
        ),
        Cost(
            role="peer",
            message="configuration change",
            rate_formula="2,600 / day",
            rate=CHANGES_PER_DAY / SECONDS_PER_DAY,
            processor_seconds=slopes.at(
                "processor_seconds_per_configuration_change_per_organisation",
                ORGANISATIONS_COUNT,
            ),
            bytes_each=exchange(
                "bytes_per_configuration_change_per_peer_per_organisation",
                ORGANISATIONS_COUNT,
            ),
        ),
        Cost(
            role="platform client",
            message="instance list poll",
            rate_formula=f"1 / list period, {listed_count:,} entries",
            rate=1 / scenario.list_poll_seconds,
            processor_seconds=slopes.at(
                "processor_seconds_per_list_poll_per_listed_instance", listed_count
            ),
            bytes_each=exchange(
                "bytes_per_list_poll_per_listed_instance", listed_count
            ),
        ),
        Cost(
            role="platform client",
            message="configuration row poll",
            rate_formula=f"1 / period, {organisations_count} organisations",
            rate=1 / scenario.configuration_poll_seconds,
            processor_seconds=slopes.at(
                "processor_seconds_per_configuration_poll_per_organisation",
                organisations_count,
            ),
            bytes_each=exchange(
                "bytes_per_configuration_poll_per_organisation", organisations_count
            ),
        ),
        Cost(
            role="front",
            message="submission, forwarded",
            rate_formula="2,200 / day / 40 instances",
            rate=JOBS_PER_DAY / SECONDS_PER_DAY / INSTANCES_COUNT,
            processor_seconds=slopes.at(
                "front_processor_seconds_per_job_per_task", TASKS_PER_JOB
            ),
            bytes_each=exchange("peer_bytes_per_forwarded_request"),
        ),
        Cost(
            role="front",
            message="long poll, forwarded",
            rate_formula=f"{OPEN_JOBS_COUNT:.0f} callers / 30 s / 40 instances",
            rate=OPEN_JOBS_COUNT / POLL_WAIT_SECONDS / INSTANCES_COUNT,
            processor_seconds=slopes.per(
                "front_processor_seconds_per_forwarded_request"
            ),
            bytes_each=exchange("peer_bytes_per_forwarded_request"),
        ),
        Cost(
            role="placer",
            message="loop and running gangs",
            rate_formula=f"1 / s, {CENTRE_JOBS_COUNT:.1f} gangs",
            rate=1.0,
            processor_seconds=slopes.at(
                "processor_seconds_per_second_per_running_gang", CENTRE_JOBS_COUNT
            ),
            bytes_each=0.0,
        ),
        Cost(
            role="placer",
            message="waiting jobs in decisions",
            rate_formula=f"{QUEUED_JOBS_PER_DATA_CENTRE_COUNT} jobs, each second",
            rate=float(QUEUED_JOBS_PER_DATA_CENTRE_COUNT),
            processor_seconds=slopes.per("processor_seconds_per_second_per_queued_job"),
            bytes_each=0.0,
        ),
        Cost(
            role="placer",
            message="placement with gang start",
            rate_formula=f"{PLACEMENTS_PER_DAY:.0f} / day / 20 data centres",
            rate=centre_placements,
            processor_seconds=slopes.at(
                "processor_seconds_per_placement_per_worker", TASKS_PER_JOB
            ),
            bytes_each=slopes.at(
                "worker_bytes_per_placement_per_worker", TASKS_PER_JOB
            ),
        ),
        Cost(
            role="placer",
            message="long polls of fronts",
            rate_formula=f"{CENTRE_OPEN_JOBS_COUNT:.1f} callers / 30 s",
            rate=CENTRE_OPEN_JOBS_COUNT / POLL_WAIT_SECONDS,
            processor_seconds=slopes.per(
                "placer_processor_seconds_per_forwarded_request"
            ),
            bytes_each=exchange("peer_bytes_per_forwarded_request"),
        ),
        Cost(
            role="placer",
            message="status poll",
            rate_formula=f"1 / 10 s, {status_workers_count:.0f} workers",
            rate=1 / STATUS_POLL_SECONDS,
            processor_seconds=slopes.at(
                "processor_seconds_per_status_poll_per_worker", status_workers_count
            ),
            bytes_each=status_bytes,
        ),
        Cost(
            role="owner of gangs",
            message="lease renewal",
            rate_formula=f"105 workers / renewal period, {TASKS_PER_WORKER:.2f} gangs",
            rate=CENTRE_WORKERS_COUNT / scenario.renewal_seconds,
            processor_seconds=full_renewal[0],
            bytes_each=full_renewal[1],
        ),
        Cost(
            role="owner of gangs",
            message="polls after a start",
            rate_formula=f"{PLACEMENTS_PER_DAY / DATA_CENTRES_COUNT:.0f} / day x "
            f"{TASKS_PER_JOB:.1f} workers x {early_polls_count(scenario):.0f}",
            rate=early_rate,
            processor_seconds=early_poll[0],
            bytes_each=early_poll[1],
        ),
    ]


def memory_bytes(slopes, *, is_placer):
    """Return the resident memory of an instance at the target size."""
    callers_count = OPEN_JOBS_COUNT / INSTANCES_COUNT
    total = (
        slopes.lines["resident_bytes_per_known_worker"]["intercept"]
        + slopes.per("resident_bytes_per_listed_instance") * LISTED_COUNT
        + slopes.per("resident_bytes_per_instance") * INSTANCES_COUNT
        + slopes.per("front_resident_bytes_per_connected_caller") * callers_count
    )
    if is_placer:
        total += (
            slopes.per("resident_bytes_per_known_worker") * CENTRE_WORKERS_COUNT
            + slopes.per("resident_bytes_per_running_task") * CENTRE_TASKS_COUNT
            + slopes.per("resident_bytes_per_queued_job")
            * QUEUED_JOBS_PER_DATA_CENTRE_COUNT
            + slopes.per("placer_resident_bytes_per_connected_caller")
            * CENTRE_OPEN_JOBS_COUNT
        )
    return total


def make_rows(slopes, scenario):
    """Return the rows that compare computed values with the target."""
    return [
        *_instance_rows(slopes, scenario),
        *_delay_rows(slopes, scenario),
        *_store_rows(slopes, scenario),
        *_event_rows(slopes, scenario),
    ]


def _instance_rows(slopes, scenario):
    costs = recurring_costs(slopes, scenario)
    front_costs = [
        cost
        for cost in recurring_costs(slopes, scenario, is_placer=False)
        if cost.role in ("peer", "platform client", "front")
    ]
    rows = []
    for name, parts in (
        ("front and peer", front_costs),
        ("front, peer and placer", costs),
    ):
        by_core = max(parts, key=lambda cost: cost.core_fraction)
        rows.append(
            Row(
                quantity=f"processor time, {name}",
                formula="sum of the table of recurring costs",
                slopes="all per message",
                value=100 * sum(cost.core_fraction for cost in parts),
                limit=100 * CORE_LIMIT_FRACTION,
                unit="% of a core",
                mechanism=f"largest: {by_core.message}",
            )
        )
        by_transfer = sorted(parts, key=lambda cost: -cost.bytes_per_second)[:3]
        names = ", ".join(
            f"{cost.message} {cost.bytes_per_second / 1e3:.1f}" for cost in by_transfer
        )
        rows.append(
            Row(
                quantity=f"transfer, {name}",
                formula="sum of the table of recurring costs",
                slopes="all per message",
                value=sum(cost.bytes_per_second for cost in parts) / 1e3,
                limit=TRANSFER_LIMIT_BYTES_PER_SECOND / 1e3,
                unit="KB/s",
                mechanism=f"largest: {names}",
            )
        )
        is_placer = parts is costs
        rows.append(
            Row(
                quantity=f"resident memory, {name}",
                formula="base + 2,140 listed + 40 instances + callers"
                + (" + 105 workers + 400 tasks + queue" if is_placer else ""),
                slopes="resident_bytes_*",
                value=(memory_bytes(slopes, is_placer=is_placer) - scenario.saved_bytes)
                / 1e6,
                limit=MEMORY_LIMIT_BYTES / 1e6,
                unit="MB",
                mechanism="state per worker, task, job and caller",
            )
        )
    status = next(cost for cost in costs if cost.message == "status poll")
    rows.append(
        Row(
            quantity="transfer of the instance that an operator asks for the status",
            formula="20 data centres x status at 105 workers / 10 s",
            slopes="bytes_per_status_poll_per_worker",
            value=DATA_CENTRES_COUNT * status.bytes_per_second / 1e3,
            limit=TRANSFER_LIMIT_BYTES_PER_SECOND / 1e3,
            unit="KB/s",
            mechanism="list of all workers in each status",
        )
    )
    return rows


def _delay_rows(slopes, scenario):
    spread_seconds = slopes.at("in_force_seconds_per_instance", INSTANCES_COUNT)
    start_seconds = slopes.at("start_seconds_per_worker", CENTRE_WORKERS_COUNT)
    rebuild_seconds = slopes.at("takeover_seconds_per_worker", CENTRE_WORKERS_COUNT)
    rebuild_seconds += (
        slopes.per("takeover_seconds_per_open_job") * CENTRE_OPEN_JOBS_COUNT
    )
    gap_seconds = slopes.at("takeover_gap_seconds_per_worker", CENTRE_WORKERS_COUNT)
    gap_seconds += slopes.per("takeover_seconds_per_open_job") * CENTRE_OPEN_JOBS_COUNT
    reclaim_seconds = DECISION_SECONDS + CHECKPOINT_SECONDS
    return [
        Row(
            quantity="configuration in force, push arrives",
            formula="line at 40 instances + 0.1 s of network",
            slopes="in_force_seconds_per_instance",
            value=spread_seconds + NETWORK_SECONDS,
            limit=IN_FORCE_LIMIT_SECONDS,
            unit="s",
            mechanism="pushes between instances",
        ),
        Row(
            quantity="configuration in force, push lost",
            formula="line at 40 instances + 0.1 s + configuration period",
            slopes="in_force_seconds_per_instance",
            value=spread_seconds
            + NETWORK_SECONDS
            + scenario.configuration_poll_seconds,
            limit=IN_FORCE_LIMIT_SECONDS,
            unit="s",
            mechanism="poll of the row",
        ),
        Row(
            quantity="urgent start, free accelerators, gang over 105 workers",
            formula="line at 105 workers + 0.25 s decision period",
            slopes="start_seconds_per_worker",
            value=start_seconds + DECISION_SECONDS,
            limit=START_LIMIT_SECONDS,
            unit="s",
            mechanism="reservation and start of all members at once",
        ),
        Row(
            quantity="urgent start, all accelerators borrowed",
            formula="as above + 0.25 s + checkpoint bound 1.5 s",
            slopes="start_seconds_per_worker",
            value=start_seconds + DECISION_SECONDS + reclaim_seconds,
            limit=START_LIMIT_SECONDS,
            unit="s",
            mechanism="reclaim with a checkpoint deadline",
        ),
        Row(
            quantity="takeover",
            formula=f"gap at 105 workers + {CENTRE_OPEN_JOBS_COUNT:.1f} open jobs",
            slopes="takeover_gap_seconds_per_worker, takeover_seconds_per_open_job",
            value=gap_seconds,
            limit=TAKEOVER_LIMIT_SECONDS,
            unit="s",
            mechanism=f"silence of 2.5 s, then rebuild of {rebuild_seconds:.2f} s",
        ),
        Row(
            quantity="urgent start during a takeover",
            formula="takeover + start, free accelerators",
            slopes="takeover_gap_seconds_per_worker, takeover_seconds_per_open_job, "
            "start_seconds_per_worker",
            value=gap_seconds + start_seconds + DECISION_SECONDS,
            limit=START_LIMIT_SECONDS,
            unit="s",
            mechanism="silence timeout of peers, rebuild, start round",
        ),
        Row(
            quantity="urgent start during a takeover, all accelerators borrowed",
            formula="takeover + start + 0.25 s + checkpoint bound 1.5 s",
            slopes="as above",
            value=gap_seconds + start_seconds + DECISION_SECONDS + reclaim_seconds,
            limit=START_LIMIT_SECONDS,
            unit="s",
            mechanism="silence timeout of 2.5 s or checkpoint bound of 1.5 s",
        ),
        Row(
            quantity="largest gang, one accelerator a task",
            formula="256 tasks; 4,100 accelerators / 20 data centres",
            slopes="none",
            value=LARGEST_GANG_TASKS_COUNT,
            limit=ACCELERATORS_COUNT / DATA_CENTRES_COUNT,
            unit="accelerators",
            mechanism="a gang stays in one data centre; needs a larger one",
        ),
    ]


def _store_rows(slopes, scenario):
    writes_per_job = slopes.at("table_writes_per_job_per_task", TASKS_PER_JOB)
    reads_per_job = slopes.at("table_reads_per_job_per_task", TASKS_PER_JOB)
    jobs_rate = PLACEMENTS_PER_DAY / SECONDS_PER_DAY
    change_rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    change_writes = slopes.at(
        "table_writes_per_configuration_change_per_instance", INSTANCES_COUNT
    )
    change_reads = slopes.at(
        "table_reads_per_configuration_change_per_instance", INSTANCES_COUNT
    )
    poll_reads = (
        INSTANCES_COUNT / scenario.configuration_poll_seconds
        + DATA_CENTRES_COUNT / SCAN_SECONDS
    )
    caller_reads = (
        OPEN_JOBS_COUNT
        / POLL_WAIT_SECONDS
        * slopes.per("table_reads_per_forwarded_request")
    )
    return [
        Row(
            quantity="table writes, ordinary day",
            formula="placements x writes per job + changes x writes per change",
            slopes="table_writes_per_job_per_task, "
            "table_writes_per_configuration_change_per_instance",
            value=jobs_rate * writes_per_job + change_rate * change_writes,
            limit=TABLE_WRITES_LIMIT_PER_SECOND,
            unit="per s",
            mechanism="rows of jobs and of open jobs",
        ),
        Row(
            quantity="table writes, all jobs of a day within one hour",
            formula="2,200 / 3,600 s x writes per job + changes",
            slopes="as above",
            value=JOBS_PER_DAY / 3600 * writes_per_job + change_rate * change_writes,
            limit=TABLE_WRITES_LIMIT_PER_SECOND,
            unit="per s",
            mechanism="rows of jobs and of open jobs",
        ),
        Row(
            quantity="table reads, ordinary day",
            formula="polls of 40 instances + 20 scans / 5 s + long polls + jobs "
            "+ changes",
            slopes="table_reads_per_job_per_task, table_reads_per_forwarded_request, "
            "table_reads_per_configuration_change_per_instance",
            value=poll_reads
            + caller_reads
            + jobs_rate * reads_per_job
            + change_rate * change_reads,
            limit=TABLE_READS_LIMIT_PER_SECOND,
            unit="per s",
            mechanism="poll of the configuration row, long polls",
        ),
    ]


def _event_rows(slopes, scenario):
    placement_seconds = slopes.at(
        "processor_seconds_per_placement_per_worker", TASKS_PER_JOB
    )
    rack_gangs_count = min(CENTRE_JOBS_COUNT, WORKERS_PER_RACK_COUNT * TASKS_PER_WORKER)
    other_centres_count = DATA_CENTRES_COUNT - 1
    moved_count = CENTRE_OPEN_JOBS_COUNT / other_centres_count
    caller_reads = slopes.per("table_reads_per_second_per_caller_without_placer")
    region_centres_count = DATA_CENTRES_COUNT / REGIONS_COUNT
    remote_callers_count = OPEN_JOBS_COUNT * (1 - 1 / REGIONS_COUNT)
    poll_reads = INSTANCES_COUNT / scenario.configuration_poll_seconds
    unwritten_count = JOBS_PER_DAY / 24
    writes_per_job = slopes.at("table_writes_per_job_per_task", TASKS_PER_JOB)
    centre_reads = (
        slopes.at("takeover_table_reads_per_worker", CENTRE_WORKERS_COUNT)
        + slopes.per("takeover_table_reads_per_open_job") * CENTRE_OPEN_JOBS_COUNT
    )
    takeover_seconds = slopes.at("takeover_seconds_per_worker", CENTRE_WORKERS_COUNT)
    takeover_seconds += (
        slopes.per("takeover_seconds_per_open_job") * CENTRE_OPEN_JOBS_COUNT
    )
    return [
        Row(
            quantity="rack lost: processor time of the placer to place its gangs again",
            formula=f"{rack_gangs_count:.1f} gangs x placement over "
            f"{TASKS_PER_JOB:.1f} workers",
            slopes="processor_seconds_per_placement_per_worker",
            value=rack_gangs_count * placement_seconds,
            limit=START_LIMIT_SECONDS,
            unit="s",
            mechanism="calls to each worker of each gang; no limit on gangs "
            "started at once",
        ),
        Row(
            quantity="rack lost: wait before its gangs run again",
            formula="lease + 0.5 s margin + renewal period; no bound is set",
            slopes="none",
            value=scenario.lease_seconds + 0.5 + scenario.renewal_seconds,
            limit=math.inf,
            unit="s",
            mechanism="lapse of the leases of silent workers",
        ),
        Row(
            quantity="data centre lost: processor time of another placer "
            "for the jobs submitted again",
            formula=f"{CENTRE_OPEN_JOBS_COUNT:.1f} open jobs / 19 x placement",
            slopes="processor_seconds_per_placement_per_worker",
            value=moved_count * placement_seconds,
            limit=START_LIMIT_SECONDS,
            unit="s",
            mechanism="routing by capacity summaries",
        ),
        Row(
            quantity="data centre lost: table reads of callers of its jobs",
            formula=f"{CENTRE_OPEN_JOBS_COUNT:.1f} callers x reads without a placer "
            "+ polls",
            slopes="table_reads_per_second_per_caller_without_placer",
            value=CENTRE_OPEN_JOBS_COUNT * caller_reads + poll_reads,
            limit=TABLE_READS_LIMIT_PER_SECOND,
            unit="per s",
            mechanism="repetition of an open long poll, each 0.3 s at first and 3 s "
            "later",
        ),
        Row(
            quantity="regions cut off, table reachable: table reads of callers",
            formula=f"{remote_callers_count:.0f} callers in another region x reads "
            "without a placer + polls",
            slopes="table_reads_per_second_per_caller_without_placer",
            value=remote_callers_count * caller_reads + poll_reads,
            limit=TABLE_READS_LIMIT_PER_SECOND,
            unit="per s",
            mechanism="repetition of an open long poll, each 0.3 s at first and 3 s "
            "later",
        ),
        Row(
            quantity="regions heal at once: table writes of outcomes held back",
            formula=f"{unwritten_count:.0f} jobs of an hour x writes per job / 10 s "
            "retry delay",
            slopes="table_writes_per_job_per_task",
            value=unwritten_count * writes_per_job / RECORD_RETRY_SECONDS,
            limit=TABLE_WRITES_LIMIT_PER_SECOND,
            unit="per s",
            mechanism="retries with growing delay of each job",
        ),
        Row(
            quantity="regions heal at once: table reads if every data centre "
            "rebuilds then",
            formula="20 x (takeover reads at 105 workers + open jobs) / duration "
            "of a rebuild + polls",
            slopes="takeover_table_reads_per_worker, "
            "takeover_table_reads_per_open_job, takeover_seconds_per_open_job",
            value=DATA_CENTRES_COUNT * centre_reads / max(1.0, takeover_seconds)
            + poll_reads,
            limit=TABLE_READS_LIMIT_PER_SECOND,
            unit="per s",
            mechanism="sequential reads of rows in a rebuild",
        ),
        Row(
            quantity="regions heal at once: heartbeats to links opened again",
            formula=f"{INSTANCES_COUNT - 2 * region_centres_count:.0f} remote "
            "instances, in one period, processor time",
            slopes="processor_seconds_per_heartbeat",
            value=(INSTANCES_COUNT - 2 * region_centres_count)
            * slopes.per("processor_seconds_per_heartbeat"),
            limit=1.0,
            unit="s",
            mechanism="heartbeats",
        ),
    ]


def render_slopes(slopes):
    """Return the Markdown table of all fitted lines."""
    rows = ["| Slope | Measured from .. to | Slope | Error | At 0 |", "|-|-|-|-|-|"]
    for name, line in sorted(slopes.lines.items()):
        xs = [x for x, _ in line["points"]]
        rows.append(
            f"| `{name}` | {min(xs):g} .. {max(xs):g} | {line['slope']:.3g} | "
            f"{line['slope_error']:.2g} | {line['intercept']:.3g} |"
        )
    return "\n".join(rows)


def render_costs(slopes, scenario):
    """Return the Markdown table of recurring costs of an instance."""
    rows = [
        "| Role | Message | Rate formula | Rate (1/s) | Each (ms) | % of a core "
        "| Each (bytes) | KB/s |",
        "|-|-|-|-|-|-|-|-|",
    ]
    for cost in recurring_costs(slopes, scenario):
        rows.append(
            f"| {cost.role} | {cost.message} | {cost.rate_formula} | {cost.rate:.3g} | "
            f"{1e3 * cost.processor_seconds:.3g} | {100 * cost.core_fraction:.2f} | "
            f"{cost.bytes_each:.0f} | {cost.bytes_per_second / 1e3:.2f} |"
        )
    return "\n".join(rows)


def render_rows(slopes):
    """Return the Markdown table that compares all scenarios with the target."""
    lines = [
        "| Quantity | Formula | Slopes used | Limit | Default settings "
        "| Proposed settings | Changed mechanisms | Pass "
        "| Carried by, or what has to change |",
        "|-|-|-|-|-|-|-|-|-|",
    ]
    columns = [make_rows(slopes, scenario) for scenario in SCENARIOS]
    for rows in zip(*columns, strict=True):
        first = rows[0]
        limit = "none" if math.isinf(first.limit) else f"{first.limit:g} {first.unit}"
        passed = [
            scenario.name.split()[0]
            for scenario, row in zip(SCENARIOS, rows, strict=True)
            if row.is_passed
        ]
        verdict = "only " + " and ".join(passed) if passed else "**no**"
        if len(passed) == len(rows):
            verdict = "yes"
        values = " | ".join(f"{row.value:.3g}" for row in rows)
        lines.append(
            f"| {first.quantity} | {first.formula} | {first.slopes} | {limit} | "
            f"{values} | {verdict} | {rows[1].mechanism} |"
        )
    return "\n".join(lines)


def render_tables(run):
    """Return all Markdown tables by name for the JSON object of a run."""
    slopes = Slopes(run["slopes"])
    return {
        "target": render_rows(slopes),
        "costs-default": render_costs(slopes, DEFAULTS),
        "costs-proposed": render_costs(slopes, PROPOSED),
        "costs-changed": render_costs(slopes, CHANGED),
        "slopes": render_slopes(slopes),
    }


def fill_page(text, tables):
    """Return the text of the page with its tables replaced.

    A table is placed between ``<!-- table NAME -->`` and ``<!-- end -->``.
    """

    def replace(match):
        name = match.group(1)
        return f"<!-- table {name} -->\n{tables[name]}\n<!-- end -->"

    return re.sub(
        r"<!-- table ([\w-]+) -->\n.*?<!-- end -->", replace, text, flags=re.DOTALL
    )


def main(*, slopes: Path, page: Path | None = None):
    """Print the tables for a file of slopes, or write them into a page.

    :param slopes: JSON file with the last line of a run of bench.capacity.
    :param page: page whose tables to replace.
    """
    tables = render_tables(json.loads(slopes.read_text(encoding="utf-8")))
    if page is None:
        print("\n\n".join(tables.values()))
    else:
        text = fill_page(page.read_text(encoding="utf-8"), tables)
        page.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    defopt.run(main)
