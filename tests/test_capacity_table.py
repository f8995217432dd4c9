"""Computed tables of docs/CAPACITY.md."""

import json
import re

from bench.capacity_table import fill_page, render_tables

from .support import ROOT, check, function_tests

load_tests = function_tests(__name__)


def _read(name):
    return (ROOT / "docs" / name).read_text(encoding="utf-8")


def test_the_page_holds_exactly_the_tables_of_its_run():
    """Guards against table cells edited by hand or computed from another run."""
    page = _read("CAPACITY.md")
    tables = render_tables(json.loads(_read("capacity-slopes.json")))
    found = re.findall(
        r"<!-- table ([\w-]+) -->\n(.*?)\n<!-- end -->", page, flags=re.DOTALL
    )
    check.assertEqual(sorted(name for name, _ in found), sorted(tables))
    for name, text in found:
        check.assertEqual(text, tables[name], name)


def test_filling_a_page_replaces_only_its_tables():
    """Guards against losing the text between two tables when a page is filled."""
    page = "a\n<!-- table x -->\nold\n<!-- end -->\nb\n<!-- table y -->\n<!-- end -->\n"
    want = (
        "a\n<!-- table x -->\n1\n<!-- end -->\nb\n<!-- table y -->\n2\n<!-- end -->\n"
    )
    check.assertEqual(fill_page(page, {"x": "1", "y": "2"}), want)


def test_the_slopes_are_of_a_full_run():
    """Guards against a page computed from the rough slopes of a quick run."""
    run = json.loads(_read("capacity-slopes.json"))
    check.assertFalse(run["run"]["is_quick"])
    for name, line in run["slopes"].items():
        check.assertGreaterEqual(len(line["points"]), 3, name)
