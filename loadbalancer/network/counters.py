"""Counts of what happens on client connections: why they close, and which errors they get."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class CloseReason(Enum):
    """Why a client connection was closed."""

    BY_CLIENT = "by client"
    REQUEST_TIMEOUT = "request timeout"
    IDLE_TIMEOUT = "idle timeout"
    UNREAD_RESPONSE = "unread response"
    FINAL_RESPONSE = "final response"
    """The connection ends with an error response, or with that to a request with `Connection: close`."""
    SHUTDOWN = "shutdown"


class ClientCounters:
    """Counts since the start of the process.

    Attributes:
        closes: Ended connections, by the first reason for the end.
        responses: Responses, by status.
        refused_for_memory: Requests that were refused since there was no memory for them.
        duplicate_ids: Requests whose id was in use.
    """

    def __init__(self) -> None:
        self.closes: Counter[CloseReason] = Counter()
        self.responses: Counter[int] = Counter()
        self.refused_for_memory = 0
        self.duplicate_ids = 0

    def describe(self) -> str:
        """Return the counts as one line."""
        closes = [f"{reason.value} {count}" for reason, count in self.closes.most_common()]
        responses = [f"{status}: {count}" for status, count in sorted(self.responses.items())]
        return (
            f"closes: {', '.join(closes) or 'none'}; responses: {', '.join(responses) or 'none'}; "
            f"refused for memory {self.refused_for_memory}, duplicate ids {self.duplicate_ids}"
        )
