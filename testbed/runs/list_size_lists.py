"""What taking up a list of a certain length, and a change of one entry, costs a balancer."""

from __future__ import annotations

import asyncio
import gc
import json
import time
import tracemalloc
from itertools import pairwise
from typing import Any

import numpy as np

from loadbalancer.configuration import read_configuration, read_endpoint_list
from loadbalancer.events import EndpointListKind, EndpointListUpdate
from loadbalancer.network.upstream_pool import UpstreamPools
from loadbalancer.policy.balancer import LoadBalancer
from testbed import settings
from testbed.discovery import Discovery
from testbed.hollow import Hollow
from testbed.runs.list_size_plan import Plan, configuration_text, freeze_collector, ignore_message
from testbed.runs.list_size_rounds import Spans

_BEGIN_MS = 1_000_000.0
_US, _MS = 1e3, 1e6  # nanoseconds
_PARTS = ("parse", "read", "pools", "module")


class ListCell:
    """Whole lists and changes of one entry: JSON, `read_endpoint_list`, the pools' books and the module."""

    def __init__(self, plan: Plan, entries: int, keep: str) -> None:
        self._plan = plan
        self.name = {"measured": "list", "entries": entries, "keeps": keep, "tier": 0}
        self._text = configuration_text(plan, entries, keep, 0)
        config = read_configuration(self._text, ignore_message)
        loop = asyncio.new_event_loop()
        self._balancer, self._upstreams = (
            LoadBalancer(config.settings, config.seed),
            UpstreamPools(config, loop),
        )
        loop.close()  # books need none
        self._fleet = settings.fleet(entries, seed=plan.seed)
        self._discovery, self._now, self._turn = Discovery(), _BEGIN_MS, 0
        self._discovery.set(self._fleet)
        self._take_up(self._discovery.body(-1)[0])  # the first list makes what later ones find
        self._list_bytes = self._delta_bytes = len(self._discovery.body(-1)[0])
        freeze_collector()

    def _take_up(self, body: bytes) -> list[int]:
        """The nanoseconds of each part."""
        self._now += 1000.0
        marks = [time.perf_counter_ns()]
        raw = json.loads(body)
        marks.append(time.perf_counter_ns())
        news = read_endpoint_list(raw)
        marks.append(time.perf_counter_ns())
        self._upstreams.update_endpoints(news)
        marks.append(time.perf_counter_ns())
        kind = EndpointListKind.SNAPSHOT if news.is_complete else EndpointListKind.DELTA
        members = tuple([e.endpoint for e in news.endpoints])
        self._balancer.handle(EndpointListUpdate(kind, members), self._now)
        marks.append(time.perf_counter_ns())
        return [after - before for before, after in pairwise(marks)]

    def play(self) -> Spans:
        """So many whole lists, then so many changes; nanoseconds by part and in all."""
        spans: Spans = {f"{what}_{part}": [] for what in ("list", "delta") for part in (*_PARTS, "whole")}
        for _ in range(self._plan.lists):
            self._note(spans, "list", self._discovery.body(-1)[0])
        for _ in range(self._plan.deltas):
            index, self._turn = self._discovery.index, self._turn + 1
            old = self._fleet[self._turn % len(self._fleet)]
            self._discovery.change([old | {"weight": 1.0 + self._turn % 7}])
            body = self._discovery.body(index)[0]
            self._delta_bytes = len(body)
            self._note(spans, "delta", body)
        return spans

    def _note(self, spans: Spans, what: str, body: bytes) -> None:
        took = self._take_up(body)
        for part, span in zip((*_PARTS, "whole"), (*took, sum(took)), strict=True):
            spans[f"{what}_{part}"].append(span)

    def row(self, spans: Spans) -> dict[str, Any]:
        """Medians, in milliseconds of a whole list and in microseconds of a change; memory in KiB."""
        row: dict[str, Any] = self.name | {"list_bytes": self._list_bytes, "delta_bytes": self._delta_bytes}
        for part in (*_PARTS, "whole"):
            row[f"list_{part}_ms"] = float(np.median(spans[f"list_{part}"])) / _MS
            row[f"delta_{part}_us"] = float(np.median(spans[f"delta_{part}"])) / _US
        row["delta_whole_us_99"] = float(np.percentile(spans["delta_whole"], 99)) / _US
        return row | {"memory_kib": _memory(self._text) / 1024}


def _memory(text: str) -> int:
    """Bytes that a balancer holds once its list is in force (its watch has begun, no request has come)."""

    async def start() -> int:
        gc.collect()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        hollow = Hollow(
            read_configuration(text, ignore_message), asyncio.get_running_loop(), lambda index, at: None
        )
        hollow.start()
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
        return held - before

    try:
        return asyncio.run(start())
    finally:
        tracemalloc.stop()
