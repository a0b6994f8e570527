"""The entries of the endpoint list as the policy sees them.

Times are Unix milliseconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class EndpointState(enum.Enum):
    """What the list says of a server's process."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server as the list shows it; `started_at_ms` is 0 when it started long ago."""

    name: str
    state: EndpointState = EndpointState.READY
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: float = 0.0
