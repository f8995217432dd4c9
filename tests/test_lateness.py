"""The command that tells from logs why jobs were late."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from kingcuptrack.platform.lateness import find_cause, run_lateness

from .support import check, function_tests

load_tests = function_tests(__name__)

LATE_JOB = {
    "event": "job",
    "outcome": "completed",
    "job_id": "aaaa",
    "priority": 0,
    "seconds": 6.0,
    "objective_seconds": 4.0,
    "is_on_time": False,
    "expected_run_seconds": 2.5,
    "phases": {"waiting": 1.0, "running": 3.0, "storing": 2.0},
}


def _run(*files, job_id=""):
    """Run the command on logs given as lists of lines; returns (exit code, output)."""
    output = io.StringIO()
    with (
        tempfile.TemporaryDirectory() as directory,
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        paths = []
        for number, lines in enumerate(files):
            path = Path(directory) / f"{number}.log"
            path.write_text("\n".join(lines) + "\n")
            paths.append(path)
        code = run_lateness(paths or [Path(directory) / "missing.log"], job_id=job_id)
    return code, output.getvalue()


def test_the_cause_is_the_largest_loss_beyond_the_expected_run():
    """Guards against a long run that hides what made the job late."""
    check.assertEqual(find_cause(LATE_JOB), "storing")
    check.assertEqual(find_cause({}), "unknown")


def test_logs_of_several_instances_are_read_together():
    """Guards against jobs that are counted once for each instance, and lines lost."""
    on_time = {**LATE_JOB, "job_id": "bbbb", "is_on_time": True}
    accepted = {
        "event": "request",
        "kind": "submit",
        "outcome": 200,
        "job_id": "cccc",
    }
    dropped = {"event": "log_lines_dropped", "count": 7}
    code, output = _run(
        [f" 1.2 host-1 {json.dumps(LATE_JOB)}", json.dumps(dropped), "no json"],
        [json.dumps(on_time), json.dumps(accepted), json.dumps(LATE_JOB)],
    )
    check.assertEqual(code, 0)
    check.assertRegex(output, r"0 +1 +1 +0\n")
    check.assertRegex(output, r"0 +storing +1 +2\.00  aaaa")
    check.assertIn("without a final line: 1; dropped lines: 7", output)
    check.assertIn("lines without JSON: 1", output)


def test_the_timeline_of_a_job_is_in_the_order_of_time():
    """Guards against lines of several instances that are shown file by file."""
    end = {"time": "02", "event": "end", "outcome": "done", "task": "aaaa/0/0/0"}
    start = {
        "time": "01",
        "event": "start",
        "outcome": "accepted",
        "task": "aaaa/0/0/0",
    }
    other = {
        "time": "00",
        "event": "start",
        "outcome": "accepted",
        "task": "bbbb/0/0/0",
    }
    code, output = _run(
        [json.dumps(end)], [json.dumps(start), json.dumps(other)], job_id="aaaa"
    )
    check.assertEqual(code, 0)
    check.assertEqual([line[:2] for line in output.splitlines()], ["01", "02"])


def test_bad_input_is_an_error():
    """Guards against a traceback, or an empty table, for a file that does not exist."""
    code, output = _run()
    check.assertEqual(code, 1)
    check.assertIn("cannot read the logs", output)
    code, output = _run([json.dumps(LATE_JOB)], job_id="dddd")
    check.assertEqual(code, 1)
    check.assertIn("no line about job dddd", output)
