"""A deployment with a test oracle that all test functions of a module share."""

import contextlib
import functools
import itertools
import sys
import unittest

from .deployment import start_deployment
from .entry_requests import apply_lists, make_job, wait_placers
from .oracle import Oracle

# Shorter than the default of lease_seconds; the bounds that these tests check do not
# depend on its value.
LEASE_SECONDS = 3.0
MARGIN_SECONDS = 0.3
WORKER_TIMEOUT_SECONDS = 1.0
KEY_NUMBERS = itertools.count()


@contextlib.contextmanager
def start_deployment_with_oracle(*, lease_seconds=LEASE_SECONDS, **options):
    """Run a deployment and yield an `Oracle` for it.

    The organisations and plans of `entry_requests` are in force.
    """
    workers = {
        "lease_seconds": lease_seconds,
        "handover_lease_seconds": lease_seconds,
        "lease_margin_seconds": MARGIN_SECONDS,
        "renewal_interval_seconds": 0.8,
        "worker_timeout_seconds": WORKER_TIMEOUT_SECONDS,
        # Workers that failed in one test must be in use again in the next one.
        "worker_probe_delay_seconds": 2.0,
    }
    with start_deployment(settings={"workers": workers}, **options) as deployment:
        apply_lists(deployment)
        wait_placers(deployment)
        yield Oracle(
            deployment=deployment,
            # One lease, and the two calls to a worker in a start round.
            partial_limit_seconds=lease_seconds
            + MARGIN_SECONDS
            + 2 * WORKER_TIMEOUT_SECONDS,
        )


def close_deployment(stack, failure):
    """Close a deployment; its logs are kept if ``failure`` is not None."""
    with contextlib.suppress(AssertionError):
        stack.__exit__(failure and type(failure), failure, None)


def shared_deployment_tests(module_name, **options):
    """Return a ``load_tests`` hook whose test functions share one deployment.

    Each function is called with the `Oracle` of the deployment. After each function
    all faults are cleared, every data centre is restored to two entries, and the oracle
    checks all jobs so far.
    """

    class SharedDeploymentTest(unittest.FunctionTestCase):
        failure = None

        @classmethod
        def setUpClass(cls):
            cls.stack = contextlib.ExitStack()
            cls.oracle = cls.stack.enter_context(
                start_deployment_with_oracle(**options)
            )

        @classmethod
        def tearDownClass(cls):
            close_deployment(cls.stack, cls.failure)

    def load_tests(loader, standard_tests, pattern):
        suite = unittest.TestSuite()
        for name, function in vars(sys.modules[module_name]).items():
            if name.startswith("test_") and callable(function):
                suite.addTest(
                    SharedDeploymentTest(
                        _add_oracle_check(SharedDeploymentTest, function)
                    )
                )
        return suite

    return load_tests


def _add_oracle_check(case_class, function):
    @functools.wraps(function)
    def run():
        oracle = case_class.oracle
        try:
            try:
                function(oracle)
            except AssertionError:
                with contextlib.suppress(AssertionError):
                    restore_deployment(oracle.deployment)
                raise
            restore_deployment(oracle.deployment)
            oracle.wait_until_final()
            oracle.check()
        except AssertionError as error:
            case_class.failure = error
            # Violations by jobs of this function must not fail the next function.
            oracle.bodies.clear()
            raise

    return run


def restore_deployment(deployment, *, entries_count=2):
    """Clear all faults and restore the number of running entries per data centre."""
    deployment.clear_faults()
    for entry in deployment.running_entries():
        if entry.process.is_paused:
            entry.process.resume()
    for entry in deployment.entries.values():
        if not entry.process.is_running:
            deployment.remove_from_list(entry)
    for name in deployment.data_centres:
        for _ in range(entries_count - len(deployment.running_entries(name))):
            deployment.start_entry(name)
    deployment.wait_ready()
    wait_placers(deployment)


def find_placer(deployment, data_centre):
    """Return the running entry that is the placer of a data centre."""
    return min(
        deployment.running_entries(data_centre), key=lambda entry: entry.instance_id
    )


def make_unique_job(name, *, is_repeatable=True, **fields):
    """Return a job body with a new idempotency key.

    By default each task occupies one whole worker.
    """
    fields.setdefault(
        "shape", {"accelerators_count": 8, "cores_count": 4, "memory_bytes": 1000}
    )
    key = f"{name}-{next(KEY_NUMBERS)}"
    return make_job(key, result=key, is_repeatable=is_repeatable, **fields)


def wait_event(oracle, job_id, event, *, count=1, timeout_seconds=10.0):
    """Wait until the workers have recorded ``count`` events of a job.

    Returns all events found.
    """

    def find_events():
        found = [
            record
            for record in oracle.deployment.worker_journal()
            if record["event"] == event and record.get("job_id") == job_id
        ]
        return found if len(found) >= count else None

    return oracle.deployment.wait(
        find_events, f"{event} of {job_id}", timeout_seconds=timeout_seconds
    )
