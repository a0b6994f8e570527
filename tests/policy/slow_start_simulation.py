"""A simulation of many balancers that measures the total work that they send to each warming endpoint.

It is a seeded discrete-event simulation of the policy on a virtual clock, without sockets and without
waiting. It measures compliance with one rule: in the window that ends at any attempt, the work that arrives
at a warming endpoint must not exceed `slow_start_overload_factor` times the work that the endpoint can do in
such a window at its present capacity. Work is measured in requests of mean work.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from loadbalancer.actions import Action, FailRequest, RejectRequest, SetTimer, StartAttempt
from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.events import (
    AttemptFinished,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.settings import Idempotency, RequestClass, Settings
from testbed.virtual_clock import VirtualClock

SMALL = RequestClass("small", 1_000, 3_000, Idempotency.SAFE)
LARGE = RequestClass("large", 1_000, 3_000, Idempotency.SAFE)
# Work by class; with LARGE_FRACTION of large requests, the mean is 1.
WORK = {"small": 0.75, "large": 2.0}
LARGE_FRACTION = 0.2
START_MS = 100_000.0
# Response time of an endpoint at which all attempts fail.
FAILURE_DURATION_MS = 2.0


@dataclass
class SimulatedEndpoint:
    """An endpoint, with the work that has recently arrived there."""

    started_at_ms: float = 0.0  # 0 if the endpoint was warm at the start
    outcome: Outcome = Outcome.SUCCEEDED  # outcome of all attempts that do not time out
    is_ready: bool = True
    arrivals: deque[tuple[float, float]] = field(default_factory=deque)  # (time, work) in the last window
    work_in_window: float = 0.0
    idle_at_ms: float = 0.0  # time at which all work received so far will be completed


@dataclass
class SimulatedRequest:
    """A request that has no final response yet."""

    request_class: RequestClass
    attempts: int = 0


class SimulatedBalancer:
    """One instance of the policy, with its open requests."""

    def __init__(self, simulation: SlowStartSimulation, requests_per_ms: float) -> None:
        self.requests_per_ms = requests_per_ms
        self._simulation = simulation
        self._clock = simulation.clock
        self.restart()

    def restart(self) -> None:
        """Discard all state, including the open requests, and send the endpoint list to the new instance."""
        self.policy = LoadBalancer(self._simulation.settings, self._simulation.random.getrandbits(40))
        self._open_requests: dict[int, SimulatedRequest] = {}
        self.policy.handle(self._simulation.endpoint_list(), self._clock.now)

    def schedule_next_request(self) -> None:
        interval_ms = self._simulation.random.expovariate(self.requests_per_ms)
        self._clock.schedule(self._clock.now + interval_ms, self._receive_request, None)

    def handle(self, event: Event) -> None:
        for action in self.policy.handle(event, self._clock.now):
            self._execute_action(action)

    def _receive_request(self, _: None) -> None:
        self.schedule_next_request()
        request_class = LARGE if self._simulation.random.random() < LARGE_FRACTION else SMALL
        self._simulation.requests += 1
        request_id = self._simulation.requests
        self._open_requests[request_id] = SimulatedRequest(request_class)
        self.handle(RequestReceived(request_id, request_class.name, request_class.deadline_ms))

    def _execute_action(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case SetTimer(at_ms, timer):
                self._schedule_event(at_ms, TimerFired(timer))
            case RejectRequest(request_id) | FailRequest(request_id):
                self._simulation.rejected += 1
                del self._open_requests[request_id]

    def _schedule_event(self, at_ms: float, event: Event) -> None:
        self._clock.schedule(at_ms, partial(self._handle_if_current, self.policy), event)

    def _handle_if_current(self, policy: LoadBalancer, event: Event) -> None:
        """Handle an event unless the balancer has restarted since it was scheduled."""
        if policy is not self.policy:
            return
        if isinstance(event, AttemptFinished):
            event = self._finish_attempt(event)
        self.handle(event)

    def _start_attempt(self, action: StartAttempt) -> None:
        request = self._open_requests[action.request_id]
        attempt_index = request.attempts
        request.attempts += 1
        work = WORK[request.request_class.name]
        duration_ms, outcome = self._simulation.receive_attempt(action.endpoint, work, action.timeout_ms)
        event = AttemptFinished(action.request_id, attempt_index, action.endpoint, outcome)
        self._schedule_event(self._clock.now + duration_ms, event)

    def _finish_attempt(self, event: AttemptFinished) -> AttemptFinished:
        """Close the request of a successful attempt; return the event with `is_request_complete` set."""
        request_id, outcome = event.request_id, event.outcome
        if outcome is Outcome.SUCCEEDED and self._open_requests.pop(request_id, None) is not None:
            self._simulation.served += 1
        is_request_complete = request_id not in self._open_requests
        return AttemptFinished(request_id, event.attempt_index, event.endpoint, outcome, is_request_complete)


class SlowStartSimulation:
    """Balancers in front of endpoints, some of which are warming up.

    Args:
        balancers: The number of balancers.
        endpoints: The number of endpoints, all warm at the start.
        rate_per_s: The capacity of a warm endpoint, in requests of mean work per second.
        load: The request rate as a fraction of the total capacity of all endpoints when warm.
        seed: The seed of the random generator.
        slow_start: The slow-start settings.
        skewed: Whether some balancers receive eight times as many requests as others; if False, all receive
            the same number on average.

    Attributes:
        batch_size: The number of endpoints that are added or replaced in one step: a tenth of them.
        requests: The number of requests received; `served` and `rejected` count the final responses.
        warming_attempts: The number of attempts at warming endpoints.
        max_excess: The largest excess of the work in a window over the limit, divided by the tolerance for
            random variation; a value above 1 shows that an endpoint was overloaded.
    """

    def __init__(
        self,
        balancers: int,
        endpoints: int,
        rate_per_s: float,
        load: float,
        seed: int,
        slow_start: dict[str, Any],
        *,
        skewed: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self.clock = VirtualClock(START_MS)
        self.settings = Settings(
            classes=(SMALL, LARGE), balancers=balancers, max_attempts=4, may_hedge=True, **slow_start
        )
        self.endpoints = {f"s{i}": SimulatedEndpoint() for i in range(endpoints)}
        self.batch_size = max(endpoints // 10, 1)
        self.requests, self.served, self.rejected, self.warming_attempts = 0, 0, 0, 0
        self.max_excess = -math.inf
        self._rate_per_s = rate_per_s
        self._added_endpoints = 0
        self.balancers = [SimulatedBalancer(self, 0.0) for _ in range(balancers)]
        self._spread_requests(load * endpoints * rate_per_s / 1_000, skewed=skewed)
        for balancer in self.balancers:
            balancer.schedule_next_request()

    def _spread_requests(self, requests_per_ms: float, *, skewed: bool) -> None:
        weights = [self.random.choice((0.5, 0.5, 0.5, 4.0)) if skewed else 1.0 for _ in self.balancers]
        for balancer, weight in zip(self.balancers, weights, strict=True):
            balancer.requests_per_ms = weight / sum(weights) * requests_per_ms

    def run(self, duration_ms: float) -> None:
        self.clock.run_until(self.clock.now + duration_ms)

    # ---- changes --------------------------------------------------------------------------------

    def add_endpoints(self, count: int) -> None:
        names = [f"n{self._added_endpoints + i}" for i in range(count)]
        self._added_endpoints += count
        self._start_processes(names)

    def remove_endpoints(self, names: list[str]) -> None:
        for name in names:
            self.endpoints[name].is_ready = False
        self._send_update(names)

    def restart_endpoints(self, names: list[str]) -> None:
        """Start new processes under the same names."""
        self._start_processes(names)

    def replace_endpoints(self, steps: int, interval_ms: float) -> None:
        """In each step, replace `batch_size` of the original endpoints with new ones."""
        old_names = list(self.endpoints)
        for step in range(steps):
            self.remove_endpoints(old_names[step * self.batch_size : (step + 1) * self.batch_size])
            self.add_endpoints(self.batch_size)
            self.run(interval_ms)

    def set_outcome(self, names: list[str], outcome: Outcome) -> None:
        for name in names:
            self.endpoints[name].outcome = outcome

    def scale_request_rate(self, factor: float) -> None:
        for balancer in self.balancers:
            balancer.requests_per_ms *= factor

    def restart_balancers(self) -> None:
        for balancer in self.balancers:
            balancer.restart()

    def _start_processes(self, names: list[str]) -> None:
        for name in names:
            self.endpoints[name] = SimulatedEndpoint(self.clock.now)
        self._send_update(names)

    def _send_update(self, names: list[str]) -> None:
        """Send the current entries of some endpoints to all balancers."""
        update = EndpointListUpdate(EndpointListKind.DELTA, tuple(map(self._entry, names)))
        for balancer in self.balancers:
            balancer.handle(update)

    def endpoint_list(self) -> EndpointListUpdate:
        return EndpointListUpdate(EndpointListKind.SNAPSHOT, tuple(map(self._entry, self.endpoints)))

    def _entry(self, name: str) -> Endpoint:
        endpoint = self.endpoints[name]
        state = EndpointState.READY if endpoint.is_ready else EndpointState.REMOVED
        return Endpoint(name, state, started_at_ms=endpoint.started_at_ms)

    # ---- attempts -------------------------------------------------------------------------------

    def receive_attempt(self, name: str, work: float, timeout_ms: float) -> tuple[float, Outcome]:
        """Process an attempt that arrives at an endpoint; return its duration and its outcome."""
        endpoint = self.endpoints[name]
        assert endpoint.is_ready, "attempt at a removed endpoint"
        capacity = self._warmup_fraction(endpoint)
        if capacity < 1:
            self._count_warming_attempt(endpoint, work, capacity)
        if endpoint.outcome is not Outcome.SUCCEEDED:
            return FAILURE_DURATION_MS, endpoint.outcome
        now = self.clock.now
        endpoint.idle_at_ms = max(endpoint.idle_at_ms, now) + 1_000 / self._rate_per_s * work / capacity
        duration_ms = endpoint.idle_at_ms - now
        if duration_ms > timeout_ms:
            return timeout_ms, Outcome.TIMED_OUT
        return duration_ms, Outcome.SUCCEEDED

    def _warmup_fraction(self, endpoint: SimulatedEndpoint) -> float:
        """Return the present capacity of an endpoint as a fraction of its full capacity."""
        age_ms = self.clock.now - endpoint.started_at_ms
        if not endpoint.started_at_ms or age_ms >= self.settings.slow_start_ms:
            return 1.0
        initial = self.settings.slow_start_initial_fraction
        return initial + (1 - initial) * age_ms / self.settings.slow_start_ms

    def _count_warming_attempt(self, endpoint: SimulatedEndpoint, work: float, capacity: float) -> None:
        window_ms = self.settings.slow_start_window_ms
        self.warming_attempts += 1
        endpoint.arrivals.append((self.clock.now, work))
        endpoint.work_in_window += work
        while endpoint.arrivals[0][0] <= self.clock.now - window_ms:
            endpoint.work_in_window -= endpoint.arrivals.popleft()[1]
        factor = self.settings.slow_start_overload_factor
        limit = factor * capacity * self._rate_per_s * window_ms / 1_000
        tolerance = 2 * math.sqrt(limit) + 2
        self.max_excess = max(self.max_excess, (endpoint.work_in_window - limit) / tolerance)
