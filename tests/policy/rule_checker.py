"""An independent checker of the actions of one balancer; it shares no code with the policy.

It tracks the endpoint list, the requests and the attempts, and asserts that each action complies with these
rules: each request gets exactly one final response, in time; a request that may have run is repeated only
where its class allows it; no attempt is sent to an endpoint that is not ready; and no warming endpoint is
overloaded.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.events import Outcome
from loadbalancer.settings import Idempotency, IdempotencyScope, RequestClass, Settings

if TYPE_CHECKING:
    from collections import Counter

# Time after the deadline of a request within which it must have its final response.
GRACE_MS = 20.0
UNPROCESSED_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class FinalResponse(enum.Enum):
    """The final response to a client."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass
class TrackedAttempt:
    """An attempt, with the entry of its endpoint at the start of the attempt."""

    endpoint: Endpoint
    started_at_ms: float
    is_in_flight: bool = True
    may_have_run: bool = True


@dataclass
class TrackedRequest:
    """A request and all its attempts."""

    request_class: RequestClass
    deadline_ms: float
    attempts: list[TrackedAttempt] = field(default_factory=list)
    response: FinalResponse | None = None
    is_disconnected: bool = False

    @property
    def is_complete(self) -> bool:
        """Whether the client has its final response or has disconnected."""
        return self.response is not None or self.is_disconnected

    def attempts_that_may_have_run(self) -> list[TrackedAttempt]:
        return [attempt for attempt in self.attempts if attempt.may_have_run]


class RuleChecker:
    """Checks the actions of one balancer process, and counts the final responses in `responses`."""

    def __init__(
        self, settings: Settings, endpoints: dict[str, Endpoint], responses: Counter[FinalResponse]
    ) -> None:
        self.requests: dict[int, TrackedRequest] = {}
        self._settings = settings
        self._endpoints = endpoints
        self._responses = responses
        self._starts_ms: dict[str, list[float]] = {}  # start times of attempts by endpoint
        self._max_warm_starts = 0  # largest number of starts at a warm endpoint within one window

    def start_attempt(self, request_id: int, name: str, now: float) -> int:
        """Check that an attempt may start now; record it and return its index."""
        request = self.requests[request_id]
        endpoint = self._endpoints.get(name)
        assert request.response is None, "attempt after the final response"
        assert not request.is_disconnected, "attempt after the client disconnected"
        assert now <= request.deadline_ms, "attempt after the deadline"
        assert len(request.attempts) < self._settings.max_attempts, "more than max_attempts attempts"
        assert endpoint is not None, "attempt at an unknown endpoint"
        assert endpoint.state is EndpointState.READY, "attempt at a draining or removed endpoint"
        if not self._settings.may_hedge:
            assert not any(attempt.is_in_flight for attempt in request.attempts), (
                "two attempts in flight without hedging"
            )
        self._check_idempotency(request, endpoint, now)
        self._check_warmup(endpoint, now)
        request.attempts.append(TrackedAttempt(endpoint, now))
        return len(request.attempts) - 1

    def _check_idempotency(self, request: TrackedRequest, endpoint: Endpoint, now: float) -> None:
        request_class = request.request_class
        earlier = request.attempts_that_may_have_run()
        if not earlier or request_class.idempotency is Idempotency.SAFE:
            return
        assert request_class.idempotency is Idempotency.KEYED, "non-idempotent request repeated"
        window_ends_ms = earlier[0].started_at_ms + request_class.idempotency_window_ms
        assert now < window_ends_ms, "request repeated after the idempotency window"
        for attempt in earlier:
            if request_class.idempotency_scope is IdempotencyScope.CELL:
                assert attempt.endpoint.cell == endpoint.cell, "request repeated outside its cell"
            if request_class.idempotency_scope is IdempotencyScope.ZONE:
                assert attempt.endpoint.zone == endpoint.zone, "request repeated outside its zone"

    def _check_warmup(self, endpoint: Endpoint, now: float) -> None:
        """Check the number of attempts at a warming endpoint in a window.

        The limit is the overload factor times the warm-up fraction times the largest number of attempts that
        any warm endpoint has received in a window so far, but not less than 1.
        """
        starts_ms = self._starts_ms.setdefault(endpoint.name, [])
        recent = sum(start > now - self._settings.slow_start_window_ms for start in starts_ms)
        fraction = self._warmup_fraction(endpoint, now)
        if fraction < 1:
            limit = max(1, self._settings.slow_start_overload_factor * fraction * self._max_warm_starts)
            assert 1 + recent <= limit, (
                f"warming endpoint overloaded: {1 + recent} attempts in a window, limit {limit}"
            )
        else:
            self._max_warm_starts = max(self._max_warm_starts, recent)
        starts_ms.append(now)

    def _warmup_fraction(self, endpoint: Endpoint, now: float) -> float:
        age_ms = now - endpoint.started_at_ms
        if not endpoint.started_at_ms or age_ms >= self._settings.slow_start_ms:
            return 1.0
        initial = self._settings.slow_start_initial_fraction
        return initial + (1 - initial) * age_ms / self._settings.slow_start_ms

    def reset_endpoint(self, name: str) -> None:
        """Discard the attempts at a restarted endpoint: they add no load to the new process."""
        self._starts_ms[name] = []

    def cancel_attempt(self, request_id: int, attempt_index: int) -> bool:
        """Check that an attempt may be cancelled, and return whether it is still in flight."""
        assert self._settings.may_cancel
        attempts = self.requests[request_id].attempts
        assert attempt_index < len(attempts), "cancelled an attempt that was never started"
        return attempts[attempt_index].is_in_flight

    def finish_attempt(self, request_id: int, attempt_index: int, outcome: Outcome, now: float) -> bool:
        """Record the end of an attempt and, if it succeeded, the final response.

        Returns:
            Whether the attempt was still in flight; if it was not, nothing is recorded.
        """
        request = self.requests[request_id]
        attempt = request.attempts[attempt_index]
        if not attempt.is_in_flight:
            return False
        attempt.is_in_flight = False
        attempt.may_have_run = outcome not in UNPROCESSED_OUTCOMES
        if outcome is Outcome.SUCCEEDED and not request.is_complete:
            self._respond(request, FinalResponse.SERVED, now)
        return True

    def reject(self, request_id: int, now: float) -> None:
        """Check that the client may safely repeat the request."""
        request = self.requests[request_id]
        request_class = request.request_class
        is_repeatable_anywhere = request_class.idempotency is Idempotency.SAFE or (
            request_class.idempotency is Idempotency.KEYED
            and request_class.idempotency_scope is IdempotencyScope.ALL
        )
        may_have_run = bool(request.attempts_that_may_have_run())
        assert not may_have_run or is_repeatable_anywhere, "rejected a request that may have run"
        self._respond(request, FinalResponse.REJECTED, now)

    def fail(self, request_id: int, now: float) -> None:
        """Check that a request may be answered with a failure now."""
        self._respond(self.requests[request_id], FinalResponse.FAILED, now)

    def _respond(self, request: TrackedRequest, response: FinalResponse, now: float) -> None:
        assert request.response is None, "two final responses"
        if not request.is_disconnected:
            assert now <= request.deadline_ms + GRACE_MS, "response after the deadline"
        request.response = response
        self._responses[response] += 1

    def check_overdue(self, now: float) -> None:
        """Check that each request gets its response within GRACE_MS after its deadline."""
        for request_id, request in self.requests.items():
            is_overdue = not request.is_complete and now > request.deadline_ms + GRACE_MS
            assert not is_overdue, f"request {request_id} has no response"
