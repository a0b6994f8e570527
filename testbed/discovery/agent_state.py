"""What an agent of discovery's stand-in does with requests, and what requests cost."""

from __future__ import annotations

import enum
from dataclasses import dataclass, fields


class AgentMode(enum.Enum):
    """What an agent does with connections and requests."""

    UP = "up"
    SILENT = "silent"
    """It accepts connections and sends nothing; open requests get their response once it is up again."""
    DOWN = "down"
    """Its connections are reset, new ones are refused."""


@dataclass(frozen=True, slots=True)
class AgentState:
    """A mode, and the delay of every response in milliseconds."""

    mode: AgentMode = AgentMode.UP
    delay_ms: float = 0.0


@dataclass(slots=True)
class RequestCounts:
    """What the requests to agents cost.

    Attributes:
        requests: Valid requests, watches included.
        watches: Watch requests that began a watch, or began it anew.
        continued: Watch requests that came within 200 ms of the response before.
        snapshots: Responses with the whole list.
        entries: Entries in all responses.
        bytes_in: Bytes of whole HTTP messages, without the layers below.
        bytes_out: The same of responses.
    """

    requests: int = 0
    watches: int = 0
    continued: int = 0
    snapshots: int = 0
    entries: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def __add__(self, other: RequestCounts) -> RequestCounts:
        return self._combine(other, 1)

    def __sub__(self, other: RequestCounts) -> RequestCounts:
        return self._combine(other, -1)

    def _combine(self, other: RequestCounts, sign: int) -> RequestCounts:
        names = [each.name for each in fields(self)]
        return RequestCounts(**{name: getattr(self, name) + sign * getattr(other, name) for name in names})
