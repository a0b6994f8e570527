"""The complete requests of one connection that wait to be handled."""

from __future__ import annotations

from loadbalancer.network.client.requests.incoming_request import IncomingRequest, RefusedRequests
from loadbalancer.network.memory_budget import QUEUED_REQUEST_BYTES


class RequestQueue:
    """Requests in their order on the wire; refused ones are counted, not kept.

    Attributes:
        size_bytes: The memory that the requests occupy.
    """

    __slots__ = ("_requests", "size_bytes")

    def __init__(self) -> None:
        self._requests: list[IncomingRequest | RefusedRequests] = []
        self.size_bytes = 0

    def __len__(self) -> int:
        """Return how many entries there are; refused requests in a row are one entry."""
        return len(self._requests)

    @property
    def first(self) -> IncomingRequest | RefusedRequests:
        """The oldest entry; the queue must not be empty."""
        return self._requests[0]

    def add(self, request: IncomingRequest) -> None:
        """Append a request."""
        self._requests.append(request)
        self.size_bytes += request.size_bytes + QUEUED_REQUEST_BYTES

    def add_refused(self, count: int = 1, *, keep_alive: bool) -> None:
        """Append refused requests.

        Args:
            count: The number of requests.
            keep_alive: Whether the connection may stay open after the last of them.
        """
        last = self._requests[-1] if self._requests else None
        if not isinstance(last, RefusedRequests):
            last = RefusedRequests()
            self._requests.append(last)
        last.count += count
        last.keep_alive = keep_alive

    def take(self, request: IncomingRequest) -> None:
        """Remove a request, the first of the queue."""
        del self._requests[0]
        self.size_bytes -= request.size_bytes + QUEUED_REQUEST_BYTES

    def take_refused(self, refused: RefusedRequests, count: int) -> bool:
        """Remove some of the refused requests at the head of the queue.

        Returns:
            Whether the connection may stay open after them.
        """
        refused.count -= count
        if refused.count:
            return True
        del self._requests[0]
        return refused.keep_alive

    def refuse_all(self) -> None:
        """Refuse all requests, and release what they occupy."""
        waiting = self._requests
        self.clear()
        for request in waiting:
            count = request.count if isinstance(request, RefusedRequests) else 1
            self.add_refused(count, keep_alive=request.keep_alive)

    def clear(self) -> None:
        """Drop all requests."""
        self._requests = []
        self.size_bytes = 0
