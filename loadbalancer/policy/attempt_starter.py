"""Starts attempts: selects an endpoint, closes connections that may be dead and sets the hedge timer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.actions import Action, CloseIdleConnections, SetTimer, StartAttempt
from loadbalancer.timers import HedgeTimer

if TYPE_CHECKING:
    from loadbalancer.policy.attempt_recorder import AttemptRecorder
    from loadbalancer.policy.idle_connections import IdleConnectionLimit
    from loadbalancer.policy.request import Request
    from loadbalancer.policy.retry import Hedging
    from loadbalancer.policy.selection import EndpointSelector
    from loadbalancer.policy.slow_start import SlowStart
    from loadbalancer.settings import Settings


class AttemptStarter:
    """Starts attempts until a request has reached its maximum number of attempts or has expired."""

    def __init__(
        self,
        settings: Settings,
        selector: EndpointSelector,
        hedging: Hedging,
        idle_limit: IdleConnectionLimit,
        recorder: AttemptRecorder,
        slow_start: SlowStart,
    ) -> None:
        self._tick_ms = settings.tick_ms
        self._max_attempts = settings.max_attempts
        self._selector = selector
        self._hedging = hedging
        self._idle_limit = idle_limit
        self._recorder = recorder
        self._slow_start = slow_start

    def start(self, request: Request, now: float, *, is_shedding: bool) -> list[Action]:
        """Start the next attempt of a request, and return the actions that carry it out.

        The list is empty if the request is about to expire, has reached its maximum number of attempts, or
        has no eligible endpoint.

        `CloseIdleConnections` precedes an attempt whose connection may be dead: a first attempt if the
        connection has been idle for at least the learned limit, a retry or hedged attempt if the connection
        has been idle at all. Connections count as idle only while this balancer has no attempt in flight at
        the endpoint.

        Args:
            request: The request.
            now: The time of the event, in milliseconds.
            is_shedding: Whether the balancer is shedding load.
        """
        timeout_ms = request.expires_at - now
        if timeout_ms <= self._tick_ms or len(request.attempts) >= self._max_attempts:
            return []
        endpoint = self._selector.select(request, now)
        if endpoint is None:
            return []
        actions: list[Action] = []
        idle_ms = 0.0 if endpoint.in_flight else max(now - endpoint.last_used_at, 0.0)
        if idle_ms and (request.attempts or idle_ms >= self._idle_limit.limit_ms):
            actions.append(CloseIdleConnections(endpoint.entry.name))
            idle_ms = 0.0
        hedge_delay_ms = self._hedging.delay_ms(request, timeout_ms)
        if hedge_delay_ms is not None:
            actions.append(SetTimer(now + hedge_delay_ms, HedgeTimer(request.id)))
        attempt = self._recorder.start(endpoint, idle_ms, timeout_ms, now, is_shedding=is_shedding)
        request.attempts.append(attempt)
        self._slow_start.record_start(endpoint, now)
        actions.append(StartAttempt(request.id, endpoint.entry.name, timeout_ms))
        return actions
