"""What a list's length costs a balancer: decisions, changes, whole lists, memory and bytes.

In-process, with the real module and the real pools' books on a virtual clock. Each size is played with as
many balancers as servers (each then keeps to a part of them) and as the only balancer (it keeps to all).

A core's speed varies with its neighbours: a busy sibling nearly halves it. So every cell is played in short
rounds, each between two of a fixed piece of work, the reference; only rounds beside a quick reference count.
"""

from __future__ import annotations

import asyncio
import gc
import heapq
import json
import math
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise
from typing import Annotated, Any, Protocol

import numpy as np
from pydantic import Field
from structlog.typing import FilteringBoundLogger

from loadbalancer.actions import StartAttempt
from loadbalancer.configuration import Configuration, read_configuration, read_endpoint_list
from loadbalancer.events import (
    AttemptFinished,
    EndpointListKind,
    EndpointListUpdate,
    Outcome,
    RequestReceived,
)
from loadbalancer.network.upstream_pool import UpstreamPools
from loadbalancer.policy.balancer import LoadBalancer
from testbed import experiment, settings
from testbed.discovery import Discovery
from testbed.hollow import Hollow
from testbed.meter import CoresWatch
from testbed.results import Findings, fit_line

KEEPS = {"part": "as many balancers as servers", "all": "one balancer"}
REFERENCE_TIMES = 20
REFERENCES = 100  # at the start, to know how quick a core is that is left alone
QUICK = 1.25  # times the least reference: a busy sibling makes it nearly twice
_BEGIN_MS = 1_000_000.0
_ATTEMPT = 0
_US, _MS = 1e3, 1e6  # nanoseconds
_CURVED = ("arrival_us_mean", "arrival_us_99", "end_us_mean", "delta_module_us", "list_module_ms")


class Plan(experiment.Plan):
    """Sizes count the entries of the list."""

    tiers: tuple[int, ...] = (0, 1)
    """The tiers sent to; the first one sheds load."""
    calls_per_s: Annotated[float, Field(gt=0)]
    """Calls that a balancer gets, on its virtual clock."""
    service_ms: Annotated[float, Field(gt=0)]
    """Mean time of a call at its server (exponential)."""
    warm_calls: Annotated[int, Field(ge=0)]
    """Calls before those that are measured."""
    calls: Annotated[int, Field(gt=0)]
    """Calls in a round."""
    deltas: Annotated[int, Field(gt=0)]
    """Changes of one entry in a round."""
    lists: Annotated[int, Field(gt=0)]
    """Whole lists in a round."""
    rounds: Annotated[int, Field(gt=0)]
    """Rounds of each cell that have to be quick."""
    rounds_most: Annotated[int, Field(gt=0)]
    """Rounds of each cell that are played at the most to get them."""


Spans = dict[str, list[float]]
"""Nanoseconds by what took them, and other figures of a round by name."""


class Cell(Protocol):
    """One size, kept in part or in all, of which rounds are played; `name` holds the columns that name it."""

    name: dict[str, Any]

    def play(self) -> Spans:
        """One round."""

    def row(self, spans: Spans) -> dict[str, Any]:
        """The row that the rounds together make."""


def play(plan: Plan, log: FilteringBoundLogger) -> Findings:
    """Measure every size, kept in part and in all, at every tier."""
    findings, watch = Findings(), CoresWatch()
    rounds = Rounds(plan.rounds, plan.rounds_most, _reference_us)
    for entries in plan.sizes:
        for keep in KEEPS:
            for tier in plan.tiers:
                rounds.play(_Decisions(plan, entries, keep, tier))
            rounds.play(_Lists(plan, entries, keep))
            log.info("measured", entries=entries, keeps=keep)
    findings.rows, uneven = rounds.rows()
    findings.doubts += watch.doubts("whole run") + uneven
    if uneven:
        return findings
    _add_growth(findings.rows)
    for keep in KEEPS:
        for tier in plan.tiers:
            cell = _cell(findings, measured="decision", keeps=keep, tier=tier)
            for y in ("arrival_us_median", "arrival_us_mean", "arrival_us_99", "end_us_mean"):
                findings.fits.append(replace(fit_line(cell, y, "entries"), y=f"{y} ({keep}, tier {tier})"))
        cell = _cell(findings, measured="list", keeps=keep)
        for y in cell[0]:
            if y.startswith(("delta_", "list_", "memory_")) and not y.endswith("_growth"):
                findings.fits.append(replace(fit_line(cell, y, "entries"), y=f"{y} ({keep})"))
    return findings


def _reference_us() -> float:
    """The median time of a fixed piece of work, in microseconds."""
    spans = []
    for _ in range(REFERENCE_TIMES):
        began = time.perf_counter_ns()
        sum([math.exp(-i / 1000) for i in range(1000)])
        spans.append(time.perf_counter_ns() - began)
    return float(np.median(spans)) / _US


class Rounds:
    """Plays cells in rounds, and counts those beside a quick reference; `reference` gives microseconds."""

    def __init__(self, enough: int, most: int, reference: Callable[[], float]) -> None:
        self._enough, self._most, self._reference = enough, most, reference
        self._played: list[tuple[Cell, list[tuple[float, Spans]]]] = []
        self._least = min([reference() for _ in range(REFERENCES)])

    def _is_quick(self, reference_us: float) -> bool:
        return reference_us <= QUICK * self._least

    def play(self, cell: Cell) -> None:
        """Play rounds until enough were quick, as far as is known by now, or the most were played."""
        played: list[tuple[float, Spans]] = []
        before = self._reference()
        while len(played) < self._most and sum(self._is_quick(r) for r, _ in played) < self._enough:
            spans = cell.play()
            after = self._reference()
            self._least = min(self._least, after)
            played.append((max(before, after), spans))
            before = after
        self._played.append((cell, played))

    def rows(self) -> tuple[list[dict[str, Any]], list[str]]:
        """The rows of the quick rounds, and a doubt for each cell that has none."""
        rows, doubts = [], []
        for cell, played in self._played:
            quick = [(reference, spans) for reference, spans in played if self._is_quick(reference)]
            if not quick:
                doubts.append(f"{cell.name}: none of {len(played)} rounds was quick")
                continue
            together: Spans = {name: [] for name in quick[0][1]}
            for _, spans in quick:
                for name, values in spans.items():
                    together[name] += values
            row = cell.row(together)
            longest = max(reference for reference, _ in quick)
            rows.append(row | {"rounds": len(quick), "rounds_played": len(played), "reference_us": longest})
        return rows, doubts


def _cell(findings: Findings, **where: Any) -> list[dict[str, Any]]:
    """The rows that agree in these columns."""
    return [row for row in findings.rows if where.items() <= row.items()]


def _add_growth(rows: list[dict[str, Any]]) -> None:
    """Beside a cost, the power of the length with which it grew since the size before: 0 flat, 1 straight."""
    before: dict[tuple[Any, ...], dict[str, Any]] = {}
    for row in rows:
        cell = row["measured"], row["keeps"], row["tier"]
        if (last := before.get(cell)) is not None:
            longer = math.log(row["entries"] / last["entries"])
            for name in _CURVED:
                if name in row:
                    row[f"{name}_growth"] = math.log(row[name] / last[name]) / longer
        before[cell] = row


def _config(plan: Plan, entries: int, keep: str, tier: int) -> Configuration:
    return read_configuration(_config_text(plan, entries, keep, tier), _ignore)


def _config_text(plan: Plan, entries: int, keep: str, tier: int) -> str:
    fleet = settings.endpoint_entries(entries, seed=plan.seed)
    site = settings.balancer_settings(
        balancers=entries if keep == "part" else 1, tier=tier, zone=fleet[0]["zone"]
    )
    return settings.configuration_text(
        "n0", "127.0.0.1:0", "127.0.0.1:1", fleet, site, seed=plan.seed, index=1
    )


def _ignore(text: str) -> None:
    """Settings are made here: what the program says of them is of no use."""


def _frozen() -> None:
    """As the program does after its start: what is there need not be looked at by the collector again."""
    gc.unfreeze()
    gc.collect()
    gc.freeze()


# ---- decisions ------------------------------------------------------------------------------------


class _Decisions:
    """Arrivals and served attempts' ends on a warm module under a steady light load."""

    def __init__(self, plan: Plan, entries: int, keep: str, tier: int) -> None:
        self._plan = plan
        self.name = {"measured": "decision", "entries": entries, "keeps": keep, "tier": tier}
        config = _config(plan, entries, keep, tier)
        self._classes = config.settings.classes
        self._balancer = LoadBalancer(config.settings, config.seed)
        self._chance, self._now, self._last = random.Random(plan.seed), _BEGIN_MS, 0
        self._ends: list[tuple[float, int, str]] = []
        self._called: set[str] = set()
        members = tuple([e.endpoint for e in config.known_endpoints.endpoints])
        self._balancer.handle(EndpointListUpdate(EndpointListKind.CACHED, members), self._now)
        _frozen()
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


# ---- lists ----------------------------------------------------------------------------------------

_PARTS = ("parse", "read", "pools", "module")


class _Lists:
    """Whole lists and changes of one entry: JSON, `read_endpoint_list`, the pools' books and the module."""

    def __init__(self, plan: Plan, entries: int, keep: str) -> None:
        self._plan = plan
        self.name = {"measured": "list", "entries": entries, "keeps": keep, "tier": 0}
        self._text = _config_text(plan, entries, keep, 0)
        config = read_configuration(self._text, _ignore)
        loop = asyncio.new_event_loop()
        self._balancer, self._upstreams = (
            LoadBalancer(config.settings, config.seed),
            UpstreamPools(config, loop),
        )
        loop.close()  # books need none
        self._fleet = settings.endpoint_entries(entries, seed=plan.seed)
        self._discovery, self._now, self._turn = Discovery(), _BEGIN_MS, 0
        self._discovery.replace_entries(self._fleet)
        self._take_up(self._discovery.list_response(-1).body)  # the first list makes what later ones find
        self._list_bytes = self._delta_bytes = len(self._discovery.list_response(-1).body)
        _frozen()

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
            self._note(spans, "list", self._discovery.list_response(-1).body)
        for _ in range(self._plan.deltas):
            index, self._turn = self._discovery.index, self._turn + 1
            old = self._fleet[self._turn % len(self._fleet)]
            self._discovery.apply_changes([old | {"weight": 1.0 + self._turn % 7}])
            body = self._discovery.list_response(index).body
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
        hollow = Hollow(read_configuration(text, _ignore), asyncio.get_running_loop(), lambda index, at: None)
        hollow.start()
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
        return held - before

    try:
        return asyncio.run(start())
    finally:
        tracemalloc.stop()
