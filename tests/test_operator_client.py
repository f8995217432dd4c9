"""Command-line client of operators: exit codes and output."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from kingcuptrack.tools import operator

from .deployment import start_deployment
from .entry_requests import ORGANISATIONS, PLANS, apply_lists, wait_placers
from .support import check, function_tests

load_tests = function_tests(__name__)


def run(command, *arguments, entries, **options):
    """Run a command in this process; return its exit code and output."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        exit_code = command(*arguments, entry_url=entries, **options)
    return exit_code, output.getvalue() + errors.getvalue()


def write_lists(directory, plans):
    """Write both lists; return their paths."""
    paths = Path(directory) / "organisations.ini", Path(directory) / "plans.ini"
    for path, text in zip(paths, (ORGANISATIONS, plans), strict=True):
        path.write_text(text, encoding="utf-8")
    return paths


def apply_over_capacity(paths, urls, **options):
    """Apply lists whose guarantees exceed the capacity."""
    command = operator.apply_lists
    return run(command, *paths, entries=urls, over_capacity=True, **options)


def test_changes_are_reported_with_their_own_exit_codes():
    """Guards against exit code 0 after a conflict or an unrecorded change."""
    with (
        tempfile.TemporaryDirectory() as directory,
        start_deployment(data_centres=("kumasi",), workers_count=1) as deployment,
    ):
        urls = ["http://127.0.0.1:1"]
        urls += [entry.url for entry in deployment.running_entries()]
        paths = write_lists(directory, PLANS)
        wait_placers(deployment)
        # One worker of 8 accelerators cannot hold the guaranteed gangs of 16.
        exit_code, text = run(operator.apply_lists, *paths, entries=urls, yes=True)
        check.assertEqual(exit_code, operator.EXIT_FINDINGS, text)
        check.assertIn("plans.ini:2 [plan studio] guaranteed_gangs_count", text)
        check.assertIn("do not fit data centre kumasi", text)
        exit_code, text = apply_over_capacity(paths, urls, yes=True)
        check.assertEqual(exit_code, 0, text)
        check.assertIn("recorded as version 1", text)
        check.assertIn("+[plan studio]", text)
        _check_conflict(deployment, paths, urls)
        exit_code, text = run(
            operator.wait_in_force, 99, entries=urls, timeout_seconds=0.1
        )
        check.assertEqual(exit_code, 1, text)
        check.assertIn("version 99 is not in force everywhere", text)
        _check_unrecorded(deployment, urls)


def _check_conflict(deployment, paths, urls):
    """Change the lists after the client has read them and before it records them."""
    write_lists(paths[0].parent, PLANS.replace("192", "64"))

    def change_then_confirm(question):
        apply_lists(deployment, plans=PLANS.replace("192", "128"))
        return True

    original = operator.is_confirmed
    operator.is_confirmed = change_then_confirm
    try:
        exit_code, text = apply_over_capacity(paths, urls)
    finally:
        operator.is_confirmed = original
    check.assertEqual(exit_code, operator.EXIT_CONFLICT, text)
    check.assertIn("nothing was recorded", text)
    check.assertIn("changed by others from version 1 to version 2", text)
    check.assertIn("+quota_accelerators_count = 128", text)
    write_lists(paths[0].parent, "[plan studio]\nweight = x\n")
    exit_code, text = apply_over_capacity(paths, urls, yes=True)
    check.assertEqual(exit_code, operator.EXIT_FINDINGS, text)
    check.assertIn("plans.ini:2 [plan studio] weight: error", text)


def _check_unrecorded(deployment, urls):
    """Take a data centre out and back while the table does not answer."""
    deployment.set_platform_fault("down", service="table")
    exit_code, text = run(operator.take_out, "kumasi", entries=urls)
    check.assertEqual(exit_code, operator.EXIT_REFUSED, text)
    check.assertIn("NOT RECORDED", text)
    exit_code, text = run(operator.bring_back, "kumasi", entries=urls, json=True)
    check.assertEqual(exit_code, operator.EXIT_REFUSED, text)
    check.assertEqual(json.loads(text)["outcome"], "not_recorded")
    _, text = run(operator.show_status, entries=urls)
    check.assertRegex(text, r"kumasi +OUT")
    deployment.clear_faults()
    exit_code, text = run(operator.bring_back, "accra", entries=urls)
    check.assertEqual(exit_code, operator.EXIT_FINDINGS, text)
    exit_code, text = run(operator.show_status, entries=urls[:1])
    check.assertEqual(exit_code, operator.EXIT_UNKNOWN, text)
