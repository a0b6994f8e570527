"""Benchmarks the policy's decisions with an endpoint list of a given length."""

from __future__ import annotations

import heapq
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from loadbalancer.actions import Action, StartAttempt
from loadbalancer.events import (
    AttemptFinished,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestReceived,
)
from loadbalancer.policy.balancer import LoadBalancer
from testbed.runs.list_size.plan import EndpointUse, Plan, configuration, freeze_live_objects
from testbed.runs.list_size.rows import BenchmarkIdentity, DecisionRow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from testbed.runs.list_size.rounds import RoundColumns

_START_MS = 1_000_000.0
_ATTEMPT_INDEX = 0
_NS_PER_US = 1e3


@dataclass(frozen=True, slots=True)
class DecisionRound:
    """The measurements of one round."""

    arrival_durations_ns: list[int] = field(default_factory=list)
    """The policy's processing time for each `RequestReceived`."""
    end_durations_ns: list[int] = field(default_factory=list)
    """The policy's processing time for each `AttemptFinished`."""
    shed: list[bool] = field(default_factory=list)
    """For each request, whether the policy shed it, that is, started no attempt."""


class _AttemptEnd(NamedTuple):
    """The scheduled end of an attempt."""

    at_ms: float
    request: int
    endpoint: str


class DecisionBenchmark:
    """Measures the processing times of a warmed-up policy under a light load; all attempts succeed."""

    def __init__(self, plan: Plan, entries: int, endpoint_use: EndpointUse, tier: int) -> None:
        self._plan = plan
        self.identity = BenchmarkIdentity(measured="decision", entries=entries, keeps=endpoint_use, tier=tier)
        balancer_configuration = configuration(plan, entries, endpoint_use, tier)
        self._classes = balancer_configuration.settings.classes
        self._balancer = LoadBalancer(balancer_configuration.settings, balancer_configuration.seed)
        self._random = random.Random(plan.seed)
        self._now_ms = _START_MS
        self._last_request_number = 0
        self._attempt_ends: list[_AttemptEnd] = []
        self._endpoints_called: set[str] = set()
        endpoints = tuple([entry.endpoint for entry in balancer_configuration.known_endpoints.endpoints])
        self._balancer.handle(EndpointListUpdate(EndpointListKind.CACHED, endpoints), self._now_ms)
        freeze_live_objects()
        self._run_requests(plan.warm_calls)

    def run_round(self) -> DecisionRound:
        """Run the requests of one round."""
        return self._run_requests(self._plan.calls)

    def _run_requests(self, request_count: int) -> DecisionRound:
        measured_round = DecisionRound()
        for _ in range(request_count):
            self._now_ms += self._random.expovariate(self._plan.calls_per_s / 1000)
            self._finish_attempts(measured_round)
            self._receive_request(measured_round)
        return measured_round

    def _finish_attempts(self, measured_round: DecisionRound) -> None:
        """Pass an `AttemptFinished` to the policy for each attempt that has ended by the current time."""
        while self._attempt_ends and self._attempt_ends[0].at_ms <= self._now_ms:
            end = heapq.heappop(self._attempt_ends)
            finished = AttemptFinished(
                end.request, _ATTEMPT_INDEX, end.endpoint, Outcome.SUCCEEDED, is_request_complete=True
            )
            self._handle(finished, end.at_ms, measured_round.end_durations_ns)

    def _receive_request(self, measured_round: DecisionRound) -> None:
        """Pass the next request to the policy, and schedule when its attempts end."""
        self._last_request_number += 1
        request_class = self._classes[self._last_request_number % len(self._classes)]
        received = RequestReceived(self._last_request_number, request_class.name, request_class.deadline_ms)
        actions = self._handle(received, self._now_ms, measured_round.arrival_durations_ns)
        attempts = [action for action in actions if isinstance(action, StartAttempt)]
        measured_round.shed.append(not attempts)
        for attempt in attempts:
            service_ms = self._random.expovariate(1 / self._plan.service_ms)
            self._endpoints_called.add(attempt.endpoint)
            end_ms = self._now_ms + min(service_ms, attempt.timeout_ms / 2)
            heapq.heappush(
                self._attempt_ends, _AttemptEnd(end_ms, self._last_request_number, attempt.endpoint)
            )

    def _handle(self, event: Event, now_ms: float, durations_ns: list[int]) -> Sequence[Action]:
        """Pass an event to the policy, and record its processing time."""
        start_ns = time.perf_counter_ns()
        actions = self._balancer.handle(event, now_ms)
        durations_ns.append(time.perf_counter_ns() - start_ns)
        return actions

    def row(self, undisturbed_rounds: Sequence[DecisionRound], columns: RoundColumns) -> DecisionRow:
        """Return the row that combines all undisturbed rounds."""
        arrival_durations_ns = [
            duration_ns
            for measured_round in undisturbed_rounds
            for duration_ns in measured_round.arrival_durations_ns
        ]
        end_durations_ns = [
            duration_ns
            for measured_round in undisturbed_rounds
            for duration_ns in measured_round.end_durations_ns
        ]
        return DecisionRow(
            identity=self.identity,
            arrival_us_median=float(np.median(arrival_durations_ns)) / _NS_PER_US,
            arrival_us_mean=float(np.mean(arrival_durations_ns)) / _NS_PER_US,
            p99_arrival_us=float(np.percentile(arrival_durations_ns, 99)) / _NS_PER_US,
            end_us_median=float(np.median(end_durations_ns)) / _NS_PER_US,
            end_us_mean=float(np.mean(end_durations_ns)) / _NS_PER_US,
            p99_end_us=float(np.percentile(end_durations_ns, 99)) / _NS_PER_US,
            requests=len(arrival_durations_ns),
            shed=sum(sum(measured_round.shed) for measured_round in undisturbed_rounds),
            endpoints_called=len(self._endpoints_called),
            rounds=columns,
        )
