"""The state of a discovery agent, and counts of its requests and responses."""

from __future__ import annotations

import enum
from dataclasses import dataclass, fields


class AgentMode(enum.Enum):
    """How an agent handles connections and requests."""

    UP = "up"
    UNRESPONSIVE = "unresponsive"
    """It accepts connections but sends nothing; it responds to open requests once it is up again."""
    DOWN = "down"
    """Its connections are reset, and new ones are refused."""


@dataclass(frozen=True, slots=True)
class AgentState:
    """The mode of an agent, and the delay of its responses in milliseconds."""

    mode: AgentMode = AgentMode.UP
    delay_ms: float = 0.0


@dataclass(slots=True)
class RequestCounts:
    """Counts of the requests to agents and of their responses.

    Attributes:
        requests: Valid requests, including watch requests.
        new_watches: Watch requests that started a watch.
        continued_watches: Watch requests within 200 ms after the previous response, which continue the same
            watch.
        snapshots: Responses with the complete list.
        entries: Entries in all responses.
        bytes_in: Bytes of the HTTP requests, without the overhead of lower layers.
        bytes_out: Bytes of the HTTP responses.
    """

    requests: int = 0
    new_watches: int = 0
    continued_watches: int = 0
    snapshots: int = 0
    entries: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def __add__(self, other: RequestCounts) -> RequestCounts:
        return self._combine(other, 1)

    def __sub__(self, other: RequestCounts) -> RequestCounts:
        return self._combine(other, -1)

    def _combine(self, other: RequestCounts, sign: int) -> RequestCounts:
        names = [field.name for field in fields(self)]
        return RequestCounts(**{name: getattr(self, name) + sign * getattr(other, name) for name in names})
