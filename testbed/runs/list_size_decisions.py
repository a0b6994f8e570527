"""What a decision costs a balancer whose list has a certain length."""

from __future__ import annotations

import heapq
import random
import time
from typing import Any

import numpy as np

from loadbalancer.actions import StartAttempt
from loadbalancer.events import (
    AttemptFinished,
    EndpointListKind,
    EndpointListUpdate,
    Outcome,
    RequestReceived,
)
from loadbalancer.policy.balancer import LoadBalancer
from testbed.runs.list_size_plan import Plan, configuration, freeze_collector
from testbed.runs.list_size_rounds import Spans

_BEGIN_MS = 1_000_000.0
_ATTEMPT = 0
_US = 1e3  # nanoseconds


class DecisionCell:
    """Arrivals and served attempts' ends on a warm module under a steady light load."""

    def __init__(self, plan: Plan, entries: int, keep: str, tier: int) -> None:
        self._plan = plan
        self.name = {"measured": "decision", "entries": entries, "keeps": keep, "tier": tier}
        config = configuration(plan, entries, keep, tier)
        self._classes = config.settings.classes
        self._balancer = LoadBalancer(config.settings, config.seed)
        self._chance, self._now, self._last = random.Random(plan.seed), _BEGIN_MS, 0
        self._ends: list[tuple[float, int, str]] = []
        self._called: set[str] = set()
        members = tuple([e.endpoint for e in config.known_endpoints.endpoints])
        self._balancer.handle(EndpointListUpdate(EndpointListKind.CACHED, members), self._now)
        freeze_collector()
        self._calls(plan.warm_calls)

    def play(self) -> Spans:
        """So many calls; nanoseconds of each arrival and end, and whether it was shed."""
        return self._calls(self._plan.calls)

    def _calls(self, calls: int) -> Spans:
        spans: Spans = {"arrival": [], "end": [], "shed": []}
        for _ in range(calls):
            self._now += self._chance.expovariate(self._plan.calls_per_s / 1000)
            while self._ends and self._ends[0][0] <= self._now:
                at, request, server = heapq.heappop(self._ends)
                ended = AttemptFinished(request, _ATTEMPT, server, Outcome.SUCCEEDED, True)
                began = time.perf_counter_ns()
                self._balancer.handle(ended, at)
                spans["end"].append(time.perf_counter_ns() - began)
            self._last += 1
            cls = self._classes[self._last % len(self._classes)]
            arrived = RequestReceived(self._last, cls.name, cls.deadline_ms)
            began = time.perf_counter_ns()
            actions = self._balancer.handle(arrived, self._now)
            spans["arrival"].append(time.perf_counter_ns() - began)
            sends = [a for a in actions if isinstance(a, StartAttempt)]
            spans["shed"].append(not sends)
            for send in sends:
                takes = self._chance.expovariate(1 / self._plan.service_ms)
                self._called.add(send.endpoint)
                ends = self._now + min(takes, send.timeout_ms / 2)
                heapq.heappush(self._ends, (ends, self._last, send.endpoint))
        return spans

    def row(self, spans: Spans) -> dict[str, Any]:
        """Medians, means and 99ths in microseconds; the servers called include those while it got warm."""
        row: dict[str, Any] = dict(self.name)
        for name in ("arrival", "end"):
            row[f"{name}_us_median"] = float(np.median(spans[name])) / _US
            row[f"{name}_us_mean"] = float(np.mean(spans[name])) / _US
            row[f"{name}_us_99"] = float(np.percentile(spans[name], 99)) / _US
        calls = {"calls": len(spans["arrival"]), "shed": int(sum(spans["shed"]))}
        return row | calls | {"servers_called": len(self._called)}
