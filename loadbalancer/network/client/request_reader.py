"""Sans-I/O reader of a client's requests: buffers bytes, and limits how many requests are parsed ahead."""

from __future__ import annotations

import math
import time
from collections import deque
from typing import TYPE_CHECKING

from loadbalancer.network.client.request_arrival import RequestArrival
from loadbalancer.network.client.request_parser import HEAD_TOO_LARGE, RequestParser
from loadbalancer.network.headers import MAX_HEAD_BYTES

if TYPE_CHECKING:
    from loadbalancer.network.client.incoming_request import IncomingRequest
    from loadbalancer.network.client.rejection import Rejection
    from loadbalancer.settings import RequestClass

MAX_PIPELINED_REQUESTS = 16
"""Limit on the queued requests of one connection; no input is parsed while it is exceeded."""

SLICE_BYTES = 8_192
"""Number of bytes in a slice; one slice may contain more than `MAX_PIPELINED_REQUESTS` requests."""


class RequestReader:
    """Buffers the bytes of one connection and parses them into requests, a slice at a time.

    The pipeline passes bytes to `receive`, calls `parse_slice` while `can_parse` returns true, and removes
    complete requests from `requests`. After a rejection it calls `discard_input` and parses no further.

    Attributes:
        requests: The complete requests that have not been removed yet, the oldest first.
        arrival: Tracks when the current request began to arrive, and whether it is complete.
        last_received_at: When bytes were last received (seconds of the monotonic clock); -inf if none have
            been received.
    """

    def __init__(
        self,
        classes: dict[str, RequestClass],
        connected_at: float,
        first_request_received_at: float | None,
    ) -> None:
        """Create a reader.

        Args:
            classes: The request classes of the settings, by name.
            connected_at: When the client connected (seconds of the monotonic clock).
            first_request_received_at: When the first request reached the kernel, if that was before the
                connection was accepted; else None.
        """
        self.requests: deque[IncomingRequest] = deque()
        self.arrival = RequestArrival(connected_at, first_request_received_at)
        self.last_received_at = -math.inf
        self._parser = RequestParser(classes, self.arrival, self.requests.append)
        self._unparsed = b""
        self._partial_bytes = 0  # parsed bytes of a request that is not complete

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes buffered: unparsed input, the incomplete request, and queued requests."""
        return len(self._unparsed) + self._partial_bytes + sum(r.size_bytes for r in self.requests)

    @property
    def has_unparsed_input(self) -> bool:
        """Whether bytes were received that are not parsed yet."""
        return bool(self._unparsed)

    @property
    def has_partial_request(self) -> bool:
        """Whether bytes were received that do not make up a complete request yet."""
        return bool(self._partial_bytes or self._unparsed)

    def can_parse(self) -> bool:
        """Return whether there is unparsed input, and `MAX_PIPELINED_REQUESTS` is not exceeded."""
        return bool(self._unparsed) and len(self.requests) <= MAX_PIPELINED_REQUESTS

    def can_resume_reading(self) -> bool:
        """Return whether the queue is short enough to resume reading after a pause."""
        return len(self.requests) <= MAX_PIPELINED_REQUESTS // 2

    def receive(self, data: bytes) -> None:
        """Buffer bytes of the connection; nothing is parsed yet."""
        self.last_received_at = time.monotonic()
        if not self.arrival.is_arriving and not self._unparsed:
            self.arrival.record_first_byte(self.last_received_at)
        self._unparsed += data

    def parse_slice(self) -> Rejection | None:
        """Parse the next slice of the input; complete requests are appended to `requests`.

        Returns:
            The rejection of the request that is being read, if it is not acceptable.
        """
        data = self._unparsed[:SLICE_BYTES]
        self._unparsed = self._unparsed[SLICE_BYTES:]
        self._partial_bytes += len(data)
        queued_before = len(self.requests)
        rejection = self._parser.feed(data)
        if rejection is not None:
            return rejection
        if len(self.requests) > queued_before:
            # A request ended in this slice, so any incomplete one lies within the slice.
            self._partial_bytes = len(data) if self.arrival.is_arriving else 0
        elif self._partial_bytes - self._parser.partial_body_bytes > MAX_HEAD_BYTES:
            # Without this limit, the parser would buffer a head, chunk extensions or trailers of any length.
            return HEAD_TOO_LARGE
        return None

    def discard_unparsed(self) -> None:
        """Drop the input that is not parsed yet."""
        self._unparsed = b""

    def discard_input(self) -> None:
        """Drop the unparsed input and the incomplete request; nothing may be parsed afterwards."""
        self.discard_unparsed()
        self._partial_bytes = 0
        self._parser.discard_partial_request()

    def close(self) -> None:
        """Drop all input and all requests; nothing may be parsed afterwards."""
        self.discard_input()
        self.requests.clear()
        self._parser.close()
