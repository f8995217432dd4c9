"""Settings: defaults, ranges, and findings reported together."""

from kingcuptrack.settings import parse_settings

from .support import check, function_tests

load_tests = function_tests(__name__)

VALID = """\
[instance]
instance_id = entry-1
data_centre = kumasi
http_port = 8001
peer_port = 8002
[platform]
table_url = http://127.0.0.1:9000
objects_url = http://127.0.0.1:9000
instances_url = http://127.0.0.1:9000
"""


def test_valid_settings_use_defaults():
    """Guards against defaults that the checks of settings reject."""
    settings, findings = parse_settings(VALID, file="entry.ini")
    check.assertEqual(findings, [])
    check.assertEqual(settings.lease_seconds, 10.0)


def test_all_findings_are_reported_with_their_lines():
    """Guards against reporting only the first of several errors."""
    text = VALID.replace("8002", "99999") + "[workers]\nlease_seconds = ten\nx = 1\n"
    settings, findings = parse_settings(text, file="entry.ini")
    check.assertIsNone(settings)
    places = [(finding.place.line, finding.place.key) for finding in findings]
    check.assertEqual(places, [(5, "peer_port"), (11, "lease_seconds"), (12, "x")])


def test_two_renewals_must_fit_into_a_lease():
    """Guards against leases that lapse when a single renewal is lost."""
    text = VALID + "[workers]\nrenewal_interval_seconds = 6\n"
    _, findings = parse_settings(text, file="entry.ini")
    check.assertEqual([finding.place.line for finding in findings], [11])


def test_repeated_key_is_a_finding():
    """Guards against silent use of the last of two values."""
    text = VALID.replace("http_port = 8001", "http_port = 8001\nhttp_port = 8003")
    _, findings = parse_settings(text, file="entry.ini")
    check.assertEqual([finding.place.line for finding in findings], [5])
