"""Executes the policy's actions: sets timers, sends responses, starts attempts and health checks."""

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
    from loadbalancer.network.upstream.health_checks import HealthChecks
    from loadbalancer.network.upstream.pool import UpstreamPools


class PolicyTimers:
    """Runs the timers that the policy sets.

    Args:
        loop: The event loop, which runs the timers.
        clock: The clock on which the policy's times are measured.
        dispatch: Passes an event to the policy.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, dispatch: Callable[[Event], None]
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._dispatch = dispatch

    def set(self, action: SetTimer) -> None:
        """Set a timer; the policy receives `TimerFired` when it expires."""
        delay_s = max(action.at_ms - self._clock.now(), 0.0) / 1000
        self._loop.call_later(delay_s, self._dispatch, TimerFired(action.timer))


class ActionExecutor:
    """Executes the policy's actions, one at a time.

    Args:
        requests: The open requests, which actions refer to by number.
        timers: The timers of the policy.
        attempt_runner: Starts and cancels attempts.
        health_checks: Starts health checks.
        upstream_pools: The connection pools.
        endpoint_watch: Watches the endpoint list of discovery.
        log: Receives the policy's log messages.
    """

    def __init__(
        self,
        requests: OpenRequests,
        timers: PolicyTimers,
        attempt_runner: AttemptRunner,
        health_checks: HealthChecks,
        upstream_pools: UpstreamPools,
        endpoint_watch: EndpointWatch,
        log: RateLimitedLog,
    ) -> None:
        self._requests = requests
        self._timers = timers
        self._attempt_runner = attempt_runner
        self._health_checks = health_checks
        self._upstream_pools = upstream_pools
        self._endpoint_watch = endpoint_watch
        self._log = log

    def execute(self, action: Action) -> None:
        """Execute one action."""
        match action:
            case StartAttempt():
                self._attempt_runner.start(action)
            case SetTimer():
                self._timers.set(action)
            case RejectRequest():
                self._reject(action)
            case FailRequest(number):
                self._respond(number, 502)
            case CancelAttempt():
                self._attempt_runner.cancel(action)
            case StartHealthCheck(endpoint):
                self._health_checks.start(endpoint)
            case CloseIdleConnections(endpoint):
                self._upstream_pools.close_idle_connections(endpoint)
            case WatchEndpoints():
                self._endpoint_watch.start_watch()
            case LogMessage(text):
                self._log.write(text)
            case _:
                assert_never(action)

    def _reject(self, action: RejectRequest) -> None:
        headers: Headers = []
        if action.retry_after_ms > 0:
            headers.append((b"Retry-After", b"%.3f" % (action.retry_after_ms / 1000)))
        self._respond(action.request_id, 503, headers)

    def _respond(self, number: int, status: int, headers: Headers | None = None) -> None:
        request = self._requests.get(number)
        if request is not None and request.is_open:
            request.respond(status, headers)
