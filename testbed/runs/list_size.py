"""What a list's length costs a balancer: decisions, changes, whole lists, memory and bytes.

In-process, with the real module and the real pools' books on a virtual clock. Each size is played with as
many balancers as servers (each then keeps to a part of them) and as the only balancer (it keeps to all).

A core's speed varies with what its neighbours do. So every cell is played in several rounds, each beside a
fixed piece of work, and the round in which that took least is kept; where it still differs much between
cells, the run says so.
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
from functools import partial
from itertools import pairwise
from typing import Annotated, Any

import numpy as np
from pydantic import Field
from structlog.typing import FilteringBoundLogger

from basaltspindle import interface as face
from basaltspindle.net.config import Config, read_config, read_list
from basaltspindle.net.upstreams import Upstreams
from basaltspindle.policy import Balancer
from testbed import experiment, settings
from testbed.discovery import Discovery
from testbed.hollow import Hollow
from testbed.meter import CoresWatch
from testbed.results import Findings, fit_line

KEEPS = {"part": "as many balancers as servers", "all": "one balancer"}
REFERENCE_TIMES = 50
UNEVEN = 1.5  # times: slopes over sizes are steeper than what a core's speed then adds
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
    """Calls that are measured."""
    deltas: Annotated[int, Field(gt=0)]
    """Changes of one entry that are measured."""
    lists: Annotated[int, Field(gt=0)]
    """Whole lists that are measured."""
    rounds: Annotated[int, Field(gt=0)]
    """How often everything is measured; of each cell the round with the quickest core is kept."""


def play(plan: Plan, log: FilteringBoundLogger) -> Findings:
    """Measure every size, kept in part and in all, at every tier."""
    findings, watch = Findings(), CoresWatch()
    kept: dict[tuple[Any, ...], dict[str, Any]] = {}
    for _ in range(plan.rounds):
        for entries in plan.sizes:
            for keep in KEEPS:
                decisions = [partial(_decisions, plan, entries, keep, tier) for tier in plan.tiers]
                for measure in (*decisions, partial(_lists, plan, entries, keep)):
                    _keep_quickest(kept, _beside_reference(measure))
                    log.info("measured", entries=entries, keeps=keep)
    findings.rows = list(kept.values())
    findings.doubts += watch.doubts("whole run") + _uneven(findings.rows)
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


def _beside_reference(measure: Callable[[], dict[str, Any]]) -> dict[str, Any]:
    """A cell's row, with the longer of the reference's times before and after it."""
    before = _reference_us()
    row = measure()
    return row | {"reference_us": max(before, _reference_us())}


def _keep_quickest(kept: dict[tuple[Any, ...], dict[str, Any]], row: dict[str, Any]) -> None:
    """Of the rows of one cell, the one beside which the reference took least."""
    cell = row["measured"], row["entries"], row["keeps"], row["tier"]
    if cell not in kept or row["reference_us"] < kept[cell]["reference_us"]:
        kept[cell] = row


def _uneven(rows: list[dict[str, Any]]) -> list[str]:
    """A doubt where the reference differs much between the rows: so may what is beside it."""
    spans = [row["reference_us"] for row in rows]
    spread = max(spans) / min(spans)
    return [f"a fixed piece of work took up to {spread:.2f} times as long"] if spread >= UNEVEN else []


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


def _config(plan: Plan, entries: int, keep: str, tier: int) -> Config:
    return read_config(_config_text(plan, entries, keep, tier), _ignore)


def _config_text(plan: Plan, entries: int, keep: str, tier: int) -> str:
    fleet = settings.fleet(entries, seed=plan.seed)
    site = settings.site(balancers=entries if keep == "part" else 1, tier=tier, zone=fleet[0]["zone"])
    return settings.config("n0", "127.0.0.1:0", "127.0.0.1:1", fleet, site, seed=plan.seed, index=1)


def _ignore(text: str) -> None:
    """Settings are made here: what the program says of them is of no use."""


def _frozen() -> None:
    """As the program does after its start: what is there need not be looked at by the collector again."""
    gc.unfreeze()
    gc.collect()
    gc.freeze()


# ---- decisions ------------------------------------------------------------------------------------


def _decisions(plan: Plan, entries: int, keep: str, tier: int) -> dict[str, Any]:
    """One row: microseconds of an arrival and of a served attempt's end, on a warm module."""
    config = _config(plan, entries, keep, tier)
    balancer = Balancer(config.settings, config.seed)
    members = tuple([e.member for e in config.known.endpoints])
    balancer.handle(face.ListUpdate(face.ListKind.CACHED, members), _BEGIN_MS)
    _frozen()
    chance, classes = random.Random(plan.seed), config.settings.classes
    ends: list[tuple[float, int, str]] = []
    arrival_ns: list[int] = []
    end_ns: list[int] = []
    called: set[str] = set()
    now, shed = _BEGIN_MS, 0
    for number in range(plan.warm_calls + plan.calls):
        if number == plan.warm_calls:
            arrival_ns.clear()
            end_ns.clear()
            shed = 0
        now += chance.expovariate(plan.calls_per_s / 1000)
        while ends and ends[0][0] <= now:
            at, request, server = heapq.heappop(ends)
            ended = face.AttemptEnded(request, _ATTEMPT, server, face.Outcome.SERVED, True)
            began = time.perf_counter_ns()
            balancer.handle(ended, at)
            end_ns.append(time.perf_counter_ns() - began)
        cls = classes[number % len(classes)]
        arrived = face.RequestArrived(number, cls.name, cls.deadline_ms)
        began = time.perf_counter_ns()
        actions = balancer.handle(arrived, now)
        arrival_ns.append(time.perf_counter_ns() - began)
        sends = [a for a in actions if isinstance(a, face.Send)]
        shed += not sends
        for send in sends:
            takes = chance.expovariate(1 / plan.service_ms)
            called.add(send.server)
            heapq.heappush(ends, (now + min(takes, send.timeout_ms / 2), number, send.server))
    row: dict[str, Any] = {"measured": "decision", "entries": entries, "keeps": keep, "tier": tier}
    for name, spans in (("arrival", arrival_ns), ("end", end_ns)):
        row[f"{name}_us_median"] = float(np.median(spans)) / _US
        row[f"{name}_us_mean"] = float(np.mean(spans)) / _US
        row[f"{name}_us_99"] = float(np.percentile(spans, 99)) / _US
    return row | {"calls": len(arrival_ns), "shed": shed, "servers_called": len(called)}


# ---- lists ----------------------------------------------------------------------------------------


def _lists(plan: Plan, entries: int, keep: str) -> dict[str, Any]:
    """One row: a change of one entry and a whole list by their parts (medians), bytes and memory."""
    config = _config(plan, entries, keep, 0)
    loop = asyncio.new_event_loop()
    balancer, upstreams = Balancer(config.settings, config.seed), Upstreams(config, loop)
    discovery, now = Discovery(), _BEGIN_MS
    fleet = settings.fleet(entries, seed=plan.seed)
    discovery.set(fleet)
    _frozen()
    row: dict[str, Any] = {"measured": "list", "entries": entries, "keeps": keep, "tier": 0}

    def take_up(body: bytes) -> list[int]:
        """The nanoseconds of JSON, of `read_list`, of the pools' books and of the module."""
        marks = [time.perf_counter_ns()]
        raw = json.loads(body)
        marks.append(time.perf_counter_ns())
        news = read_list(raw)
        marks.append(time.perf_counter_ns())
        upstreams.listed(news)
        marks.append(time.perf_counter_ns())
        kind = face.ListKind.FULL if news.whole else face.ListKind.DELTA
        balancer.handle(face.ListUpdate(kind, tuple([e.member for e in news.endpoints])), now)
        marks.append(time.perf_counter_ns())
        return [after - before for before, after in pairwise(marks)]

    body, _, _ = discovery.body(-1)
    row["list_bytes"] = len(body)
    whole = [take_up(body) for _ in range(plan.lists + 1)][1:]  # the first makes what later ones find
    for name, spans in zip(("parse", "read", "pools", "module"), zip(*whole, strict=True), strict=True):
        row[f"list_{name}_ms"] = float(np.median(spans)) / _MS
    row["list_whole_ms"] = float(np.median([sum(spans) for spans in whole])) / _MS
    deltas = []
    for i in range(plan.deltas):
        index = discovery.index
        old = fleet[i % entries]
        discovery.change([old | {"weight": 3.0 + i}])
        body, _, _ = discovery.body(index)
        now += 1000.0
        deltas.append(take_up(body))
    row["delta_bytes"] = len(body)
    for name, spans in zip(("parse", "read", "pools", "module"), zip(*deltas, strict=True), strict=True):
        row[f"delta_{name}_us"] = float(np.median(spans)) / _US
    row["delta_whole_us"] = float(np.median([sum(spans) for spans in deltas])) / _US
    row["delta_whole_us_99"] = float(np.percentile([sum(spans) for spans in deltas], 99)) / _US
    loop.close()
    row["memory_kib"] = _memory(_config_text(plan, entries, keep, 0)) / 1024
    return row


def _memory(text: str) -> int:
    """Bytes that a balancer holds once its list is in force (its watch has begun, no request has come)."""

    async def start() -> int:
        gc.collect()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        hollow = Hollow(read_config(text, _ignore), asyncio.get_running_loop(), lambda index, at: None)
        hollow.start()
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
        return held - before

    try:
        return asyncio.run(start())
    finally:
        tracemalloc.stop()
