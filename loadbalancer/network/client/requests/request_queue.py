"""The complete requests of one connection that wait to be handled."""

from __future__ import annotations

from loadbalancer.network.client.requests.incoming_request import IncomingRequest, RefusedRequests
from loadbalancer.network.memory_budget import QUEUED_REQUEST_BYTES


class RequestQueue(list[IncomingRequest | RefusedRequests]):
    """Requests in their order on the wire; refused ones in a row are counted, not kept.

    Attributes:
        size_bytes: The memory that the requests occupy.
    """

    __slots__ = ("size_bytes",)

    def __init__(self) -> None:
        super().__init__()
        self.size_bytes = 0

    def add(self, request: IncomingRequest) -> None:
        """Append a request."""
        self.append(request)
        self.size_bytes += request.size_bytes + QUEUED_REQUEST_BYTES

    def add_refused(self, count: int = 1, *, keep_alive: bool) -> None:
        """Append refused requests.

        Args:
            count: The number of requests.
            keep_alive: Whether the connection may stay open after the last of them.
        """
        last = self[-1] if self else None
        if not isinstance(last, RefusedRequests):
            last = RefusedRequests()
            self.append(last)
        last.count += count
        last.keep_alive = keep_alive

    def take(self, request: IncomingRequest) -> None:
        """Remove a request, the first of the queue."""
        del self[0]
        self.size_bytes -= request.size_bytes + QUEUED_REQUEST_BYTES

    def take_refused(self, refused: RefusedRequests, count: int) -> bool:
        """Remove some of the refused requests at the head of the queue.

        Returns:
            Whether the connection may stay open after them.
        """
        refused.count -= count
        if refused.count:
            return True
        del self[0]
        return refused.keep_alive

    def reject_all(self) -> None:
        """Refuse all requests, and release what they occupy."""
        waiting = list(self)
        self.clear()
        for request in waiting:
            count = request.count if isinstance(request, RefusedRequests) else 1
            self.add_refused(count, keep_alive=request.keep_alive)

    def clear(self) -> None:
        """Drop all requests."""
        super().clear()
        self.size_bytes = 0
