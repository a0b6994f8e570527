"""Benchmarks how long a balancer needs to apply snapshots of a given length, and deltas with one entry."""

from __future__ import annotations

import asyncio
import gc
import json
import time
import tracemalloc
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import numpy as np

from loadbalancer.configuration import read_configuration, read_endpoint_list
from loadbalancer.events import EndpointListKind, EndpointListUpdate
from loadbalancer.network.memory_budget import MemoryBudget
from loadbalancer.network.upstream.pool import UpstreamPools
from loadbalancer.policy.balancer import LoadBalancer
from testbed import settings
from testbed.balancer.watch_only import WatchOnlyBalancer
from testbed.discovery.service import Discovery
from testbed.runs.list_size.plan import (
    EndpointUse,
    Plan,
    configuration_text,
    freeze_live_objects,
    ignore_message,
)
from testbed.runs.list_size.rows import BenchmarkIdentity, ListRow

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from testbed.runs.list_size.rounds import RoundColumns

_START_MS = 1_000_000.0
_UPDATE_INTERVAL_MS = 1000.0
_NS_PER_US = 1e3
_NS_PER_MS = 1e6
_KIB = 1024
_BUDGET_BYTES = 1 << 30
"""A memory budget that no list reaches."""


@dataclass(frozen=True, slots=True)
class UpdateTimes:
    """The processing time of each step of one update, in nanoseconds."""

    parse: int
    read: int
    pools: int
    policy: int

    @property
    def total(self) -> int:
        """The sum of all steps."""
        return self.parse + self.read + self.pools + self.policy


@dataclass(frozen=True, slots=True)
class ListRound:
    """The measurements of one round."""

    lists: list[UpdateTimes] = field(default_factory=list)
    """The times for each snapshot."""
    deltas: list[UpdateTimes] = field(default_factory=list)
    """The times for each delta."""


class ListBenchmark:
    """Measures each step of applying a list: parsing JSON, `read_endpoint_list`, connection pools, policy."""

    def __init__(self, plan: Plan, entries: int, endpoint_use: EndpointUse) -> None:
        self._plan = plan
        self.identity = BenchmarkIdentity(measured="list", entries=entries, keeps=endpoint_use, tier=0)
        self._configuration_text = configuration_text(plan, entries, endpoint_use, 0)
        configuration = read_configuration(self._configuration_text, ignore_message)
        loop = asyncio.new_event_loop()
        self._balancer = LoadBalancer(configuration.settings, configuration.seed)
        self._upstream_pools = UpstreamPools(configuration, loop, MemoryBudget(_BUDGET_BYTES))
        loop.close()  # not used later, since applying a list opens no connection
        self._entries = settings.endpoint_entries(entries, seed=plan.seed)
        self._discovery = Discovery()
        self._now_ms = _START_MS
        self._change_count = 0
        self._discovery.replace_entries(self._entries)
        # The first list creates the state that the measured lists update.
        self._apply_update(self._discovery.list_response(-1).body)
        self._list_bytes = self._delta_bytes = len(self._discovery.list_response(-1).body)
        freeze_live_objects()

    def _apply_update(self, body: bytes) -> UpdateTimes:
        """Apply a response of discovery in the same steps as the program, and time each step."""
        self._now_ms += _UPDATE_INTERVAL_MS
        start_ns = time.perf_counter_ns()
        raw = json.loads(body)
        parsed_ns = time.perf_counter_ns()
        update = read_endpoint_list(raw)
        read_ns = time.perf_counter_ns()
        self._upstream_pools.update_endpoints(update)
        pools_updated_ns = time.perf_counter_ns()
        kind = EndpointListKind.SNAPSHOT if update.is_complete else EndpointListKind.DELTA
        endpoints = tuple([entry.endpoint for entry in update.endpoints])
        self._balancer.handle(EndpointListUpdate(kind, endpoints), self._now_ms)
        policy_updated_ns = time.perf_counter_ns()
        return UpdateTimes(
            parsed_ns - start_ns,
            read_ns - parsed_ns,
            pools_updated_ns - read_ns,
            policy_updated_ns - pools_updated_ns,
        )

    def run_round(self) -> ListRound:
        """Apply the snapshots of one round, then its deltas."""
        measured_round = ListRound()
        for _ in range(self._plan.lists):
            measured_round.lists.append(self._apply_update(self._discovery.list_response(-1).body))
        for _ in range(self._plan.deltas):
            measured_round.deltas.append(self._apply_update(self._next_delta()))
        return measured_round

    def _next_delta(self) -> bytes:
        """Change the weight of the next entry, and return the body of discovery's response with the delta."""
        version = self._discovery.version
        self._change_count += 1
        entry = self._entries[self._change_count % len(self._entries)]
        self._discovery.apply_changes([entry | {"weight": 1.0 + self._change_count % 7}])
        body = self._discovery.list_response(version).body
        self._delta_bytes = len(body)
        return body

    def row(self, undisturbed_rounds: Sequence[ListRound], columns: RoundColumns) -> ListRow:
        """Measure the memory of a balancer with this list, and return the row of the benchmark.

        The row combines the memory with the times of all undisturbed rounds.
        """
        lists = [times for measured_round in undisturbed_rounds for times in measured_round.lists]
        deltas = [times for measured_round in undisturbed_rounds for times in measured_round.deltas]
        return ListRow(
            identity=self.identity,
            list_bytes=self._list_bytes,
            delta_bytes=self._delta_bytes,
            list_parse_ms=_median(times.parse for times in lists) / _NS_PER_MS,
            delta_parse_us=_median(times.parse for times in deltas) / _NS_PER_US,
            list_read_ms=_median(times.read for times in lists) / _NS_PER_MS,
            delta_read_us=_median(times.read for times in deltas) / _NS_PER_US,
            list_pools_ms=_median(times.pools for times in lists) / _NS_PER_MS,
            delta_pools_us=_median(times.pools for times in deltas) / _NS_PER_US,
            list_module_ms=_median(times.policy for times in lists) / _NS_PER_MS,
            delta_module_us=_median(times.policy for times in deltas) / _NS_PER_US,
            list_total_ms=_median(times.total for times in lists) / _NS_PER_MS,
            delta_total_us=_median(times.total for times in deltas) / _NS_PER_US,
            delta_total_us_p99=float(np.percentile([times.total for times in deltas], 99)) / _NS_PER_US,
            memory_kib=_measure_memory_bytes(self._configuration_text) / _KIB,
            rounds=columns,
        )


def _median(durations_ns: Iterable[int]) -> float:
    return float(np.median(list(durations_ns)))


def _measure_memory_bytes(text: str) -> int:
    """Measure the memory of a balancer that has applied its list and started its watch, without requests."""

    async def measure() -> int:
        gc.collect()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        # A variable for the configuration would keep the parts in memory that the balancer discards.
        balancer = WatchOnlyBalancer(
            read_configuration(text, ignore_message), asyncio.get_running_loop(), lambda _version, _at_s: None
        )
        balancer.start()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        return after - before

    try:
        return asyncio.run(measure())
    finally:
        tracemalloc.stop()
