"""The processing time of the policy's decisions with an endpoint list of a given length."""

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
from testbed.runs.list_size.plan import Keeps, Plan, configuration, freeze_collector
from testbed.runs.list_size.rows import CellName, DecisionRow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from testbed.runs.list_size.rounds import RoundColumns

_BEGIN_MS = 1_000_000.0
_ATTEMPT = 0
_US_NS = 1e3


@dataclass(frozen=True, slots=True)
class DecisionRound:
    """The measurements of one round."""

    arrivals_ns: list[int] = field(default_factory=list)
    """The policy's processing time of each `RequestReceived`."""
    ends_ns: list[int] = field(default_factory=list)
    """The policy's processing time of each `AttemptFinished`."""
    shed: list[bool] = field(default_factory=list)
    """For each request, whether the policy made no attempt."""


class _End(NamedTuple):
    """The scheduled end of an attempt."""

    at_ms: float
    request: int
    endpoint: str


class DecisionCell:
    """Measures a warmed-up policy under a light load of which all attempts succeed."""

    def __init__(self, plan: Plan, entries: int, keeps: Keeps, tier: int) -> None:
        self._plan = plan
        self.name = CellName(measured="decision", entries=entries, keeps=keeps, tier=tier)
        read = configuration(plan, entries, keeps, tier)
        self._classes = read.settings.classes
        self._balancer = LoadBalancer(read.settings, read.seed)
        self._random = random.Random(plan.seed)
        self._now_ms = _BEGIN_MS
        self._last_request = 0
        self._ends: list[_End] = []
        self._called: set[str] = set()
        endpoints = tuple([e.endpoint for e in read.known_endpoints.endpoints])
        self._balancer.handle(EndpointListUpdate(EndpointListKind.CACHED, endpoints), self._now_ms)
        freeze_collector()
        self._run_requests(plan.warm_calls)

    def run_round(self) -> DecisionRound:
        """Run the requests of one round."""
        return self._run_requests(self._plan.calls)

    def _run_requests(self, calls: int) -> DecisionRound:
        measured = DecisionRound()
        for _ in range(calls):
            self._now_ms += self._random.expovariate(self._plan.calls_per_s / 1000)
            self._finish_attempts(measured)
            self._receive_request(measured)
        return measured

    def _finish_attempts(self, measured: DecisionRound) -> None:
        """Finish the attempts that end before the current time."""
        while self._ends and self._ends[0].at_ms <= self._now_ms:
            end = heapq.heappop(self._ends)
            finished = AttemptFinished(
                end.request, _ATTEMPT, end.endpoint, Outcome.SUCCEEDED, is_request_complete=True
            )
            self._handle(finished, end.at_ms, measured.ends_ns)

    def _receive_request(self, measured: DecisionRound) -> None:
        """Pass the next request to the policy, and schedule the ends of its attempts."""
        self._last_request += 1
        request_class = self._classes[self._last_request % len(self._classes)]
        received = RequestReceived(self._last_request, request_class.name, request_class.deadline_ms)
        actions = self._handle(received, self._now_ms, measured.arrivals_ns)
        attempts = [action for action in actions if isinstance(action, StartAttempt)]
        measured.shed.append(not attempts)
        for attempt in attempts:
            service_ms = self._random.expovariate(1 / self._plan.service_ms)
            self._called.add(attempt.endpoint)
            ends_ms = self._now_ms + min(service_ms, attempt.timeout_ms / 2)
            heapq.heappush(self._ends, _End(ends_ms, self._last_request, attempt.endpoint))

    def _handle(self, event: Event, now_ms: float, spans_ns: list[int]) -> Sequence[Action]:
        """Pass an event to the policy, and record the processing time."""
        began = time.perf_counter_ns()
        actions = self._balancer.handle(event, now_ms)
        spans_ns.append(time.perf_counter_ns() - began)
        return actions

    def row(self, quick_rounds: Sequence[DecisionRound], columns: RoundColumns) -> DecisionRow:
        """Return one row for all quick rounds."""
        arrivals_ns = [span for measured in quick_rounds for span in measured.arrivals_ns]
        ends_ns = [span for measured in quick_rounds for span in measured.ends_ns]
        return DecisionRow(
            cell=self.name,
            arrival_us_median=float(np.median(arrivals_ns)) / _US_NS,
            arrival_us_mean=float(np.mean(arrivals_ns)) / _US_NS,
            p99_arrival_us=float(np.percentile(arrivals_ns, 99)) / _US_NS,
            end_us_median=float(np.median(ends_ns)) / _US_NS,
            end_us_mean=float(np.mean(ends_ns)) / _US_NS,
            p99_end_us=float(np.percentile(ends_ns, 99)) / _US_NS,
            calls=len(arrivals_ns),
            shed=sum(sum(measured.shed) for measured in quick_rounds),
            servers_called=len(self._called),
            rounds=columns,
        )
