"""What taking up a list of a certain length, and a change of one entry, costs a balancer."""

from __future__ import annotations

import asyncio
import gc
import json
import time
import tracemalloc
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import numpy as np

from loadbalancer.configuration import read_configuration, read_endpoint_list
from loadbalancer.events import EndpointListKind, EndpointListUpdate
from loadbalancer.network.upstream.pool import UpstreamPools
from loadbalancer.policy.balancer import LoadBalancer
from testbed import settings
from testbed.balancer.hollow import Hollow
from testbed.discovery.service import Discovery
from testbed.runs.list_size.plan import Keeps, Plan, configuration_text, freeze_collector, ignore_message
from testbed.runs.list_size.rounds import RoundColumns
from testbed.runs.list_size.rows import CellName, ListRow

_BEGIN_MS = 1_000_000.0
_UPDATE_INTERVAL_MS = 1000.0
_US_NS = 1e3
_MS_NS = 1e6
_KIB = 1024


@dataclass(frozen=True, slots=True)
class UpdateSpans:
    """How long each part of one take-up took, in nanoseconds."""

    parse: int
    read: int
    pools: int
    policy: int

    @property
    def total(self) -> int:
        """All parts together."""
        return self.parse + self.read + self.pools + self.policy


@dataclass(frozen=True, slots=True)
class ListRound:
    """What one round measured."""

    lists: list[UpdateSpans] = field(default_factory=list)
    """By whole list."""
    deltas: list[UpdateSpans] = field(default_factory=list)
    """By change of one entry."""


class ListCell:
    """Whole lists and changes of one entry: JSON, `read_endpoint_list`, the pools' part and the policy's."""

    def __init__(self, plan: Plan, entries: int, keeps: Keeps) -> None:
        self._plan = plan
        self.name = CellName(measured="list", entries=entries, keeps=keeps, tier=0)
        self._text = configuration_text(plan, entries, keeps, 0)
        config = read_configuration(self._text, ignore_message)
        loop = asyncio.new_event_loop()
        self._balancer = LoadBalancer(config.settings, config.seed)
        self._upstreams = UpstreamPools(config, loop)
        loop.close()  # taking up a list opens no connection
        self._entries = settings.endpoint_entries(entries, seed=plan.seed)
        self._discovery = Discovery()
        self._now_ms = _BEGIN_MS
        self._changes = 0
        self._discovery.replace_entries(self._entries)
        # The first list makes what later ones find.
        self._take_up(self._discovery.list_response(-1).body)
        self._list_bytes = self._delta_bytes = len(self._discovery.list_response(-1).body)
        freeze_collector()

    def _take_up(self, body: bytes) -> UpdateSpans:
        """Take up a response of discovery as the program does."""
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
        return UpdateSpans(parsed - began, was_read - parsed, in_pools - was_read, in_policy - in_pools)

    def play(self) -> ListRound:
        """Take up the whole lists of one round, then its changes."""
        measured = ListRound()
        for _ in range(self._plan.lists):
            measured.lists.append(self._take_up(self._discovery.list_response(-1).body))
        for _ in range(self._plan.deltas):
            measured.deltas.append(self._take_up(self._change()))
        return measured

    def _change(self) -> bytes:
        """Change the weight of the next entry; discovery's response with the change."""
        version = self._discovery.index
        self._changes += 1
        entry = self._entries[self._changes % len(self._entries)]
        self._discovery.apply_changes([entry | {"weight": 1.0 + self._changes % 7}])
        body = self._discovery.list_response(version).body
        self._delta_bytes = len(body)
        return body

    def row(self, quick_rounds: Sequence[ListRound], columns: RoundColumns) -> ListRow:
        """Make the row of the quick rounds together, and measure the memory."""
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
            list_whole_ms=_median(spans.total for spans in lists) / _MS_NS,
            delta_whole_us=_median(spans.total for spans in deltas) / _US_NS,
            delta_whole_us_99=float(np.percentile([spans.total for spans in deltas], 99)) / _US_NS,
            memory_kib=_memory_bytes(self._text) / _KIB,
            rounds=columns,
        )


def _median(spans_ns: Iterable[int]) -> float:
    return float(np.median(list(spans_ns)))


def _memory_bytes(text: str) -> int:
    """Measure what a balancer holds once its list is in force (its watch has begun, no request has come)."""

    async def start() -> int:
        gc.collect()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        # The configuration gets no name: what of it the balancer does not keep must not count.
        hollow = Hollow(
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
