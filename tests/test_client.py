"""Fallback of the command-line clients from one entry URL to the next."""

import anyio

from kingcuptrack.outcomes import Done, Refused, Unknown
from kingcuptrack.tools.client import (
    EntryClient,
    UsageError,
    merge_entry_url_flags,
    normalise_entry_urls,
)
from kingcuptrack.transport.http_client import HttpResponse

from .support import check, function_tests

load_tests = function_tests(__name__)

URLS = ("http://a:1", "http://b:1")
UNREACHABLE = Refused(code="unreachable")
LOST = Unknown(message="no answer")


class ScriptedHttpClient:
    """Returns scripted outcomes, repeating the last one, and records the URLs."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.urls = []

    async def request(self, method, url, *, timeout_seconds, body=None):
        self.urls.append(url)
        return self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]


def answered(status, body):
    """Return the outcome of a request that got this response."""
    return Done(value=HttpResponse(status=status, body=body))


DONE = answered(200, b'{"outcome": "done"}')
NOT_RUN = answered(503, b'{"outcome": "not_run", "code": "leaving"}')
NOT_KNOWN = answered(503, b'{"outcome": "unknown"}')


def send(*outcomes, method="POST", may_repeat=True):
    """Send a request to two entry URLs; return its outcome and the attempts made."""
    http_client = ScriptedHttpClient(*outcomes)
    client = EntryClient(URLS, http_client=http_client)

    async def request():
        return await client.request(
            method, "/x", timeout_seconds=1.0, may_repeat=may_repeat
        )

    return anyio.run(request), len(http_client.urls)


def test_next_url_is_tried_only_where_that_is_safe():
    """Guards against sending a change twice, and against not trying the next URL."""
    cases = [
        # Outcomes, may_repeat, expected attempts, expected status or outcome type.
        ((UNREACHABLE, DONE), False, 2, 200),
        ((NOT_RUN, DONE), False, 2, 200),
        ((LOST, DONE), True, 2, 200),
        ((LOST,), False, 1, Unknown),
        ((NOT_KNOWN,), False, 1, Unknown),
        ((NOT_KNOWN, NOT_RUN), True, 2, Unknown),
        ((answered(500, b"{}"),), False, 1, Unknown),
        ((answered(200, b"<html>"), DONE), True, 2, 200),
        ((UNREACHABLE, UNREACHABLE), True, 2, Refused),
        ((NOT_RUN, UNREACHABLE), True, 2, 503),
    ]
    for outcomes, may_repeat, attempts_count, expected in cases:
        outcome, seen_count = send(*outcomes, may_repeat=may_repeat)
        check.assertEqual(seen_count, attempts_count, outcomes)
        if isinstance(expected, int):
            check.assertEqual(outcome.value.status, expected, outcomes)
        else:
            check.assertIsInstance(outcome, expected, outcomes)


def test_refusal_after_a_lost_answer_is_not_taken_for_not_run():
    """Guards against "not run" about a job that the first instance may have accepted.

    Its answer was lost, and the second instance refuses the repeated request.
    """
    check.assertIsInstance(send(LOST, NOT_RUN)[0], Unknown)
    check.assertTrue(send(LOST, DONE)[0].value.is_after_unknown_attempt)
    check.assertFalse(send(NOT_RUN, DONE)[0].value.is_after_unknown_attempt)


def test_entry_urls_may_be_repeated_and_precede_arguments():
    """Guards against loss of all URLs but the last, and of positional arguments."""
    arguments = ["x", "--entry-url", "http://a", "file", "--entry-url=http://b", "-y"]
    check.assertEqual(
        merge_entry_url_flags(arguments),
        ["x", "file", "-y", "--entry-url", "http://a", "http://b"],
    )
    check.assertEqual(
        normalise_entry_urls(["http://a:1/", "http://a:1"]), ["http://a:1"]
    )
    for url in ("a:1", "https://a", "http://", "http://a:x", "http://a b", "ftp://a"):
        with check.assertRaises(UsageError, msg=url):
            normalise_entry_urls([url])
