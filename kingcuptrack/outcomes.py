"""Tagged outcomes of calls that may fail.

Every call to another process ends in exactly one of them. `Unknown` means that
the call may or may not have taken effect.
"""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, kw_only=True)
class Done:
    """The call took effect; ``value`` is its typed answer."""

    value: Any = None


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The call did not take effect and never will.

    ``code`` is a stable identifier; ``detail`` holds what the other side sent.
    """

    code: str
    message: str = ""
    retry_after_seconds: float = 0.0
    detail: Any = None


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """No trustworthy answer arrived."""

    message: str = ""


Outcome = Done | Refused | Unknown
