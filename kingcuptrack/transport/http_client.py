"""HTTP requests with a deadline and a typed outcome."""

import json
import math

import anyio
import attrs
import httpcore

from ..outcomes import Done, Refused, Unknown

# Share of a request's timeout after which httpcore gives up connecting. It is below 1,
# so that a request that was not sent is reported as such before the whole request
# times out with an unknown outcome.
CONNECT_FRACTION = 0.8

NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


@attrs.frozen(kw_only=True)
class HttpResponse:
    """Status and body of a response."""

    status: int
    body: bytes

    def json(self):
        """Return the decoded JSON body; raises ValueError if it is not JSON."""
        return json.loads(self.body)


class HttpClient:
    """HTTP client with a connection pool; ``headers`` are sent with every request.

    After a timeout the pool is replaced, because its other connections may be broken
    as well, and each would cost one more timeout. So it is for the next request if one
    that is still open has been silent for its ``suspicion_seconds``.
    """

    def __init__(self, *, connections_count, headers=None):
        self._connections_count = connections_count
        self._headers = {"content-type": "application/json", **(headers or {})}
        self._pool = self._make_pool()
        # Times from which the open requests cast doubt on their pool, by pool and
        # number of the request.
        self._open_requests = {self._pool: {}}
        self._requests_count = 0

    async def request(
        self,
        method,
        url,
        *,
        timeout_seconds,
        silence_seconds=None,
        pause_seconds=None,
        suspicion_seconds=None,
        note_begun=None,
        body=None,
        content=None,
        headers=None,
    ):
        """Send a request.

        Parameters
        ----------
        method, url : str
        timeout_seconds : float
            Bound of the whole exchange.
        silence_seconds : float, optional
            Longest time until the answer begins, and without any part of it; by
            default ``timeout_seconds``.
        pause_seconds : float, optional
            Longest time without any part of an answer that has begun; by default
            ``silence_seconds``.
        suspicion_seconds : float, optional
            Time without an answer after which other requests use new connections.
        note_begun : callable, optional
            Is called when the answer begins to arrive.
        body : object, optional
            Sent as JSON.
        content : bytes, optional
            Sent unchanged.
        headers : dict, optional
            Sent in addition to the headers of the client.

        Returns
        -------
        Done, Refused or Unknown
            Done holds an `HttpResponse` of any status. Refused with code
            ``unreachable`` if no connection could be made, so that the request
            was not sent. Unknown if it may have been processed.
        """
        if body is not None:
            content = json.dumps(body, separators=(",", ":")).encode()
        try:
            parsed_url = httpcore.URL(url)
        except (ValueError, TypeError) as error:
            return Refused(code="unreachable", message=f"{method} {url!r}: {error}")
        if silence_seconds is None:
            silence_seconds = timeout_seconds
        timeouts = _make_timeouts(silence_seconds)
        pool, number = self._open_request(suspicion_seconds)
        try:
            with anyio.fail_after(silence_seconds) as scope:

                def note_answer_begun():
                    scope.deadline += timeout_seconds - silence_seconds
                    if pause_seconds is not None:
                        # httpcore looks it up again for the body.
                        timeouts["read"] = pause_seconds
                    if note_begun is not None:
                        note_begun()

                is_watched = (
                    timeout_seconds > silence_seconds or pause_seconds or note_begun
                )
                response = await pool.request(
                    method,
                    parsed_url,
                    headers={**self._headers, **headers} if headers else self._headers,
                    content=content,
                    extensions=_make_extensions(
                        timeouts, note_answer_begun if is_watched else None
                    ),
                )
        except NOT_SENT_ERRORS as error:
            return Refused(code="unreachable", message=f"{method} {url}: {error!r}")
        except (TimeoutError, OSError, httpcore.TimeoutException) as error:
            if pool is self._pool:
                self._replace_pool()
            return Unknown(message=f"{method} {url}: {error!r}")
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Unknown(message=f"{method} {url}: {error!r}")
        finally:
            await self._close_request(pool, number)
        return Done(value=HttpResponse(status=response.status, body=response.content))

    async def close(self):
        """Close all connections."""
        await self._pool.aclose()

    def _make_pool(self):
        return httpcore.AsyncConnectionPool(
            max_connections=self._connections_count,
            max_keepalive_connections=self._connections_count,
            keepalive_expiry=30.0,
        )

    def _open_request(self, suspicion_seconds):
        """Return the pool and the number of a request that is about to be sent."""
        now_seconds = anyio.current_time()
        if any(at <= now_seconds for at in self._open_requests[self._pool].values()):
            self._replace_pool()
        self._requests_count += 1
        suspicious_at_seconds = math.inf
        if suspicion_seconds is not None:
            suspicious_at_seconds = now_seconds + suspicion_seconds
        self._open_requests[self._pool][self._requests_count] = suspicious_at_seconds
        return self._pool, self._requests_count

    def _replace_pool(self):
        self._pool = self._make_pool()
        self._open_requests[self._pool] = {}

    async def _close_request(self, pool, number):
        """End a request on a pool; closes a replaced pool after its last request."""
        open_requests = self._open_requests[pool]
        del open_requests[number]
        if open_requests or pool is self._pool:
            return
        del self._open_requests[pool]
        with anyio.CancelScope(shield=True):
            await pool.aclose()


def _make_timeouts(silence_seconds):
    """Return the timeouts of httpcore for one request."""
    return {
        "connect": CONNECT_FRACTION * silence_seconds,
        "pool": CONNECT_FRACTION * silence_seconds,
        "read": silence_seconds,
    }


def _make_extensions(timeouts, note_begun=None):
    """Return the options of httpcore for one request."""
    extensions = {"timeout": timeouts}
    if note_begun is not None:

        async def trace(event, _):
            if event == "http11.receive_response_headers.complete":
                note_begun()

        extensions["trace"] = trace
    return extensions


def decode_body(response, parse):
    """Return ``parse`` of the JSON body as Done, or Unknown if it is malformed."""
    try:
        return Done(value=parse(response.json()))
    except Exception as error:  # cattrs raises exception groups of many types
        return Unknown(message=f"malformed body: {error!r}")
