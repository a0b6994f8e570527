"""Helpers for the tests of the policy: request classes, settings, and a harness around one balancer."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from loadbalancer.actions import Action, StartAttempt
from loadbalancer.endpoints import Endpoint
from loadbalancer.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestReceived,
)
from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.settings import Idempotency, IdempotencyScope, RequestClass, Settings

READ = RequestClass("read", 1_000, 3_000, Idempotency.SAFE)
CELL_ORDER = RequestClass("cell_order", 1_000, 3_000, Idempotency.KEYED, IdempotencyScope.CELL, 2_000)
GLOBAL_ORDER = RequestClass("global_order", 1_000, 3_000, Idempotency.KEYED, IdempotencyScope.ALL, 2_000)
ZONE_ORDER = RequestClass("zone_order", 1_000, 3_000, Idempotency.KEYED, IdempotencyScope.ZONE, 2_000)
# An idempotency window is valid for a class that is not idempotent, but has no effect.
PAY = RequestClass("pay", 1_000, 3_000, Idempotency.NOT_IDEMPOTENT, idempotency_window_ms=2_000)
CLASSES = (READ, CELL_ORDER, GLOBAL_ORDER, ZONE_ORDER, PAY)


def make_settings(**changes: Any) -> Settings:
    defaults: dict[str, Any] = {
        "classes": CLASSES,
        "max_attempts": 4,
        "may_cancel": True,
        "may_hedge": True,
        "slow_start_ms": 10_000,
        "slow_start_initial_fraction": 0.2,
        "slow_start_overload_factor": 3.0,
    }
    return Settings(**(defaults | changes))


def endpoint_list(count: int, **changes: Any) -> tuple[Endpoint, ...]:
    """Return the endpoints s0, s1 and so on, alternating between two zones, with two endpoints per cell."""
    return tuple(Endpoint(f"s{i}", zone=f"z{i % 2}", cell=i // 2, **changes) for i in range(count))


class PolicyHarness:
    """A balancer with an endpoint list, a clock that the test sets, and consecutive request ids.

    Attributes:
        balancer: The balancer under test.
        now: The time of the next event, in milliseconds.
        actions: All actions that the balancer has returned.
    """

    def __init__(self, endpoints: int = 4, seed: int = 1, **changes: Any) -> None:
        self.balancer = LoadBalancer(make_settings(**changes), seed)
        self.now = 1_000.0
        self.actions: list[Action] = []
        self._last_request_id = 0
        self.update_endpoints(*endpoint_list(endpoints))

    def handle(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(event, self.now)
        self.actions.extend(actions)
        return actions

    def update_endpoints(
        self, *endpoints: Endpoint, kind: EndpointListKind = EndpointListKind.SNAPSHOT
    ) -> list[Action]:
        return self.handle(EndpointListUpdate(kind, endpoints))

    def request(
        self, request_class: RequestClass = READ, remaining_ms: float = 3_000, **fields: Any
    ) -> tuple[int, list[Action]]:
        """Send a request; return its id and the resulting actions."""
        self._last_request_id += 1
        request_id = self._last_request_id
        return request_id, self.handle(
            RequestReceived(request_id, request_class.name, remaining_ms, **fields)
        )

    def finish(self, request_id: int, attempt_index: int, endpoint: str, outcome: Outcome) -> list[Action]:
        """Finish an attempt; a successful one completes its request."""
        is_request_complete = outcome is Outcome.SUCCEEDED
        return self.handle(AttemptFinished(request_id, attempt_index, endpoint, outcome, is_request_complete))

    def serve(self, request_class: RequestClass = READ, duration_ms: float | dict[str, float] = 50.0) -> str:
        """Serve one request and return its endpoint; the duration may depend on the endpoint."""
        request_id, actions = self.request(request_class)
        endpoint = first_endpoint(actions)
        self.now += duration_ms[endpoint] if isinstance(duration_ms, dict) else duration_ms
        self.finish(request_id, 0, endpoint, Outcome.SUCCEEDED)
        return endpoint


def started_attempts(actions: list[Action]) -> list[StartAttempt]:
    return [action for action in actions if isinstance(action, StartAttempt)]


def first_endpoint(actions: list[Action]) -> str:
    """Return the endpoint of the first attempt that the actions start."""
    return started_attempts(actions)[0].endpoint


def actions_of_type(actions: list[Action], *types: type) -> list[Action]:
    return [action for action in actions if isinstance(action, types)]


def count_by_endpoint(harness: PolicyHarness, requests: int) -> Counter[str]:
    """Serve requests sequentially, all with the same duration; count them by endpoint."""
    return Counter(harness.serve(duration_ms=20.0) for _ in range(requests))


def serve_many(harness: PolicyHarness, durations_ms: dict[str, float], requests: int = 400) -> None:
    """Serve requests sequentially; the duration depends on the endpoint."""
    for _ in range(requests):
        harness.serve(duration_ms=durations_ms)


def complete_startup(harness: PolicyHarness) -> PolicyHarness:
    """Serve many short requests until the limits for a new balancer no longer apply."""
    for _ in range(400):
        harness.serve(duration_ms=0.1)
    return harness


def complete_startup_without_baseline(harness: PolicyHarness, in_flight: int = 2) -> PolicyHarness:
    """Call `complete_startup` while other requests are in flight, which preserves the initial baseline."""
    others = [harness.request() for _ in range(in_flight)]
    complete_startup(harness)
    for request_id, actions in others:
        harness.handle(ClientDisconnected(request_id))
        harness.finish(request_id, 0, first_endpoint(actions), Outcome.CANCELLED)
    return harness


def send_until_shed(
    harness: PolicyHarness, request_class: RequestClass = READ, tenant: str | None = None
) -> list[tuple[int, str]]:
    """Send concurrent requests until one is shed; return the ids and endpoints of the admitted ones."""
    in_flight: list[tuple[int, str]] = []
    while attempts := started_attempts(harness.request(request_class, tenant=tenant)[1]):
        in_flight.append((attempts[0].request_id, attempts[0].endpoint))
        assert len(in_flight) < 1_000
    return in_flight


def apply_load(
    harness: PolicyHarness, duration_ms: float, *requests: tuple[RequestClass, str | None], rounds: int = 200
) -> Counter[str]:
    """Send the requests in turn, one every 20 ms; count the admitted ones by tenant or class."""
    admitted: Counter[str] = Counter()
    in_flight: deque[tuple[float, int, str]] = deque()
    for _ in range(rounds):
        for request_class, tenant in requests:
            harness.now += 20
            while in_flight and in_flight[0][0] <= harness.now:
                _, request, endpoint = in_flight.popleft()
                harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
            request, actions = harness.request(request_class, tenant=tenant)
            if started_attempts(actions):
                admitted[tenant or request_class.name] += 1
                in_flight.append((harness.now + duration_ms, request, first_endpoint(actions)))
    for harness.now, request, endpoint in in_flight:
        harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
    return admitted
