"""Fixtures shared by the tests."""

import sys
import unittest


def function_tests(module_name):
    """Return a ``load_tests`` hook that collects module-level test functions.

    The standard loader only collects `unittest.TestCase` classes; those that a
    module defines are kept.
    """

    def load_tests(loader, standard_tests, pattern):
        module = sys.modules[module_name]
        suite = unittest.TestSuite([standard_tests])
        for name, function in vars(module).items():
            if name.startswith("test_") and callable(function):
                suite.addTest(unittest.FunctionTestCase(function))
        return suite

    return load_tests


check = unittest.TestCase()
check.maxDiff = None
