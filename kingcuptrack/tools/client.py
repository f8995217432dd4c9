"""Client of entry instances, with fallback to further URLs, for the commands."""

import os
import sys
from urllib.parse import urlsplit

import anyio
import attrs

from ..outcomes import Done, Refused, Unknown
from ..transport.http_client import HttpClient

URLS_VARIABLE = "KINGCUPTRACK_ENTRY_URLS"
URL_FLAG = "--entry-url"
CONNECTIONS_COUNT = 4

# Outcomes in a 503 answer that state that the instance changed nothing.
_NO_EFFECT_OUTCOMES = ("not_run", "not_recorded")


class UsageError(Exception):
    """Invalid arguments or input files, found before the request is sent."""


@attrs.frozen(kw_only=True)
class Answer:
    """Status and JSON object of a response.

    ``is_after_unknown_attempt`` is true if an earlier attempt of the same request may
    have taken effect at another instance.
    """

    status: int
    body: dict
    entry_url: str
    is_after_unknown_attempt: bool = False


class EntryClient:
    """Sends each request to the first entry URL that answers it."""

    def __init__(self, urls, *, http_client=None):
        self._urls = normalise_entry_urls(urls)
        self._http_client = http_client or HttpClient(
            connections_count=CONNECTIONS_COUNT
        )

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        await self._http_client.close()

    async def request(
        self, method, path, *, timeout_seconds, body=None, may_repeat=True
    ):
        """Send a request to one URL after the other until an instance answers it.

        The next URL is tried only if the request was not sent, if the instance states
        that it changed nothing, or if a repetition is harmless (``may_repeat``).

        Returns
        -------
        Done, Refused or Unknown
            Done holds an `Answer`. Refused has the code ``unreachable``: nothing was
            sent to any instance.
        """
        unknown = None
        answer = None
        failures = []
        for url in self._urls:
            outcome = await self._request_url(
                method, url, path, timeout_seconds=timeout_seconds, body=body
            )
            if isinstance(outcome, Refused):
                failures.append(outcome.message)
                continue
            if isinstance(outcome, Unknown):
                unknown = outcome
                if not may_repeat:
                    break
                continue
            answer = outcome.value
            if answer.status != 503:
                self._move_to_front(url)
                break
            if (
                method != "GET"
                and answer.body.get("outcome") not in _NO_EFFECT_OUTCOMES
            ):
                unknown = Unknown(message=_describe_failure(answer))
                if not may_repeat:
                    break
        if answer is not None and (answer.status != 503 or unknown is None):
            return Done(
                value=attrs.evolve(answer, is_after_unknown_attempt=unknown is not None)
            )
        if unknown is not None:
            return unknown
        return Refused(code="unreachable", message="; ".join(failures))

    async def _request_url(self, method, url, path, *, timeout_seconds, body):
        outcome = await self._http_client.request(
            method, url + path, timeout_seconds=timeout_seconds, body=body
        )
        if not isinstance(outcome, Done):
            return outcome
        response = outcome.value
        try:
            decoded = response.json()
        except ValueError:
            decoded = None
        if not isinstance(decoded, dict):
            return Unknown(message=f"{url}: status {response.status} without JSON")
        answer = Answer(status=response.status, body=decoded, entry_url=url)
        if response.status >= 500 and response.status != 503:
            return Unknown(message=f"{url}: {_describe_failure(answer)}")
        return Done(value=answer)

    def _move_to_front(self, url):
        """Make later requests try this URL first."""
        self._urls.remove(url)
        self._urls.insert(0, url)


def normalise_entry_urls(urls):
    """Return the entry URLs once each, without trailing slashes.

    Without ``urls``, they are read from the environment variable
    KINGCUPTRACK_ENTRY_URLS. Raises `UsageError` for a URL that cannot be used.
    """
    urls = list(urls) or os.environ.get(URLS_VARIABLE, "").split()
    if not urls:
        raise UsageError(f"no entry URL: use {URL_FLAG} or set {URLS_VARIABLE}")
    for url in urls:
        try:
            parts = urlsplit(url)
            is_valid = parts.scheme == "http" and parts.hostname and parts.port != 0
        except ValueError:
            is_valid = False
        if not is_valid or parts.query or not url.isascii() or " " in url:
            raise UsageError(f"{url!r} is not an http:// URL of an entry instance")
    return list(dict.fromkeys(url.rstrip("/") for url in urls))


def check_durations(**values):
    """Raise `UsageError` unless each value is a duration, which may be infinite."""
    for name, value in values.items():
        # Comparisons with NaN are false, so that a wait would never end.
        if not value >= 0.0:
            flag = name.replace("_", "-")
            raise UsageError(
                f"--{flag} must be a number of seconds from 0, not {value}"
            )


def merge_entry_url_flags(arguments):
    """Return command-line arguments with all entry URLs after one flag at the end.

    defopt keeps only the last of several equal flags, and a flag that takes several
    values would consume positional arguments after it.
    """
    other_arguments, urls = [], []
    remaining = list(arguments)
    while remaining:
        argument = remaining.pop(0)
        if argument.startswith(f"{URL_FLAG}="):
            urls.append(argument.partition("=")[2])
        elif argument == URL_FLAG and remaining:
            urls.append(remaining.pop(0))
            while remaining and remaining[0].startswith("http://"):
                urls.append(remaining.pop(0))
        else:
            other_arguments.append(argument)
    return [*other_arguments, URL_FLAG, *urls] if urls else other_arguments


def run_command(command, entry_urls):
    """Run an async command with an `EntryClient`; return its exit code."""

    async def run():
        async with EntryClient(entry_urls) as client:
            return await command(client)

    try:
        return anyio.run(run, backend="asyncio")
    except UsageError as error:
        print(f"error: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("interrupted; the outcome is not known", file=sys.stderr)
        return 4


def describe_findings(findings):
    """Return findings of a JSON answer as lines of text."""
    lines = []
    for finding in findings:
        place = finding.get("file") or "input"
        if finding.get("line"):
            place += f":{finding['line']}"
        if finding.get("section"):
            place += f" [{finding['section']}]"
        if finding.get("key"):
            place += f" {finding['key']}"
        level = "warning" if finding.get("is_warning") else "error"
        lines.append(f"{place}: {level}: {finding.get('message', '')}")
    return lines


def _describe_failure(answer):
    reason = answer.body.get("reason") or f"status {answer.status}"
    return f"{reason} ({answer.body.get('outcome', 'no outcome')})"
