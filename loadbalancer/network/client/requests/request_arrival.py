"""The progress of the requests of one connection."""

from __future__ import annotations


class RequestArrival:
    """Tracks when the current request of a connection began to arrive, and whether it is complete.

    All times are in seconds of the monotonic clock.

    Attributes:
        is_arriving: Whether a request has begun to arrive and is not complete yet.
        started_at: When the current request began to arrive; until the first request is complete, when the
            client connected.
        has_received_request: Whether a complete request has ever arrived.
        input_arrived_at: When the input that is being parsed arrived.
    """

    __slots__ = ("has_received_request", "input_arrived_at", "is_arriving", "started_at")

    def __init__(self, connected_at: float) -> None:
        """Create the state of a new connection.

        Args:
            connected_at: When the client connected.
        """
        self.is_arriving = False
        self.started_at = connected_at
        self.has_received_request = False
        self.input_arrived_at = connected_at

    def record_first_byte(self, now: float) -> None:
        """Record that the first byte of a request has arrived.

        For the first request of a connection `started_at` remains the time when the client connected.
        """
        self.is_arriving = True
        if self.has_received_request:
            self.started_at = now

    def record_complete_request(self) -> float:
        """Record that the current request is complete, and return when its last byte arrived."""
        self.is_arriving = False
        self.has_received_request = True
        return self.input_arrived_at
