"""Outcomes of calls to other processes.

Every such call ends in exactly one of `Done`, `Refused` and `Unknown`.
"""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, kw_only=True)
class Done:
    """The call took effect; ``value`` is the decoded answer."""

    value: Any = None


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The call did not take effect and never will.

    ``code`` is a stable identifier; ``detail`` is the data that came with the refusal,
    such as the current row after a conflict.
    """

    code: str
    message: str = ""
    retry_after_seconds: float = 0.0
    detail: Any = None


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """No valid answer arrived; the call may or may not have taken effect."""

    message: str = ""


Outcome = Done | Refused | Unknown
