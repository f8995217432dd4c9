"""When an instance counts as isolated, by policy and by what it still hears."""

import time

import attrs

from kingcuptrack.coordination.configuration import ConfigurationKeeper
from kingcuptrack.settings import parse_settings

from .support import check, function_tests
from .test_settings import VALID

load_tests = function_tests(__name__)


@attrs.define(kw_only=True)
class Membership:
    """Stand-in that knows three data centres and hears some of them."""

    heard: set
    list_read_seconds: float = 0.0
    known_data_centres: frozenset = frozenset({"kumasi", "obuasi", "konongo"})

    def silent_data_centres(self, timeout_seconds):
        """Return the other data centres that are not heard from."""
        return self.known_data_centres - self.heard - {"kumasi"}


def is_isolated(policy, *, hears_table=False, heard=()):
    """Return the verdict of an instance in kumasi."""
    text = VALID + f"[peers]\nisolated_start_policy = {policy}\n"
    settings, findings = parse_settings(text, file="entry.ini")
    check.assertEqual(findings, [])
    keeper = ConfigurationKeeper(settings=settings, table=None)
    keeper.membership = Membership(heard=set(heard))
    if hears_table:
        keeper.table_answered_seconds = time.monotonic()
    return keeper.is_isolated()


def test_the_table_alone_suffices():
    """Guards against a cut between data centres that stops all starts."""
    for policy in ("serve", "stop"):
        check.assertFalse(is_isolated(policy, hears_table=True))


def test_a_table_outage_alone_is_no_isolation():
    """Guards against an outage of the platform that stops all starts."""
    for policy in ("serve", "stop"):
        check.assertFalse(is_isolated(policy, heard=("obuasi", "konongo")))


def test_two_data_centres_cut_off_together():
    """Guards against starts under ``stop`` where no take-out can be heard of."""
    check.assertFalse(is_isolated("serve", heard=("obuasi",)))
    check.assertTrue(is_isolated("stop", heard=("obuasi",)))


def test_total_isolation():
    """Guards against starts of any work without table and peers."""
    for policy in ("serve", "stop"):
        check.assertTrue(is_isolated(policy))
