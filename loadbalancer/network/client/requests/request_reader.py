"""Sans-I/O reader of a client's requests: buffers bytes, and limits how many requests are parsed ahead."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from loadbalancer.network.client.requests.receive_buffer import ArrivalEstimate, ReceiveBuffer
from loadbalancer.network.client.requests.request_arrival import RequestArrival
from loadbalancer.network.client.requests.request_parser import HEAD_TOO_LARGE, RequestParser
from loadbalancer.network.client.requests.request_queue import RequestQueue
from loadbalancer.network.headers import MAX_HEAD_BYTES
from loadbalancer.network.memory_budget import HEADER_FIELD_BYTES

if TYPE_CHECKING:
    from loadbalancer.network.client.requests.incoming_request import IncomingRequest
    from loadbalancer.network.client.requests.rejection import Rejection
    from loadbalancer.settings import RequestClass

HEAD_SLICE_BYTES = 512
"""Number of bytes parsed at a time, unless they belong to a body; they may contain several requests."""

BODY_SLICE_BYTES = 8_192
"""Number of bytes parsed at a time within a body."""


class RequestReader:
    """Buffers the bytes of one connection and parses them into requests, a slice at a time.

    The pipeline passes bytes to `receive`, calls `parse_slice` while `has_parsable_input`, and takes
    complete requests from the queue. After a rejection it calls `discard_input` and parses no further.

    Attributes:
        queue: The complete requests that wait to be handled.
        arrival: Tracks when the current request began to arrive, and whether it is complete.
        estimate: Estimates when input arrived that was left in the kernel.
        last_received_at: When bytes were last received (seconds of the monotonic clock); -inf if none have
            been received.
    """

    __slots__ = (
        "_buffer",
        "_parser",
        "_partial_bytes",
        "arrival",
        "estimate",
        "last_received_at",
        "queue",
    )

    def __init__(
        self,
        classes: dict[str, RequestClass],
        connected_at: float,
        first_arrived_at: float | None,
    ) -> None:
        """Create a reader.

        Args:
            classes: The request classes of the settings, by name.
            connected_at: When the client connected (seconds of the monotonic clock).
            first_arrived_at: When the first input reached the kernel, if that was before the connection was
                accepted; else None.
        """
        self.queue = RequestQueue()
        self.arrival = RequestArrival(connected_at)
        self.estimate = ArrivalEstimate(first_arrived_at)
        self.last_received_at = -math.inf
        self._parser = RequestParser(classes, self.arrival, self._add_request)
        self._buffer = ReceiveBuffer()
        self._partial_bytes = 0  # parsed bytes of a request that is not complete

    @property
    def is_refusing(self) -> bool:
        """Whether requests that are parsed from now on are refused instead of queued."""
        return self._parser.is_refusing

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes that are read and not parsed."""
        return self._buffer.size

    @property
    def input_bytes(self) -> int:
        """Memory that unparsed input and the incomplete request occupy."""
        if self._parser.is_discarding_body:
            return self._buffer.size
        return self._buffer.size + self._partial_bytes + self._parser.partial_field_count * HEADER_FIELD_BYTES

    @property
    def has_partial_request(self) -> bool:
        """Whether bytes were received that do not make up a complete request yet."""
        return bool(self._partial_bytes or self._buffer.size)

    @property
    def has_partial_head(self) -> bool:
        """Whether the head of a request has begun to arrive and is not complete."""
        return self.arrival.is_arriving and not self._parser.has_complete_head

    def has_parsable_input(self) -> bool:
        """Return whether there is unparsed input, and no parsed request that waits to be handled.

        A parsed request occupies far more memory than its bytes, so it is parsed only once it may begin.
        Refused ones occupy none. Nothing follows the last request of a connection.
        """
        if not self._buffer.size or not self._parser.keep_alive:
            return False
        return self.is_refusing or not self.queue

    def receive(self, data: bytes | memoryview, unread_bytes: int | None) -> None:
        """Buffer bytes of the connection; nothing is parsed yet.

        Args:
            data: The bytes.
            unread_bytes: The number of bytes that the kernel still holds; None if it is not known.
        """
        self.last_received_at = time.monotonic()
        if not self.arrival.is_arriving and not self._buffer.size:
            self.arrival.record_first_byte(self.last_received_at)
        arrived_at = self.estimate.record_read(len(data), self.last_received_at, unread_bytes)
        self._buffer.append(data, arrived_at)

    def parse_slice(self) -> Rejection | None:
        """Parse the next slice of the input; complete requests are appended to the queue.

        Returns:
            The rejection of the request that is being read, if it is not acceptable.
        """
        max_bytes = BODY_SLICE_BYTES if self._parser.has_complete_head else HEAD_SLICE_BYTES
        data, self.arrival.input_arrived_at = self._buffer.take(max_bytes)
        self._partial_bytes += len(data)
        completed_count = self._parser.completed_count
        rejection = self._parser.feed(data)
        if rejection is not None:
            return rejection
        if self._parser.completed_count > completed_count:
            # A request ended in this slice, so any incomplete one lies within the slice.
            self._partial_bytes = len(data) if self.arrival.is_arriving else 0
        elif self._partial_bytes - self._parser.partial_body_bytes > MAX_HEAD_BYTES:
            # Without this limit, the parser would buffer a head, chunk extensions or trailers of any length.
            return HEAD_TOO_LARGE
        if not self._parser.is_in_request and not self._buffer.size:
            # Empty lines between requests don't begin one, so that no time-out of a request runs.
            self.arrival.is_arriving = False
            self._partial_bytes = 0
        return None

    def start_refusing(self) -> None:
        """Refuse the incomplete request and all that follow, and release the body that has been received."""
        self._parser.start_refusing()

    def reject_queued(self) -> None:
        """Refuse the queued requests too, and all that follow."""
        self.start_refusing()
        self.queue.reject_all()

    def stop_refusing(self) -> None:
        """Queue the requests that begin from now on; the incomplete one is still refused."""
        self._parser.is_refusing = False

    def discard_unparsed(self) -> None:
        """Drop the input that is not parsed yet."""
        self._buffer.clear()

    def discard_input(self) -> None:
        """Drop the unparsed input and the incomplete request; nothing may be parsed afterwards."""
        self.discard_unparsed()
        self._partial_bytes = 0
        self._parser.close()

    def close(self) -> None:
        """Drop all input and all requests; nothing may be parsed afterwards."""
        self.discard_input()
        self.queue.clear()

    def _add_request(self, request: IncomingRequest | None) -> None:
        """Queue a complete request; None stands for one whose body was discarded."""
        if request is not None:
            self.queue.add(request)
        else:
            self.queue.add_refused(keep_alive=self._parser.keep_alive)
