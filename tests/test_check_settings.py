"""Check of settings files, and the committed page that describes the settings."""

import contextlib
import io
import tempfile
from pathlib import Path

from kingcuptrack.tools.check_settings import check_settings, describe_settings

from .support import ROOT, check, function_tests
from .test_settings import VALID

load_tests = function_tests(__name__)


def test_findings_of_all_files_are_reported_together():
    """Guards against stopping at the first bad file, and against ports used twice."""
    with tempfile.TemporaryDirectory() as directory:
        texts = (VALID, "x\ny\n", VALID.replace("8001", "0"), VALID)
        files = [Path(directory) / f"{number}.ini" for number in range(len(texts))]
        for file, text in zip(files, texts, strict=True):
            file.write_text(text, encoding="utf-8")
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            check.assertEqual(check_settings(*files), 2)
    text = output.getvalue().replace(f"{directory}/", "")
    check.assertIn("1.ini:1: error", text)
    check.assertIn("2.ini:4 [instance] http_port: error", text)
    check.assertIn("3.ini [instance] instance_id: error: entry-1 is used by", text)
    check.assertIn("3.ini [instance] peer_port: error", text)
    check.assertNotIn("0.ini [", text)


def test_committed_page_of_settings_is_current():
    """Guards against a page that differs from the settings in the code."""
    page = (ROOT / "docs" / "settings.md").read_text(encoding="utf-8")
    check.assertTrue(
        page.endswith(describe_settings()),
        "write the table with kingcuptrack-check-settings --describe",
    )
