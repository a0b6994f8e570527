"""The table of requests that the proxy has accepted and that are not finished."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.network.memory_budget import OPEN_REQUEST_BYTES, HeldKind
from loadbalancer.network.request_ids import RequestIds

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator

    from loadbalancer.network.client.requests.incoming_request import IncomingRequest
    from loadbalancer.network.headers import Headers
    from loadbalancer.network.memory_budget import MemoryBudget
    from loadbalancer.network.upstream.attempt import UpstreamAttempt


class ProxiedRequest:
    """An accepted request with its attempts.

    Attributes:
        number: The number of the request; the `request_id` of the policy's events and actions.
        incoming: The client's request, to which exactly one response is sent.
        expires_at_ms: The policy's deadline, on the policy's clock.
        attempts: The attempts by their index; None in place of an attempt that could not be started.
        is_open: Whether the client still waits for the response.
        may_have_run: Whether an attempt that has ended may have had an effect.
        running_attempt_count: The number of attempts that have not ended.
        queued_event_count: The number of events of the request that the policy has not handled.
    """

    __slots__ = (
        "_watchdog_timer",
        "attempts",
        "expires_at_ms",
        "incoming",
        "is_open",
        "may_have_run",
        "number",
        "queued_event_count",
        "running_attempt_count",
    )

    def __init__(self, number: int, incoming: IncomingRequest, expires_at_ms: float) -> None:
        self.number = number
        self.incoming = incoming
        self.expires_at_ms = expires_at_ms
        self.attempts: list[UpstreamAttempt | None] = []
        self.is_open = True
        self.may_have_run = False
        self.running_attempt_count = 0
        self.queued_event_count = 0
        self._watchdog_timer: asyncio.TimerHandle | None = None

    def set_watchdog_timer(self, timer: asyncio.TimerHandle) -> None:
        """Store the timer of the deadline watchdog, which `close` cancels."""
        self._watchdog_timer = timer

    def close(self) -> None:
        """Mark the request as closed: its client has disconnected, or its response is about to be sent.

        Cancels the timer of the deadline watchdog.
        """
        self.is_open = False
        if self._watchdog_timer is not None:
            self._watchdog_timer.cancel()

    def respond(self, status: int, headers: Headers | None = None, body: bytes = b"") -> None:
        """Close the request and send its response to the client."""
        self.close()
        self.incoming.respond(status, headers, body)

    def drop_unsent_attempts(self) -> None:
        """End the attempts whose request has not been sent completely.

        Such attempts may be ended even if the settings forbid cancelling attempts: the upstream cannot have
        processed their requests.
        """
        for attempt in self.attempts:
            if attempt is not None:
                attempt.drop_if_unsent()

    def is_finished(self) -> bool:
        """Return whether the request is closed, and has no running attempt and no queued event."""
        return not (self.is_open or self.running_attempt_count or self.queued_event_count)


class OpenRequests:
    """Holds the accepted requests by number until they are finished, and the request ids in use.

    Args:
        budget: Counts the memory that is held for peers.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._by_number: dict[int, ProxiedRequest] = {}
        self._ids = RequestIds()
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._by_number)

    def __iter__(self) -> Iterator[int]:
        """Iterate over a copy of the request numbers, since the table may change during the iteration."""
        return iter(list(self._by_number))

    def __getitem__(self, number: int) -> ProxiedRequest:
        return self._by_number[number]

    def get(self, number: int | None) -> ProxiedRequest | None:
        """Return the request with this number; None if it is finished, or the number is unknown."""
        return self._by_number.get(number) if number is not None else None

    def add(self, incoming: IncomingRequest, expires_at_ms: float) -> ProxiedRequest | None:
        """Add a request with a new number.

        Returns:
            The request; None if its X-Request-Id is in use.
        """
        if not self._ids.add(incoming.head.request_id):
            return None
        self._last_number += 1
        request = ProxiedRequest(self._last_number, incoming, expires_at_ms)
        incoming.number = request.number
        self._by_number[request.number] = request
        self._budget.adjust(HeldKind.OPEN_REQUESTS, incoming.size_bytes + OPEN_REQUEST_BYTES)
        return request

    def remove_if_finished(self, request: ProxiedRequest) -> None:
        """Remove a request if it is finished."""
        if request.is_finished():
            if self._by_number.pop(request.number, None) is not None:
                held_bytes = request.incoming.size_bytes + OPEN_REQUEST_BYTES
                self._budget.adjust(HeldKind.OPEN_REQUESTS, -held_bytes)
            self._ids.finish(request.incoming.head.request_id)
