"""Unexpected errors that were caught: their lines, their count, who notices them."""

import contextlib
import tempfile
from pathlib import Path
from unittest import mock

import anyio
from loguru import logger

from emulator import experiment
from emulator.simulated_load import LoadShape
from kingcuptrack.coordination.scheduler import Scheduler
from kingcuptrack.errors import collect_errors, log_error, watch_errors
from kingcuptrack.logs import configure_logs, log_event
from kingcuptrack.prometheus_metrics import PrometheusMetrics
from kingcuptrack.state.cluster.run_times import RunTimes
from kingcuptrack.state.planning.plan_rules import DEFAULT_RULES

from .caught_errors import find_logged_errors, no_caught_errors
from .cluster_plays import play_cluster, submit_job
from .shard_states import make_step
from .simulation import no_faults, run_simulation
from .support import check, function_tests, start_process, wait_until

load_tests = function_tests(__name__)

LOAD = LoadShape(workers_count=8, load_seconds=5.0, urgent_per_second=1.0)


class InjectedError(Exception):
    """An error that no code expects."""


@contextlib.contextmanager
def failing_estimates():
    """Let the learning of run times raise an error."""
    with mock.patch.object(RunTimes, "learn", side_effect=InjectedError):
        yield


def test_errors_are_collected_and_counted():
    """Guards against an error that is caught and seen by nobody."""
    metrics = PrometheusMetrics()
    with collect_errors() as errors:
        handler_id = watch_errors(metrics.count_error)
        log_event("task", outcome="begun")
        try:
            raise InjectedError("injected")
        except InjectedError as error:
            log_error("task", outcome="failed", error=error, name="poll w0")
        log_error("run", outcome="restored", run=1)
        logger.remove(handler_id)
    check.assertEqual([error.event for error in errors], ["task", "run"])
    check.assertEqual(errors[0].fields["name"], "poll w0")
    check.assertIn("injected", errors[0].fields["reason"])
    text = metrics.render().decode()
    check.assertIn('kingcuptrack_errors_total{event="task"} 1.0', text)
    check.assertIn('kingcuptrack_errors_total{event="run"} 1.0', text)


def test_plays_fail_on_a_caught_error():
    """Guards against plays and simulations that pass although an error was caught."""

    async def run(cluster):
        member = cluster.members[0]
        await submit_job(member, cluster, "1".zfill(16), make_step(), run_seconds=0.5)
        await anyio.sleep(5.0)

    with failing_estimates():
        with check.assertRaisesRegex(AssertionError, "InjectedError"):
            play_cluster(run, instances_count=1)
        play_cluster(run, instances_count=1, allowed_errors=("estimate",))
        checker = run_simulation(1, no_faults, jobs_count=3, load_seconds=2.0)
        check.assertIn("InjectedError", "\n".join(checker.violations))
        with check.assertRaises(experiment.CaughtErrorsError):
            experiment.play(DEFAULT_RULES, LOAD, 1)


def test_a_failed_task_and_a_failed_term_are_caught_errors():
    """Guards against supervisors whose errors no play looks for."""

    async def run(cluster):
        await anyio.sleep(3.0)

    for name, event in (
        ("_check_state", "task"),
        ("_commit_once", "leadership"),
    ):
        with mock.patch.object(Scheduler, name, side_effect=InjectedError):
            with check.assertRaisesRegex(AssertionError, f"event='{event}'"):
                play_cluster(run, instances_count=1)


def test_errors_in_logs_of_processes_are_found():
    """Guards against plays of real processes that do not read their logs."""
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        process = start_process("process", "tests.test_errors", log_directory=directory)
        wait_until(lambda: not process.is_running, "the process has ended")
        found = find_logged_errors(directory)
        check.assertEqual(len(found), 2, found)
        check.assertIn('"event": "task"', found[0])
        check.assertIn("Traceback", found[1])
        check.assertEqual(
            len(find_logged_errors(directory, allowed_events=("task",))), 1
        )


def test_nothing_is_found_where_nothing_was_logged():
    """Guards against a check that fails for other reasons."""
    with no_caught_errors():
        log_event("task", outcome="begun")


def _log_and_fail():
    configure_logs(level="INFO", instance_id="process")
    log_event("task", outcome="begun")
    log_error("task", outcome="failed", name="poll w0")
    raise InjectedError("not caught")


if __name__ == "__main__":
    _log_and_fail()
