"""Test runner: runs every test module and prints ``N passed, N failed``.

Tests listed in KNOWN-RED.txt are reported and do not fail the run; a listed
test that passes does, so that the list stays true.
"""

import sys
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


class CountingResult(unittest.TextTestResult):
    """Test result that records the ids of passed and failed tests."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.passed_ids = []
        self.failed_ids = []
        self._started_seconds = 0.0

    def startTest(self, test):  # noqa: N802
        self._started_seconds = time.monotonic()
        super().startTest(test)

    def addSuccess(self, test):  # noqa: N802
        super().addSuccess(test)
        self.passed_ids.append(test_name(test))

    def addFailure(self, test, err):  # noqa: N802
        super().addFailure(test, err)
        self.failed_ids.append(test_name(test))

    def addError(self, test, err):  # noqa: N802
        super().addError(test, err)
        self.failed_ids.append(test_name(test))

    def stopTest(self, test):  # noqa: N802
        super().stopTest(test)
        duration_seconds = time.monotonic() - self._started_seconds
        if duration_seconds > 1.0:
            self.stream.writeln(f"  {test_name(test)}: {duration_seconds:.1f} s")


def test_name(test):
    """Return ``module.function`` for function tests, else the unittest id."""
    function = getattr(test, "_testFunc", None)
    if function is not None:
        return f"{function.__module__}.{function.__name__}"
    return test.id()


def read_known_red():
    """Return the test names listed in KNOWN-RED.txt (lines ``test: NAME``)."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    }


def main():
    """Run the tests whose names contain any argument (all without arguments)."""
    loader = unittest.TestLoader()
    suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    if loader.errors:
        print("\n".join(loader.errors))
        return 1
    patterns = sys.argv[1:]
    tests = [
        test
        for test in iterate_tests(suite)
        if not patterns or any(pattern in test_name(test) for pattern in patterns)
    ]
    runner = unittest.TextTestRunner(resultclass=CountingResult, verbosity=1)
    result = runner.run(unittest.TestSuite(tests))
    known_red = read_known_red()
    expected = [name for name in result.failed_ids if name in known_red]
    failed = [name for name in result.failed_ids if name not in known_red]
    fixed = [name for name in result.passed_ids if name in known_red]
    for name in expected:
        print(f"known red: {name}")
    for name in fixed:
        print(f"listed in KNOWN-RED.txt but passed: {name}")
    for name in failed:
        print(f"failed: {name}")
    failed_count = len(failed) + len(fixed)
    print(f"{len(result.passed_ids) - len(fixed)} passed, {failed_count} failed")
    return 1 if failed_count or not result.passed_ids else 0


def iterate_tests(suite):
    """Yield the single tests of a suite, depth first."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_tests(item)
        else:
            yield item


if __name__ == "__main__":
    sys.exit(main())
