"""Client of the platform's table service."""

from urllib.parse import quote, urlencode

import attrs

from ..outcomes import Done, Refused, Unknown
from .http_client import decode_body


@attrs.frozen(kw_only=True)
class Row:
    """A row: its key, its version (0 if absent) and its JSON value."""

    key: str
    version: int
    value: dict | None


class TableClient:
    """Table service behind one base URL."""

    def __init__(self, *, http_client, base_url, timeout_seconds):
        self._http_client = http_client
        self._base_url = base_url
        self._timeout_seconds = timeout_seconds

    async def read(self, table, key):
        """Return Done with a `Row`; an absent row has version 0."""
        outcome = await self._request("GET", self._row_url(table, key))
        if not isinstance(outcome, Done):
            return outcome
        response = outcome.value
        if response.status == 404:
            return Done(value=Row(key=key, version=0, value=None))
        if response.status != 200:
            return _decode_error_status(response)
        return decode_body(response, lambda data: _parse_row(key, data))

    async def write(self, table, key, value, *, expected_version):
        """Compare and set a row.

        Returns
        -------
        Done, Refused or Unknown
            Done holds the new version. Refused has code ``conflict`` with the
            current `Row` as detail, or ``unavailable``.
        """
        body = {"expected_version": expected_version, "value": value}
        outcome = await self._request("PUT", self._row_url(table, key), body=body)
        if not isinstance(outcome, Done):
            return outcome
        response = outcome.value
        if response.status == 200:
            return decode_body(response, lambda data: int(data["version"]))
        if response.status == 409:
            decoded = decode_body(response, lambda data: _parse_row(key, data))
            if isinstance(decoded, Unknown):
                return decoded
            return Refused(code="conflict", message=key, detail=decoded.value)
        return _decode_error_status(response)

    async def write_with_retries(
        self, table, key, value, *, expected_version, retries_count
    ):
        """Compare and set a row; repeats a write whose answer was lost.

        ``value`` must hold a unique ``write_token``. At most one of the writes takes
        effect; a conflict with a row that holds the same token means that an earlier
        one did. Any other refusal of a repeated write does not tell whether an earlier
        one took effect.

        Returns
        -------
        Done, Refused or Unknown
            As for `write`; Unknown if the retries are used up.
        """
        may_have_applied = False
        for _ in range(retries_count + 1):
            outcome = await self.write(
                table, key, value, expected_version=expected_version
            )
            if isinstance(outcome, Refused) and outcome.code == "conflict":
                current = outcome.detail
                token = (current.value or {}).get("write_token")
                if token == value["write_token"]:
                    return Done(value=current.version)
                return outcome
            if isinstance(outcome, Done):
                return outcome
            if isinstance(outcome, Refused) and not may_have_applied:
                return outcome
            may_have_applied = True
        return Unknown(message=outcome.message)

    async def delete(self, table, key):
        """Delete a row of any version; an absent row is Done as well."""
        outcome = await self._request("DELETE", self._row_url(table, key))
        if not isinstance(outcome, Done):
            return outcome
        if outcome.value.status in (200, 204, 404):
            return Done()
        return _decode_error_status(outcome.value)

    async def list_rows(self, table, *, prefix, after="", limit_count=500):
        """Return Done with the rows whose key starts with ``prefix``, in key order."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit_count})
        url = f"{self._base_url}/v1/tables/{quote(table, safe='')}/rows?{query}"
        outcome = await self._request("GET", url)
        if not isinstance(outcome, Done):
            return outcome
        if outcome.value.status != 200:
            return _decode_error_status(outcome.value)
        return decode_body(
            outcome.value,
            lambda data: [_parse_row(row["key"], row) for row in data["rows"]],
        )

    async def _request(self, method, url, *, body=None):
        return await self._http_client.request(
            method, url, timeout_seconds=self._timeout_seconds, body=body
        )

    def _row_url(self, table, key):
        table = quote(table, safe="")
        return f"{self._base_url}/v1/tables/{table}/rows/{quote(key, safe='')}"


def _parse_row(key, data):
    return Row(key=key, version=int(data["version"]), value=data["value"])


def _decode_error_status(response):
    """Return the outcome of an error status.

    The service guarantees that a change answered with 503 was not applied; any
    other server error may have occurred after the change.
    """
    message = f"status {response.status}: {response.body[:200]!r}"
    if response.status == 503 or 400 <= response.status < 500:
        return Refused(code="unavailable", message=message)
    return Unknown(message=message)
