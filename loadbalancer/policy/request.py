"""The open requests of a balancer and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from loadbalancer.errors import DuplicateRequestError, UnknownClassError, UnknownRequestError

if TYPE_CHECKING:
    from loadbalancer.events import AttemptFinished, RequestReceived, ResponseStarted
    from loadbalancer.policy.endpoint_stats import EndpointStats
    from loadbalancer.settings import RequestClass


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One attempt of a request. Times are in milliseconds on the clock of the events."""

    endpoint: EndpointStats
    idle_ms: float  # how long the connection had been idle; 0 if it was new, in use or unknown
    started_at: float
    times_out_at: float
    is_baseline: bool  # whether it started without load; if so, it counts toward the baseline service time
    is_open: bool = True  # whether it is in flight
    may_have_run: bool = True  # whether it may have had an effect; false if the outcome rules that out


@dataclass(slots=True, eq=False, repr=False)
class Request:
    """A request without a final response, or with attempts in flight."""

    id: int
    request_class: RequestClass
    expires_at: float  # time after which a response has no value to the client, in milliseconds
    work: float = 1.0  # the request's cost hint divided by the mean of all hints; 1 without a hint
    attempts: list[Attempt] = field(default_factory=list)  # in the order of their start
    is_response_pending: bool = True  # whether the client still waits for the final response
    is_streaming: bool = False  # whether a streaming response has begun; no further attempt may start then

    @property
    def expected_work(self) -> float:
        """The expected work in units of the mean request; at least 1, even if the cost hint is lower."""
        return max(self.work, 1.0)

    def has_open_attempt(self) -> bool:
        """Return whether an attempt is in flight."""
        return any(a.is_open for a in self.attempts)

    def needs_attempt(self) -> bool:
        """Return whether the client is still waiting for a response and no attempt is in flight."""
        return self.is_response_pending and not self.has_open_attempt()

    def may_have_run(self) -> bool:
        """Return whether an attempt may have had an effect."""
        return any(a.may_have_run for a in self.attempts)


class RequestTable:
    """The open requests by their id."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self._classes = {c.name: c for c in classes}
        self._requests: dict[int, Request] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, event: RequestReceived, now: float) -> Request:
        """Add a request that has arrived, and return it.

        The request expires at its deadline. If late responses of its class have no value, it expires at the
        latency objective if that is earlier.

        Raises:
            DuplicateRequestError: A request with this id is open.
            UnknownClassError: The settings define no class of this name.
        """
        if event.request_id in self._requests:
            raise DuplicateRequestError(event.request_id)
        request_class = self._classes.get(event.class_name)
        if request_class is None:
            raise UnknownClassError(event.request_id, event.class_name)
        expires_at = now + event.remaining_ms
        if not request_class.late_value:
            expires_at = min(expires_at, now + request_class.latency_objective_ms)
        request = self._requests[event.request_id] = Request(event.request_id, request_class, expires_at)
        return request

    def get(self, request_id: int) -> Request | None:
        """Return an open request, or None if it has finished."""
        return self._requests.get(request_id)

    def find(self, event: AttemptFinished | ResponseStarted) -> Request:
        """Return the request that an event refers to.

        Raises:
            UnknownRequestError: The request is not open, or has no such attempt.
        """
        request = self._requests.get(event.request_id)
        if request is None or not 0 <= event.attempt_index < len(request.attempts):
            raise UnknownRequestError(event.request_id, event.attempt_index)
        return request

    def remove_if_finished(self, request: Request) -> None:
        """Remove a request if it needs no further response and has no attempt in flight."""
        if not request.is_response_pending and not request.has_open_attempt():
            self._requests.pop(request.id, None)
