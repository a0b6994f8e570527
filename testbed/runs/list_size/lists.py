"""The cost of applying a snapshot of a given length, and a delta with one entry."""

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
from loadbalancer.network.upstream.pool import UpstreamPools
from loadbalancer.policy.balancer import LoadBalancer
from testbed import settings
from testbed.balancer.hollow import HollowBalancer
from testbed.discovery.service import Discovery
from testbed.runs.list_size.plan import Keeps, Plan, configuration_text, freeze_collector, ignore_message
from testbed.runs.list_size.rows import CellName, ListRow

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from testbed.runs.list_size.rounds import RoundColumns

_BEGIN_MS = 1_000_000.0
_UPDATE_INTERVAL_MS = 1000.0
_US_NS = 1e3
_MS_NS = 1e6
_KIB = 1024


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
    """One entry for each snapshot."""
    deltas: list[UpdateTimes] = field(default_factory=list)
    """One entry for each delta."""


class ListCell:
    """Measures the steps of snapshots and deltas: JSON, `read_endpoint_list`, connection pools, policy."""

    def __init__(self, plan: Plan, entries: int, keeps: Keeps) -> None:
        self._plan = plan
        self.name = CellName(measured="list", entries=entries, keeps=keeps, tier=0)
        self._text = configuration_text(plan, entries, keeps, 0)
        configuration = read_configuration(self._text, ignore_message)
        loop = asyncio.new_event_loop()
        self._balancer = LoadBalancer(configuration.settings, configuration.seed)
        self._upstreams = UpstreamPools(configuration, loop)
        loop.close()  # applying a list opens no connection
        self._entries = settings.endpoint_entries(entries, seed=plan.seed)
        self._discovery = Discovery()
        self._now_ms = _BEGIN_MS
        self._changes = 0
        self._discovery.replace_entries(self._entries)
        # The first list creates the state that later ones update.
        self._apply_update(self._discovery.list_response(-1).body)
        self._list_bytes = self._delta_bytes = len(self._discovery.list_response(-1).body)
        freeze_collector()

    def _apply_update(self, body: bytes) -> UpdateTimes:
        """Apply a response of discovery with the steps of the program, and return their times."""
        self._now_ms += _UPDATE_INTERVAL_MS
        began = time.perf_counter_ns()
        raw = json.loads(body)
        parsed = time.perf_counter_ns()
        update = read_endpoint_list(raw)
        was_read = time.perf_counter_ns()
        self._upstreams.update_endpoints(update)
        in_pools = time.perf_counter_ns()
        kind = EndpointListKind.SNAPSHOT if update.is_complete else EndpointListKind.DELTA
        endpoints = tuple([e.endpoint for e in update.endpoints])
        self._balancer.handle(EndpointListUpdate(kind, endpoints), self._now_ms)
        in_policy = time.perf_counter_ns()
        return UpdateTimes(parsed - began, was_read - parsed, in_pools - was_read, in_policy - in_pools)

    def run_round(self) -> ListRound:
        """Apply the snapshots of one round, then its deltas."""
        measured = ListRound()
        for _ in range(self._plan.lists):
            measured.lists.append(self._apply_update(self._discovery.list_response(-1).body))
        for _ in range(self._plan.deltas):
            measured.deltas.append(self._apply_update(self._change()))
        return measured

    def _change(self) -> bytes:
        """Change the weight of the next entry, and return discovery's response with the delta."""
        version = self._discovery.index
        self._changes += 1
        entry = self._entries[self._changes % len(self._entries)]
        self._discovery.apply_changes([entry | {"weight": 1.0 + self._changes % 7}])
        body = self._discovery.list_response(version).body
        self._delta_bytes = len(body)
        return body

    def row(self, quick_rounds: Sequence[ListRound], columns: RoundColumns) -> ListRow:
        """Return one row for all quick rounds, with the memory measured now."""
        lists = [spans for measured in quick_rounds for spans in measured.lists]
        deltas = [spans for measured in quick_rounds for spans in measured.deltas]
        return ListRow(
            cell=self.name,
            list_bytes=self._list_bytes,
            delta_bytes=self._delta_bytes,
            list_parse_ms=_median(spans.parse for spans in lists) / _MS_NS,
            delta_parse_us=_median(spans.parse for spans in deltas) / _US_NS,
            list_read_ms=_median(spans.read for spans in lists) / _MS_NS,
            delta_read_us=_median(spans.read for spans in deltas) / _US_NS,
            list_pools_ms=_median(spans.pools for spans in lists) / _MS_NS,
            delta_pools_us=_median(spans.pools for spans in deltas) / _US_NS,
            list_module_ms=_median(spans.policy for spans in lists) / _MS_NS,
            delta_module_us=_median(spans.policy for spans in deltas) / _US_NS,
            list_total_ms=_median(spans.total for spans in lists) / _MS_NS,
            delta_total_us=_median(spans.total for spans in deltas) / _US_NS,
            delta_total_us_p99=float(np.percentile([spans.total for spans in deltas], 99)) / _US_NS,
            memory_kib=_memory_bytes(self._text) / _KIB,
            rounds=columns,
        )


def _median(spans_ns: Iterable[int]) -> float:
    return float(np.median(list(spans_ns)))


def _memory_bytes(text: str) -> int:
    """Measure the memory of a balancer that has applied its list and started its watch, without requests."""

    async def start() -> int:
        gc.collect()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        # No variable refers to the configuration: parts that the balancer drops must not be counted.
        hollow = HollowBalancer(
            read_configuration(text, ignore_message), asyncio.get_running_loop(), lambda _index, _at: None
        )
        hollow.start()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        return after - before

    try:
        return asyncio.run(start())
    finally:
        tracemalloc.stop()
