"""The action performer: carries out the actions of the policy with timers, responses and upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, assert_never

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
from loadbalancer.events import TimerFired
from loadbalancer.network.upstream.health_checks import HealthChecks

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from loadbalancer.events import Event
    from loadbalancer.network.clock import Clock
    from loadbalancer.network.discovery.watch import EndpointWatch
    from loadbalancer.network.headers import Headers
    from loadbalancer.network.log import RateLimitedLog
    from loadbalancer.network.open_requests import OpenRequests
    from loadbalancer.network.upstream.attempt_runner import AttemptRunner
    from loadbalancer.network.upstream.pool import UpstreamPools


class ActionPerformer:
    """Performs one action of the policy at a time.

    Args:
        loop: The event loop, which runs the policy's timers.
        clock: The clock of the times in actions.
        requests: The requests by the numbers in actions.
        attempts: Starts and cancels attempts.
        upstreams: The connection pools.
        endpoint_watch: The watch on discovery.
        log: Gets the policy's messages.
        dispatch: Passes an event that belongs to no request to the policy.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        requests: OpenRequests,
        attempts: AttemptRunner,
        upstreams: UpstreamPools,
        endpoint_watch: EndpointWatch,
        log: RateLimitedLog,
        dispatch: Callable[[Event], None],
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._requests = requests
        self._attempts = attempts
        self._upstreams = upstreams
        self._health_checks = HealthChecks(upstreams, dispatch)
        self._endpoint_watch = endpoint_watch
        self._log = log
        self._dispatch = dispatch

    def perform(self, action: Action) -> None:
        """Perform an action."""
        match action:
            case StartAttempt():
                self._attempts.start(action)
            case SetTimer():
                self._set_timer(action)
            case RejectRequest():
                self._reject(action)
            case FailRequest(number):
                self._respond(number, 502)
            case CancelAttempt():
                self._attempts.cancel(action)
            case StartHealthCheck(endpoint):
                self._health_checks.start(endpoint)
            case CloseIdleConnections(endpoint):
                self._upstreams.close_idle_connections(endpoint)
            case WatchEndpoints():
                self._endpoint_watch.start_watch()
            case LogMessage(text):
                self._log.write(text)
            case _:
                assert_never(action)

    def _set_timer(self, action: SetTimer) -> None:
        delay_s = max(action.at_ms - self._clock.now(), 0.0) / 1000
        self._loop.call_later(delay_s, self._dispatch, TimerFired(action.timer))

    def _reject(self, action: RejectRequest) -> None:
        headers: Headers = []
        if action.retry_after_ms > 0:
            headers.append((b"Retry-After", b"%.3f" % (action.retry_after_ms / 1000)))
        self._respond(action.request_id, 503, headers)

    def _respond(self, number: int, status: int, headers: Headers | None = None) -> None:
        request = self._requests.get(number)
        if request is not None and request.is_open:
            request.respond(status, headers)
