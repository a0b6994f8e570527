"""Runs the attempts that the policy starts and cancels, and reports the outcome of each to the policy."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from loadbalancer.events import UNPROCESSED_OUTCOMES, AttemptFinished, Event, Outcome
from loadbalancer.network.headers import end_to_end_headers
from loadbalancer.network.upstream.request_bytes import UpstreamRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from loadbalancer.actions import CancelAttempt, StartAttempt
    from loadbalancer.network.client.requests.incoming_request import IncomingRequest
    from loadbalancer.network.clock import Clock
    from loadbalancer.network.open_requests import OpenRequests, ProxiedRequest
    from loadbalancer.network.response_parser import Response
    from loadbalancer.network.upstream.attempt import UpstreamAttempt
    from loadbalancer.network.upstream.attempt_factory import UpstreamAttemptFactory


class AttemptRunner:
    """Starts and cancels attempts; each `StartAttempt` leads to exactly one `AttemptFinished`."""

    def __init__(
        self,
        requests: OpenRequests,
        attempt_factory: UpstreamAttemptFactory,
        clock: Clock,
        dispatch: Callable[[Event, ProxiedRequest], None],
        on_disconnect: Callable[[IncomingRequest], None],
    ) -> None:
        """Create a runner without attempts.

        Args:
            requests: The open requests, which actions refer to by number.
            attempt_factory: Starts attempts at endpoints.
            clock: The clock on which `expires_at_ms` of requests is measured.
            dispatch: Passes an event of a request to the policy.
            on_disconnect: Called with a request whose client is found to have disconnected.
        """
        self._requests = requests
        self._attempt_factory = attempt_factory
        self._clock = clock
        self._dispatch = dispatch
        self._on_disconnect = on_disconnect

    def start(self, action: StartAttempt) -> None:
        """Start the next attempt of a request.

        If the client no longer waits for a response, or the endpoint is no longer on the endpoint list, the
        attempt ends without being sent.

        Raises:
            KeyError: The request is finished or unknown.
        """
        request = self._requests[action.request_id]
        index = len(request.attempts)
        request.running_attempt_count += 1
        attempt: UpstreamAttempt | None = None
        outcome = Outcome.NOT_SENT  # if the client no longer waits for the response
        if self._is_response_needed(request):
            attempt = self._start_attempt(request, index, action)
            outcome = Outcome.CONNECT_FAILED  # if the endpoint is no longer on the endpoint list
        request.attempts.append(attempt)
        if attempt is None:
            self._on_finished(request, index, action.endpoint, outcome, None)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt, unless it has ended."""
        request = self._requests.get(action.request_id)
        attempt = request.attempts[action.attempt_index] if request is not None else None
        if attempt is not None:
            attempt.cancel()

    def _start_attempt(
        self, request: ProxiedRequest, index: int, action: StartAttempt
    ) -> UpstreamAttempt | None:
        remaining_ms = request.expires_at_ms - self._clock.now()
        timeout_ms = min(action.timeout_ms, remaining_ms) if action.timeout_ms else remaining_ms
        return self._attempt_factory.start_attempt(
            action.endpoint,
            max(timeout_ms, 0.0) / 1000,
            UpstreamRequest(request.incoming, timeout_ms).encode,
            partial(self._on_finished, request, index, action.endpoint),
            partial(self._is_response_needed, request),
        )

    def _is_response_needed(self, request: ProxiedRequest) -> bool:
        """Return whether the client still waits for the response.

        Checks the client's socket: the event loop may not have noticed yet that the client has disconnected.
        """
        if request.is_open and request.incoming.has_client_disconnected():
            self._on_disconnect(request.incoming)
        return request.is_open

    def _on_finished(
        self, request: ProxiedRequest, index: int, endpoint: str, outcome: Outcome, response: Response | None
    ) -> None:
        """Record the end of an attempt.

        The first successful response is sent to the client before the event is passed to the policy.
        """
        request.running_attempt_count -= 1
        request.may_have_run = request.may_have_run or outcome not in UNPROCESSED_OUTCOMES
        if request.is_open and outcome is Outcome.SUCCEEDED and response is not None:
            request.respond(200, end_to_end_headers(response.headers), response.body)
        event = AttemptFinished(request.number, index, endpoint, outcome, not request.is_open)
        self._dispatch(event, request)
        if not request.is_open:
            request.drop_unsent_attempts()
