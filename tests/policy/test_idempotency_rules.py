"""The rules of `RuleChecker` hold under seeded random events, including restarts of the balancer."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from loadbalancer.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from loadbalancer.policy.balancer import LoadBalancer
from testbed.virtual_clock import VirtualClock
from tests.policy.helpers import CLASSES, make_settings
from tests.policy.rule_checker import UNPROCESSED_OUTCOMES, FinalResponse, RuleChecker, TrackedRequest

if TYPE_CHECKING:
    from loadbalancer.settings import Settings

START_MS = 50_000.0
MEAN_STEP_MS = 15.0
MEAN_ATTEMPT_MS = 80.0
# Time from the start of a watch until the first update is received or the watch fails.
WATCH_DELAY_MS = 30.0
# Minimum time from setting a timer until it fires.
TIMER_DELAY_MS = 0.01
REMAINING_MS = (0.0, 1.0, 40.0, 400.0, 2_500.0)
MAY_HAVE_RUN_OUTCOMES = (Outcome.ERROR, Outcome.RESET, Outcome.UNKNOWN)


class RandomWorkload:
    """Sends random events to one balancer; a `RuleChecker` checks each action that it returns."""

    def __init__(self, seed: int, **changes: object) -> None:
        self.settings: Settings = make_settings(**({"tier": 1} | changes))
        self.responses: Counter[FinalResponse] = Counter()
        self.retries = 0
        self._random = random.Random(seed)
        self._clock = VirtualClock(START_MS)
        self._endpoints = {f"s{i}": Endpoint(f"s{i}", zone=f"z{i % 2}", cell=i // 3) for i in range(6)}
        self._last_request_id = 0
        self._refills = 0
        self._restart()

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self._clock.run_until(self._clock.now + self._random.expovariate(1 / MEAN_STEP_MS))
            self._checker.check_overdue(self._clock.now)
            choice = self._random.random()
            if choice < 0.004:
                self._restart()
            elif choice < 0.016:
                self._change_endpoint()
            elif choice < 0.022:
                self._shorten_or_refill_list()
            else:
                self._receive_request()

    def _restart(self) -> None:
        """Start a new balancer process: the requests, timers and attempts of the old one are lost."""
        self._clock = VirtualClock(self._clock.now)
        self._checker = RuleChecker(self.settings, self._endpoints, self.responses)
        self._balancer = LoadBalancer(self.settings, self._random.getrandbits(40))
        self._handle(self._endpoint_list(EndpointListKind.CACHED))

    # ---- actions --------------------------------------------------------------------------------

    def _handle(self, event: Event) -> None:
        for action in self._balancer.handle(event, self._clock.now):
            self._execute_action(action)

    def _execute_action(self, action: Action) -> None:
        now = self._clock.now
        match action:
            case StartAttempt(request_id, name, timeout_ms):
                self._start_attempt(request_id, name, timeout_ms)
            case RejectRequest(request_id):
                self._checker.reject(request_id, now)
            case FailRequest(request_id):
                self._checker.fail(request_id, now)
            case CancelAttempt(request_id, attempt_index):
                if self._checker.cancel_attempt(request_id, attempt_index):
                    self._schedule_attempt_end(now, request_id, attempt_index, Outcome.CANCELLED)
            case SetTimer(at_ms, timer):
                self._clock.schedule(max(at_ms, now + TIMER_DELAY_MS), self._handle, TimerFired(timer))
            case WatchEndpoints():
                fails = self._random.random() < 0.4
                deliver = self._fail_watch if fails else self._send_endpoint_list
                self._clock.schedule(now + WATCH_DELAY_MS, deliver, None)

    def _start_attempt(self, request_id: int, name: str, timeout_ms: float) -> None:
        now = self._clock.now
        attempt_index = self._checker.start_attempt(request_id, name, now)
        self.retries += attempt_index > 0
        remaining_ms = self._checker.requests[request_id].deadline_ms - now
        max_duration_ms = min(remaining_ms, timeout_ms) if timeout_ms > 0 else remaining_ms
        duration_ms, outcome = self._draw_attempt_result(max_duration_ms)
        self._schedule_attempt_end(now + duration_ms, request_id, attempt_index, outcome)

    def _draw_attempt_result(self, max_duration_ms: float) -> tuple[float, Outcome]:
        duration_ms = self._random.expovariate(1 / MEAN_ATTEMPT_MS)
        choice = self._random.random()
        if choice >= 0.9 or duration_ms >= max_duration_ms:
            return max_duration_ms, Outcome.TIMED_OUT
        if choice < 0.6:
            return duration_ms, Outcome.SUCCEEDED
        return duration_ms, self._random.choice(
            UNPROCESSED_OUTCOMES if choice < 0.75 else MAY_HAVE_RUN_OUTCOMES
        )

    # ---- events ---------------------------------------------------------------------------------

    def _receive_request(self) -> None:
        self._last_request_id += 1
        request_id = self._last_request_id
        request_class = self._random.choice(self.settings.classes)
        remaining_ms = self._random.choice(REMAINING_MS)
        now = self._clock.now
        self._checker.requests[request_id] = TrackedRequest(request_class, now + remaining_ms)
        self._handle(RequestReceived(request_id, request_class.name, remaining_ms))
        if self._random.random() < 0.05:
            disconnects_at_ms = now + self._random.random() * remaining_ms
            self._clock.schedule(disconnects_at_ms, self._disconnect, request_id)

    def _disconnect(self, request_id: int) -> None:
        request = self._checker.requests[request_id]
        if request.response is None:
            request.is_disconnected = True
            self._handle(ClientDisconnected(request_id))

    def _schedule_attempt_end(
        self, at_ms: float, request_id: int, attempt_index: int, outcome: Outcome
    ) -> None:
        endpoint = self._checker.requests[request_id].attempts[attempt_index].endpoint
        event = AttemptFinished(request_id, attempt_index, endpoint.name, outcome)
        self._clock.schedule(at_ms, self._finish_attempt, event)

    def _finish_attempt(self, event: AttemptFinished) -> None:
        request_id, attempt_index = event.request_id, event.attempt_index
        if self._checker.finish_attempt(request_id, attempt_index, event.outcome, self._clock.now):
            is_request_complete = self._checker.requests[request_id].is_complete
            self._handle(replace(event, is_request_complete=is_request_complete))

    def _fail_watch(self, _: None) -> None:
        self._handle(EndpointListUpdate(EndpointListKind.FAILED))

    def _send_endpoint_list(self, _: None) -> None:
        self._handle(self._endpoint_list(EndpointListKind.SNAPSHOT))

    def _endpoint_list(self, kind: EndpointListKind) -> EndpointListUpdate:
        return EndpointListUpdate(kind, tuple(self._endpoints.values()))

    def _change_endpoint(self) -> None:
        name = self._random.choice(list(self._endpoints))
        old = self._endpoints[name]
        choice = self._random.random()
        if choice < 0.2:
            new = replace(old, state=EndpointState.DRAINING)
        elif choice < 0.35:
            new = replace(old, state=EndpointState.REMOVED)
        else:
            new = replace(old, state=EndpointState.READY, started_at_ms=self._clock.now)
            self._checker.reset_endpoint(name)
        self._endpoints[name] = new
        self._handle(EndpointListUpdate(EndpointListKind.DELTA, (new,)))

    def _shorten_or_refill_list(self) -> None:
        if len(self._endpoints) > 3:
            del self._endpoints[self._random.choice(list(self._endpoints))]
        else:
            self._add_endpoints(4)
        self._send_endpoint_list(None)

    def _add_endpoints(self, count: int) -> None:
        self._refills += 1
        first_cell = 100 * self._refills  # the new endpoints are in new cells
        for i in range(count):
            name = f"n{self._refills}-{i}"
            self._endpoints[name] = Endpoint(name, zone=f"z{i % 2}", cell=first_cell + i // 2)


VARIANTS: list[dict[str, object]] = [
    {},
    {"tier": 0, "classes": tuple(replace(c, latency_objective_ms=2_990.0) for c in CLASSES)},
    {"may_hedge": False},
    {"polls_discovery": True},
    {"may_cancel": False, "max_attempts": 1},
    {"balancers": 9, "slow_start_initial_fraction": 0.05, "slow_start_window_ms": 3_000.0},
    {"classes": CLASSES[:1], "may_hedge": False, "polls_discovery": True},
]


@pytest.mark.parametrize("variant", range(len(VARIANTS)))
@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_under_random_events(variant: int, seed: int) -> None:
    workload = RandomWorkload(seed, **VARIANTS[variant])
    workload.run(1_500)
    responses = workload.responses
    assert responses[FinalResponse.SERVED] > 60, "too few requests served for a meaningful check"
    assert responses[FinalResponse.FAILED] + responses[FinalResponse.REJECTED] > 20
    if workload.settings.max_attempts > 1:
        assert workload.retries > 10
