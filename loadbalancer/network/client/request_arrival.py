"""The times at which the requests of one connection arrive."""

from __future__ import annotations

import time


class RequestArrival:
    """Tracks when the current request of a connection began to arrive, and whether it is complete.

    All times are in seconds of the monotonic clock.

    Attributes:
        is_arriving: Whether a request has begun to arrive and is not complete yet.
        started_at: When the current request began to arrive; until the first request is complete, when the
            client connected.
        has_received_request: Whether a complete request has ever arrived.
    """

    __slots__ = ("_first_request_received_at", "has_received_request", "is_arriving", "started_at")

    def __init__(self, connected_at: float, first_request_received_at: float | None) -> None:
        """Create the state of a new connection.

        Args:
            connected_at: When the client connected.
            first_request_received_at: When the first request reached the kernel, if that was before the
                connection was accepted; else None.
        """
        self._first_request_received_at = first_request_received_at
        self.is_arriving = False
        self.started_at = connected_at
        self.has_received_request = False

    def record_first_byte(self, now: float) -> None:
        """Record that the first byte of a request has arrived.

        For the first request of a connection `started_at` remains the time when the client connected.
        """
        self.is_arriving = True
        if self.has_received_request:
            self.started_at = now

    def record_complete_request(self) -> float:
        """Record that the current request is complete.

        Returns:
            When the request arrived. If the first request of a connection arrived before the connection was
            accepted, this is when it reached the kernel, so that the time in the accept queue
            counts against the deadline.
        """
        received_at = self._first_request_received_at
        if received_at is None:
            received_at = time.monotonic()
        self._first_request_received_at = None
        self.is_arriving = False
        self.has_received_request = True
        return received_at
