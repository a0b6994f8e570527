"""The host of one balancer's policy on the virtual clock: feeds it events and carries out its actions.

The host takes the place of `loadbalancer.network.proxy`, without sockets. All times are milliseconds, except
the measured processing time of the policy, which is in seconds.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from loadbalancer.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    RejectRequest,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from loadbalancer.endpoints import Endpoint
from loadbalancer.events import (
    UNPROCESSED_OUTCOMES,
    AttemptFinished,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from loadbalancer.network.deadline_watchdog import POLICY_DEADLINE_MARGIN_MS, WATCHDOG_MARGIN_MS
from loadbalancer.policy.balancer import LoadBalancer
from testbed.chain.server import Attempt, Server
from testbed.errors import TestbedError

if TYPE_CHECKING:
    from testbed.chain.request import Caller, ChainRecorder, ClientRequest
    from testbed.chain.settings import ChainSettings
    from testbed.virtual_clock import VirtualClock


class UnexpectedHealthCheckError(TestbedError, ValueError):
    """The policy started a health check, although a simulated chain does not enable health checks."""

    def __init__(self) -> None:
        super().__init__("the policy started a health check, although the settings do not enable any")


@dataclass(slots=True)
class _Request:
    """A request that the balancer handles."""

    number: int
    caller: Caller
    client_request: ClientRequest
    deadline_ms: float
    """The time by which attempts have to end, so that the response still reaches the client in time."""
    attempts: list[Attempt | None] = field(default_factory=list)
    """The attempts by index; None for an attempt that the policy started after the response."""
    is_open: bool = True
    """Whether the client still waits for the final response."""
    may_have_run: bool = False
    """Whether a server may have processed an attempt that has finished."""
    running_attempts: int = 0
    queued_events: int = 0
    """Events of this request that the policy has not handled yet."""

    @property
    def is_finished(self) -> bool:
        """Whether the response has been sent, no attempt is running and no event is queued."""
        return not (self.is_open or self.running_attempts or self.queued_events)


class BalancerHost:
    """Runs a balancer's policy, and tracks its open requests."""

    def __init__(
        self,
        settings: ChainSettings,
        clock: VirtualClock,
        recorder: ChainRecorder,
        tier: int,
        servers: list[Server],
        seed: int,
    ) -> None:
        """Start a balancer that sends to `servers`, the servers of `tier`; tiers are numbered from 1."""
        self._clock = clock
        self._recorder = recorder
        self._tier = tier
        self._servers = {server.name: server for server in servers}
        self._balancer = LoadBalancer(settings.balancer_settings(tier - 1), seed)
        self._requests: dict[int, _Request] = {}
        self._events: deque[tuple[Event, _Request | None]] = deque()
        self._is_dispatching = False
        self._last_request_number = 0
        self._class_name = settings.request_class.name
        self._dispatch(self._endpoint_list_update(EndpointListKind.CACHED))
        self._dispatch(self._endpoint_list_update(EndpointListKind.SNAPSHOT))

    @property
    def open_requests(self) -> int:
        """The number of requests that have no response yet, or have running attempts."""
        return len(self._requests)

    def receive(self, caller: Caller, client_request: ClientRequest, remaining_ms: float) -> int:
        """Pass a new request to the policy.

        Args:
            caller: The caller, which receives the response.
            client_request: The client request that it belongs to.
            remaining_ms: The time until its deadline.

        Returns:
            The number of the request at this balancer.
        """
        self._last_request_number += 1
        now = self._clock.now
        request = _Request(
            self._last_request_number, caller, client_request, now + remaining_ms - POLICY_DEADLINE_MARGIN_MS
        )
        self._requests[request.number] = request
        self._clock.schedule(
            now + max(remaining_ms - WATCHDOG_MARGIN_MS, 0.0), self._respond_before_deadline, request
        )
        policy_remaining_ms = max(remaining_ms - POLICY_DEADLINE_MARGIN_MS, 0.0)
        self._dispatch(RequestReceived(request.number, self._class_name, policy_remaining_ms), request)
        return request.number

    def disconnect(self, number: int) -> None:
        """Handle the disconnect of a request's client; does nothing if the response has been sent."""
        request = self._requests.get(number)
        if request is not None and request.is_open:
            self._abandon(request)

    def _endpoint_list_update(self, kind: EndpointListKind) -> EndpointListUpdate:
        return EndpointListUpdate(kind, tuple(Endpoint(name) for name in self._servers))

    def _abandon(self, request: _Request) -> None:
        request.is_open = False
        self._dispatch(ClientDisconnected(request.number), request)
        self._finish_unsent_attempts(request)

    def _finish_unsent_attempts(self, request: _Request) -> None:
        for attempt in request.attempts:
            if attempt is not None:
                attempt.finish_if_unsent()

    def _respond_before_deadline(self, request: _Request) -> None:
        """Respond shortly before the deadline if the request is still open.

        The status is 503 if no server may have processed the request, else 502.
        """
        if request.is_open:
            may_run = request.may_have_run or request.running_attempts
            request.caller.receive_response(502 if may_run else 503)
            self._abandon(request)

    # ---- events -------------------------------------------------------------------------------

    def _dispatch(self, event: Event, request: _Request | None = None) -> None:
        """Pass an event to the policy, after all actions for earlier events have been carried out."""
        if request is not None:
            request.queued_events += 1
        self._events.append((event, request))
        if self._is_dispatching:
            return
        self._is_dispatching = True
        while self._events:
            self._handle_event(*self._events.popleft())
        self._is_dispatching = False

    def _handle_event(self, event: Event, request: _Request | None) -> None:
        start_s = time.perf_counter()
        actions = self._balancer.handle(event, self._clock.now)
        self._recorder.record_policy_event(time.perf_counter() - start_s)
        for action in actions:
            self._perform_action(action)
        if request is not None:
            request.queued_events -= 1
            if request.is_finished:
                self._requests.pop(request.number, None)

    # ---- actions ------------------------------------------------------------------------------

    def _perform_action(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case SetTimer(at_ms, timer):
                self._clock.schedule(at_ms, self._dispatch, TimerFired(timer))
            case RejectRequest(number):
                self._respond(number, 503)
            case FailRequest(number):
                self._respond(number, 502)
            case CancelAttempt(number, index):
                self._cancel_attempt(number, index)
            case WatchEndpoints():
                snapshot = self._endpoint_list_update(EndpointListKind.SNAPSHOT)
                self._clock.schedule(self._clock.now, self._dispatch, snapshot)
            case CloseIdleConnections() | LogMessage():
                pass  # simulated connections do not become idle, and log messages are dropped
            case StartHealthCheck():
                raise UnexpectedHealthCheckError

    def _respond(self, number: int, status: int) -> None:
        request = self._requests.get(number)
        if request is not None and request.is_open:
            request.is_open = False
            request.caller.receive_response(status)

    def _cancel_attempt(self, number: int, index: int) -> None:
        request = self._requests.get(number)
        attempt = request.attempts[index] if request else None
        if attempt is not None:
            attempt.cancel()

    def _start_attempt(self, action: StartAttempt) -> None:
        request = self._requests[action.request_id]
        index = len(request.attempts)
        request.running_attempts += 1
        if not request.is_open:
            request.attempts.append(None)
            self._finish_attempt(request, index, action.endpoint, Outcome.NOT_SENT)
            return
        remaining_ms = request.deadline_ms - self._clock.now
        timeout_ms = min(action.timeout_ms, remaining_ms) if action.timeout_ms else remaining_ms
        timeout_ms = max(timeout_ms, 0.0)
        server = self._servers[action.endpoint]
        attempt = Attempt(
            request.number, index, request.client_request, server, timeout_ms, self._on_attempt_finished
        )
        request.attempts.append(attempt)
        self._recorder.record_attempt(request.client_request, self._tier, timeout_ms)
        attempt.start()

    def _on_attempt_finished(self, attempt: Attempt, outcome: Outcome) -> None:
        request = self._requests[attempt.request_number]  # not removed while an attempt is running
        self._finish_attempt(request, attempt.index, attempt.server.name, outcome)

    def _finish_attempt(self, request: _Request, index: int, endpoint: str, outcome: Outcome) -> None:
        """Record an attempt's outcome.

        The first successful response is forwarded to the caller before the policy handles the outcome.
        """
        request.running_attempts -= 1
        request.may_have_run = request.may_have_run or outcome not in UNPROCESSED_OUTCOMES
        if request.is_open and outcome is Outcome.SUCCEEDED:
            request.is_open = False
            request.caller.receive_response(200)
        has_response = not request.is_open
        self._dispatch(AttemptFinished(request.number, index, endpoint, outcome, has_response), request)
        if not request.is_open:
            self._finish_unsent_attempts(request)
