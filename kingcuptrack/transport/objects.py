"""Client of the platform's object store."""

from urllib.parse import quote

from ..outcomes import Done, Refused


class ObjectStoreClient:
    """Object store behind one base URL."""

    def __init__(self, *, http_client, base_url, timeout_seconds):
        self._http_client = http_client
        self._base_url = base_url
        self._timeout_seconds = timeout_seconds

    async def put(self, key, content):
        """Store bytes under a key; storing the same bytes again is harmless."""
        return await self._request("PUT", key, content=content)

    async def get(self, key):
        """Return Done with the bytes of an object."""
        return await self._request("GET", key)

    async def _request(self, method, key, *, content=None):
        outcome = await self._http_client.request(
            method,
            f"{self._base_url}/v1/objects/{quote(key, safe='')}",
            timeout_seconds=self._timeout_seconds,
            content=content,
        )
        if not isinstance(outcome, Done):
            return outcome
        response = outcome.value
        if response.status in (200, 201, 204):
            return Done(value=response.body)
        return Refused(code="unavailable", message=f"status {response.status}")
