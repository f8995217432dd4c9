"""Addresses of the platform's machines, as texts ``HOST:PORT``."""

import re

import attrs

# A host name or IPv4 address, or an IPv6 address in brackets.
_ADDRESS = re.compile(r"([A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})")
_PORTS = range(1, 65536)


@attrs.frozen(kw_only=True)
class Address:
    """Host and port of a listener."""

    ip: str
    port: int


def parse_address(text):
    """Return the `Address` of a text; raises ValueError if it is none."""
    match = _ADDRESS.fullmatch(text)
    if match is None or int(match[2]) not in _PORTS:
        raise ValueError(f"{text[:80]!r} is not HOST:PORT")
    return Address(ip=match[1].strip("[]"), port=int(match[2]))
