"""Counters and latency histograms of a process, in the Prometheus format."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

# The buckets range from the duration of a lookup in memory to more than the default
# timeout of a request, `http_api.DEFAULT_DEADLINE_SECONDS`.
LATENCY_BUCKETS_SECONDS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
# Phases of jobs last from a commit to the longest runs.
PHASE_BUCKETS_SECONDS = (0.01, 0.05, 0.2, 0.5, 1, 2, 5, 10, 30, 120, 600, 3600)


class PrometheusMetrics:
    """Counters and latency histograms of one process."""

    def __init__(self):
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "kingcuptrack_requests",
            "Requests of callers by kind and outcome",
            ["kind", "outcome"],
            registry=self._registry,
        )
        self._run_ends = Counter(
            "kingcuptrack_run_ends", "Ends of runs", ["how"], registry=self._registry
        )
        self._start_refusals = Counter(
            "kingcuptrack_start_refusals",
            "Start orders that workers refused",
            ["code"],
            registry=self._registry,
        )
        self._denied_commits = Counter(
            "kingcuptrack_denied_commits",
            "Commits that the store will never accept",
            registry=self._registry,
        )
        self._unreadable_rows = Counter(
            "kingcuptrack_unreadable_rows",
            "Reads for callers that found a row that cannot be decoded, by table",
            ["table"],
            registry=self._registry,
        )
        self._worker_crashes = Counter(
            "kingcuptrack_worker_crashes",
            "Crashes of workers, by whether a job was given up as their cause",
            ["cause"],
            registry=self._registry,
        )
        self._interference_findings = Counter(
            "kingcuptrack_interference_findings",
            "Pairs of kinds of work that slow each other down, learned or dropped",
            ["outcome"],
            registry=self._registry,
        )
        self._errors = Counter(
            "kingcuptrack_errors",
            "Unexpected errors that were caught, by the event of their log line",
            ["event"],
            registry=self._registry,
        )
        self._estimate_failures = Counter(
            "kingcuptrack_estimate_failures",
            "Estimates of the scheduler that raised an error, by name",
            ["name"],
            registry=self._registry,
        )
        self._restored_runs = Counter(
            "kingcuptrack_restored_runs",
            "Runs of held tasks that were not known any more and were recreated",
            registry=self._registry,
        )
        self._refusals = Counter(
            "kingcuptrack_overload_refusals",
            "Jobs refused for lack of capacity, by reason",
            ["reason"],
            registry=self._registry,
        )
        self._refused_connections = Counter(
            "kingcuptrack_refused_connections",
            "Connections of clients closed by a limit, by reason",
            ["reason"],
            registry=self._registry,
        )
        self._slow_workers = Gauge(
            "kingcuptrack_slow_workers",
            "Workers whose learned run times are over 1.25 times the average",
            registry=self._registry,
        )
        self._lost_runs = Counter(
            "kingcuptrack_lost_runs",
            "Runs that ended before they were done, by cause",
            ["cause"],
            registry=self._registry,
        )
        self._lost_core_seconds = Counter(
            "kingcuptrack_lost_core_seconds",
            "Core-seconds lost by runs that ended before they were done, by cause",
            ["cause"],
            registry=self._registry,
        )
        self._longest_wait = Gauge(
            "kingcuptrack_longest_wait_seconds",
            "Longest wait of work that is ready and was not placed, by priority",
            ["priority"],
            registry=self._registry,
        )
        self._starved_units = Gauge(
            "kingcuptrack_starved_units",
            "Ready steps of jobs of which nothing runs for some time, and blocked jobs",
            registry=self._registry,
        )
        self._organisations = Gauge(
            "kingcuptrack_organisation",
            "What an organisation uses and may use; set by the scheduler",
            ["organisation", "figure"],
            registry=self._registry,
        )
        self._latency = Histogram(
            "kingcuptrack_latency_seconds",
            "Duration of operations",
            ["operation"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._completed_jobs = Counter(
            "kingcuptrack_completed_jobs",
            "Completed jobs by priority and whether they met their objective",
            ["priority", "outcome"],
            registry=self._registry,
        )
        self._job_phases = Histogram(
            "kingcuptrack_job_phase_seconds",
            "Time of completed jobs by priority and phase",
            ["priority", "phase"],
            buckets=PHASE_BUCKETS_SECONDS,
            registry=self._registry,
        )

    def count_request(self, kind, outcome):
        """Count an answered request by kind and outcome."""
        self._requests.labels(kind, outcome).inc()

    def count_run_end(self, how):
        """Count the end of a run by how it ended."""
        self._run_ends.labels(how).inc()

    def count_start_refusal(self, code):
        """Count a start order that a worker refused, by the code of the refusal."""
        self._start_refusals.labels(code).inc()

    def count_worker_crash(self, *, is_cause_known):
        """Count the crash of a worker."""
        cause = "task" if is_cause_known else "unknown"
        self._worker_crashes.labels(cause).inc()

    def count_interference_finding(self, *, is_learned):
        """Count a pair of interfering kinds that was learned or dropped."""
        outcome = "learned" if is_learned else "dropped"
        self._interference_findings.labels(outcome).inc()

    def count_error(self, error):
        """Count a `CaughtError`."""
        self._errors.labels(error.event).inc()

    def count_estimate_failures(self, name, count):
        """Count the errors that an estimate raised."""
        self._estimate_failures.labels(name).inc(count)

    def count_restored_run(self):
        """Count a run that was missing and was recreated."""
        self._restored_runs.inc()

    def count_denied_commit(self):
        """Count a commit that the store will never accept."""
        self._denied_commits.inc()

    def count_unreadable_row(self, table):
        """Count a read for a caller that found a row that cannot be decoded."""
        self._unreadable_rows.labels(table).inc()

    def count_refusal(self, reason):
        """Count a job that was refused for lack of capacity."""
        self._refusals.labels(reason).inc()

    def count_refused_connection(self, reason):
        """Count a connection that a limit closed."""
        self._refused_connections.labels(reason).inc()

    def count_completed_job(self, priority, *, is_on_time):
        """Count a completed job."""
        outcome = "on_time" if is_on_time else "late"
        self._completed_jobs.labels(priority, outcome).inc()

    def observe_job_phase(self, priority, phase, seconds):
        """Record how long a completed job was in a phase; see `job_phases`."""
        self._job_phases.labels(priority, phase).observe(seconds)

    def set_slow_workers(self, count):
        """Record the number of workers that are slow by their learned factor."""
        self._slow_workers.set(count)

    def count_lost_work(self, cause, core_seconds):
        """Count a run that ended before it was done, and what was lost with it."""
        self._lost_runs.labels(cause).inc()
        self._lost_core_seconds.labels(cause).inc(core_seconds)

    def set_longest_waits(self, seconds_by_priority):
        """Replace the longest waits by priority; other priorities have none."""
        self._longest_wait.clear()
        for priority, seconds in seconds_by_priority.items():
            self._longest_wait.labels(priority).set(seconds)

    def set_starved_units(self, count):
        """Record how many units of starving jobs wait, and jobs that are blocked."""
        self._starved_units.set(count)

    def set_organisations(self, figures):
        """Replace the figures of organisations, by (organisation, name)."""
        self._organisations.clear()
        for (organisation, name), value in figures.items():
            self._organisations.labels(organisation, name).set(value)

    def observe(self, operation, seconds):
        """Record the duration of an operation."""
        self._latency.labels(operation).observe(seconds)

    def render(self):
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
