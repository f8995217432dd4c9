"""Client of the platform's store."""

import base64
from urllib.parse import urlencode

import attrs

from ..coordination.ports import (
    BUSY,
    CONFLICT,
    DENIED,
    HISTORY_LOST,
    Row,
    RowKey,
    RowsRead,
    Store,
    StoreLimits,
)
from ..decoding import DecodingError, decode_json
from ..logs import log_event
from ..outcomes import Done, Refused, Unknown

# Longest transfer of an answer that keeps arriving. The rows that operators write have
# no limit, and instances have links of a few Mbit/s.
TRANSFER_LIMIT_SECONDS = 15.0
# Longest pause in an answer of rows; its connection may have gone silent.
PAUSE_LIMIT_SECONDS = 2.0
# Many times the usual answer time; a connection that is silent for longer may be
# broken.
SUSPICION_SECONDS = 0.75
# Default timeout of a feed request beyond the wait that it asks for.
FEED_TIMEOUT_MARGIN_SECONDS = 1.5
# Largest size of the table, partition and key of a row.
KEY_LIMIT_BYTES = 200
# Largest value of a row, in Base64, unless the settings tell.
DEFAULT_ROW_BYTES = 65_536
# Largest call, and the part of it that is left for names and keys.
CALL_LIMIT_BYTES = 1_000_000
CALL_NAMES_BYTES = 60_000
# Refusals of requests as such: nothing was done. A request that timed out (408) is
# none, and others have a meaning of their own.
_DENIALS = frozenset(range(400, 500)) - {408, 410, 412, 429}


@attrs.frozen
class _WireRow:
    table: str
    part: str
    key: str
    ver: int = 0  # 0 if the row does not exist
    value: str = ""  # Base64
    removed: bool = False


@attrs.frozen
class _RowsAnswer:
    ver: int  # newest version of the store
    rows: list[_WireRow] = attrs.field(factory=list)
    has_more: bool = False


def make_store(client, get_base_url, *, row_bytes=DEFAULT_ROW_BYTES):
    """Return the `Store` port over HTTP.

    Parameters
    ----------
    client : HttpClient
    get_base_url : callable
        Returns the URL of the store in the settings in force.
    row_bytes : int
        Largest value of a row, in Base64.
    """
    # Four characters of Base64 hold three bytes.
    limits = StoreLimits(
        row_bytes=row_bytes * 3 // 4,
        transaction_bytes=(CALL_LIMIT_BYTES - CALL_NAMES_BYTES) * 3 // 4,
    )

    async def call(method, path, **options):
        outcome = await client.request(method, get_base_url() + path, **options)
        if not isinstance(outcome, Done):
            return outcome
        return _decode_response(outcome.value)

    async def read(*, table, part, first, last, timeout_seconds, note_begun=None):
        rows, version, start = [], None, first
        while True:
            query = {"table": table, "part": part, "from": start, "to": last}
            query = {name: text for name, text in query.items() if text}
            outcome = await call(
                "GET",
                f"/-/rows-get?{urlencode({'part': '', **query})}",
                timeout_seconds=TRANSFER_LIMIT_SECONDS,
                silence_seconds=timeout_seconds,
                pause_seconds=min(timeout_seconds, PAUSE_LIMIT_SECONDS),
                suspicion_seconds=SUSPICION_SECONDS,
                note_begun=note_begun,
            )
            if not isinstance(outcome, Done):
                return outcome
            answer = outcome.value
            rows += [_decode_row(row) for row in answer.rows]
            # Later pages may be newer. A feed that began at their version would miss
            # changes to the rows of the first page.
            version = answer.ver if version is None else version
            if not answer.has_more or not answer.rows:
                return Done(value=RowsRead(rows=tuple(rows), version=version))
            start = answer.rows[-1].key + "\0"

    async def transact(*, transaction, timeout_seconds):
        body = {
            "expect": [
                {**_encode_key(key), "ver": version}
                for key, version in transaction.expect.items()
            ],
            "puts": [
                {**_encode_key(key), "value": base64.b64encode(value).decode()}
                for key, value in transaction.puts.items()
            ],
            "remove": [_encode_key(key) for key in transaction.removes],
        }
        # A conflict is answered with the rows in the conditions, among them often the
        # configuration.
        outcome = await call(
            "POST",
            "/-/rows-tx",
            timeout_seconds=TRANSFER_LIMIT_SECONDS,
            silence_seconds=timeout_seconds,
            body=body,
        )
        if isinstance(outcome, Done):
            return Done(value=outcome.value.ver)
        return outcome

    async def follow(
        *, table, after_version, wait_seconds, timeout_seconds=None, note_begun=None
    ):
        if timeout_seconds is None:
            timeout_seconds = FEED_TIMEOUT_MARGIN_SECONDS
        query = urlencode(
            {
                "table": table,
                "after": after_version,
                "wait_ms": round(wait_seconds * 1000),
            }
        )
        outcome = await call(
            "GET",
            f"/-/rows-feed?{query}",
            timeout_seconds=wait_seconds + TRANSFER_LIMIT_SECONDS,
            silence_seconds=wait_seconds + timeout_seconds,
            pause_seconds=PAUSE_LIMIT_SECONDS,
            suspicion_seconds=wait_seconds + SUSPICION_SECONDS,
            note_begun=note_begun,
        )
        if not isinstance(outcome, Done):
            return outcome
        answer = outcome.value
        rows = tuple(_decode_row(row) for row in answer.rows)
        return Done(value=RowsRead(rows=rows, version=answer.ver))

    return Store(read=read, transact=transact, follow=follow, limits=limits)


def _decode_response(response):
    """Return the outcome of a response of the store."""
    status = response.status
    if status in (429, 503):
        return Refused(code=BUSY, message=f"status {status}")
    if status == 410:
        return Refused(code=HISTORY_LOST, message="status 410")
    if status in _DENIALS:
        return Refused(code=DENIED, message=f"status {status}: {response.body[:200]!r}")
    if status not in (200, 412):
        return Unknown(message=f"status {status}: {response.body[:200]!r}")
    try:
        answer = decode_json(response.body, _RowsAnswer)
        if status == 200:
            return Done(value=answer)
        rows = [_decode_row(row) for row in answer.rows]
    except DecodingError as error:
        return Unknown(message=f"malformed answer: {error}")
    return Refused(
        code=CONFLICT,
        message="a condition failed",
        # A row with version 0 does not exist.
        detail={row.key: row for row in rows if row.version and not row.is_removed},
    )


def _decode_row(row):
    """Return a `Row`; its value is empty, and so malformed, if it cannot be decoded."""
    key = RowKey(table=row.table, part=row.part, key=row.key)
    try:
        value = base64.b64decode(row.value)
    except ValueError as error:
        log_event("row", outcome="unreadable", row=str(key), reason=str(error))
        value = b""
    return Row(key=key, value=value, version=row.ver, is_removed=row.removed)


def _encode_key(key):
    return {"table": key.table, "part": key.part, "key": key.key}
