"""Client of the platform's list of instances, which may be out of date."""

from urllib.parse import quote

import attrs

from ..outcomes import Done, Refused
from ..protocol.codecs import json_converter
from .http_client import decode_body


@attrs.frozen(kw_only=True)
class ListedInstance:
    """An instance as the platform lists it.

    ``kind`` is ``entry`` or ``worker``; ``state`` is ``live`` or ``leaving``.
    """

    instance_id: str
    kind: str
    data_centre: str
    address: str
    state: str

    @property
    def is_leaving(self):
        """Whether the instance is about to stop."""
        return self.state == "leaving"


class InstanceListClient:
    """Instance list behind one base URL."""

    def __init__(self, *, http_client, base_url, timeout_seconds):
        self._http_client = http_client
        self._base_url = base_url
        self._timeout_seconds = timeout_seconds

    async def read(self):
        """Return Done with a list of `ListedInstance`."""
        outcome = await self._request("GET", f"{self._base_url}/v1/instances")
        if not isinstance(outcome, Done):
            return outcome
        return decode_body(
            outcome.value,
            lambda data: json_converter.structure(
                data["instances"], list[ListedInstance]
            ),
        )

    async def register(self, instance):
        """Add an instance to the list or change its state."""
        body = {
            "kind": instance.kind,
            "data_centre": instance.data_centre,
            "address": instance.address,
            "state": instance.state,
        }
        instance_id = quote(instance.instance_id, safe="")
        url = f"{self._base_url}/v1/instances/{instance_id}"
        return await self._request("PUT", url, body=body)

    async def _request(self, method, url, *, body=None):
        outcome = await self._http_client.request(
            method, url, timeout_seconds=self._timeout_seconds, body=body
        )
        if isinstance(outcome, Done) and outcome.value.status not in (200, 201, 204):
            message = f"status {outcome.value.status}"
            return Refused(code="unavailable", message=message)
        return outcome
