"""What a failing server or tier costs in chains of different depths: modules alone, on a virtual clock.

Sizes are depths in tiers. Calls come from outside at random moments, whatever becomes of them, and nobody
outside tries again. Each row is one depth under one trouble; its attempts are those of the calls that came
while the trouble lasted. A run that needs more than `events_most` events is cut short: its row says so, its
attempts are then lower bounds, and no fit uses it.
"""

from __future__ import annotations

import math
import random
import statistics
import time
from dataclasses import replace
from typing import Annotated, Any, Literal

import numpy as np
from pydantic import AliasChoices, BaseModel, ConfigDict, Field
from structlog.typing import FilteringBoundLogger

from loadbalancer.settings import Idempotency, IdempotencyScope, RequestClass
from testbed import experiment
from testbed.chain import Chain
from testbed.chain_request import ClientRequest
from testbed.chain_server import Behaviour
from testbed.chain_settings import ChainSettings
from testbed.results import Findings, Fit, fit_line

BEFORE, WHILE, AFTER = range(3)
WINDOW_MS = 500.0
QUIET_MS = 1_000.0  # a single call comes so long after the last one of the warm-up

Positive = Annotated[float, Field(gt=0)]
NotNegative = Annotated[float, Field(ge=0)]


class Trouble(BaseModel):
    """One trouble: where, how many servers, and what they do meanwhile."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    behaviour: Behaviour
    part: Annotated[float, Field(gt=0, le=1)] = 1.0
    """Of the calls, where servers fail some."""
    tier: Literal["first", "middle", "bottom"] = "bottom"
    servers: Annotated[int, Field(ge=0)] = 0
    """How many of the tier's; 0 for all."""

    def tier_of(self, depth: int) -> int:
        """The tier it strikes, counted from 1."""
        return {"first": 1, "middle": (depth + 1) // 2, "bottom": depth}[self.tier]


def _formerly(name: str, old_name: str) -> Any:
    """A field that experiment files may also give by an earlier name."""
    return Field(validation_alias=AliasChoices(name, old_name))


class Plan(experiment.Plan):
    """How the chains are built, what comes at them and what goes wrong."""

    troubles: Annotated[tuple[Trouble, ...], Field(min_length=1)]
    """Each is played at each depth."""
    servers_a_tier: Annotated[int, Field(ge=1)] = 6
    """Each of them with a balancer of its own, but for the last tier's."""
    fronts: Annotated[int, Field(ge=1)] = 6
    """Balancers that calls from outside come to."""
    calls_per_s: Positive = 100.0
    """The mean rate at which calls come from outside; gaps are exponentially distributed."""
    warm_s: NotNegative = 5.0
    """Before the trouble begins; 0 for trouble from the very first call."""
    trouble_s: Positive = 15.0
    after_s: NotNegative = 0.0
    """After the trouble has ended; with 0 it lasts until the last call is over."""
    single_call: bool = False
    """Only one call comes while the trouble lasts."""
    effect: Idempotency = Idempotency.SAFE
    """Keyed calls are kept apart by all servers together for `idempotency_window_ms`."""
    idempotency_window_ms: Annotated[NotNegative, _formerly("idempotency_window_ms", "repeat_window_ms")] = (
        2_000.0
    )
    latency_objective_ms: Annotated[Positive, _formerly("latency_objective_ms", "aim_ms")] = 1_000.0
    deadline_ms: Positive = 3_000.0
    late_value: Annotated[float, Field(ge=0, le=1), _formerly("late_value", "late_share")] = 0.0
    attempts_cap: Annotated[int, Field(ge=1)] = 4
    may_cancel: bool = True
    may_hedge: Annotated[bool, _formerly("may_hedge", "may_duplicate")] = False
    hop_ms: NotNegative = 0.2
    """A message's way from machine to machine."""
    service_ms: NotNegative = 1.0
    """The mean of a server's own work on a call."""
    steady_service: bool = False
    """All calls take the mean; else exponentially distributed."""
    workers: Annotated[int, Field(ge=0)] = 64
    """Calls a server works on at once; 0 for any number."""
    queue: Annotated[int, Field(ge=0)] = 64
    """Calls that wait at a server; further ones are turned away."""
    events_most: Annotated[int, Field(ge=1)] = 3_000_000
    """For each depth and trouble: the run is cut short after so many."""

    def shape(self, depth: int) -> ChainSettings:
        """The chain of so many tiers."""
        window = self.idempotency_window_ms if self.effect is Idempotency.KEYED else 0.0
        return ChainSettings(
            depth,
            RequestClass(
                "call",
                self.latency_objective_ms,
                self.deadline_ms,
                self.effect,
                IdempotencyScope.ALL,
                window,
                late_value=self.late_value,
            ),
            self.servers_a_tier,
            self.fronts,
            self.hop_ms,
            self.service_ms,
            self.steady_service,
            self.workers,
            self.queue,
            self.attempts_cap,
            self.may_cancel,
            self.may_hedge,
        )


class _Play:
    """One chain under one trouble: its schedule, and what comes of it."""

    def __init__(self, plan: Plan, depth: int, trouble: Trouble) -> None:
        self._plan, self._trouble = plan, trouble
        self.chain = Chain(plan.shape(depth), plan.seed)
        self._gaps = random.Random(f"{plan.seed}:arrivals")
        quiet = QUIET_MS if plan.single_call and plan.warm_s else 0.0
        self.warm_ends = plan.warm_s * 1000
        self.begins = self.warm_ends + quiet
        self.ends = self.begins + plan.trouble_s * 1000
        clock = self.chain.clock
        clock.schedule(self.begins, self._strike, trouble.behaviour)
        if plan.after_s:
            clock.schedule(self.ends, self._strike, Behaviour.SERVES)
        if plan.single_call:
            clock.schedule(self.begins, self.chain.send_request, WHILE)
        self._await_call(0.0)

    def _strike(self, behaviour: Behaviour) -> None:
        trouble, shape = self._trouble, self.chain.settings
        count = trouble.servers or shape.servers_per_tier
        self.chain.set_behaviour(trouble.tier_of(shape.depth), count, behaviour, trouble.part)

    def _await_call(self, now: float) -> None:
        at = now + self._gaps.expovariate(self._plan.calls_per_s / 1000)
        if self._plan.single_call and self.warm_ends <= at < self.ends:
            at = self.ends + at - self.warm_ends
        if at < self.ends + self._plan.after_s * 1000:
            self.chain.clock.schedule(at, self._arrive, at)

    def _arrive(self, at: float) -> None:
        self.chain.send_request(BEFORE if at < self.begins else WHILE if at < self.ends else AFTER)
        self._await_call(at)

    def row(self) -> dict[str, Any]:
        """Play it and tell what came of it."""
        plan, chain = self._plan, self.chain
        began = time.perf_counter()
        whole = chain.clock.run(plan.events_most)
        calls = chain.client_requests if whole else [c for c in chain.client_requests if c.status]
        struck = [c for c in chain.client_requests if c.phase == WHILE]
        admitted = sum(c.was_attempted for c in struck)
        counts = chain.statistics.attempts_by_phase.get(WHILE, [0] * chain.settings.depth)
        phases = [[c for c in calls if c.phase == phase] for phase in (BEFORE, WHILE, AFTER)]
        windows = self._windows(phases[AFTER]) if plan.after_s else []
        # Calls still under way as the trouble begins don't tell how it was before.
        former = _share([c for c in phases[BEFORE] if c.received_at_ms < self.warm_ends - WINDOW_MS])
        plain_ms = 2 * plan.hop_ms + plan.service_ms
        added = [
            (c.finished_at_ms - c.received_at_ms) / chain.settings.depth - plain_ms
            for c in calls
            if c.status == 200
        ]
        parts = [c.deadline_fraction for c in chain.client_requests if c.last_tier_attempts]
        return {
            "depth": chain.settings.depth,
            "trouble": self._trouble.name,
            "calls": len(chain.client_requests),
            "served": _share(calls),
            "served_before": former,
            "served_while": _share(phases[WHILE]),
            "served_after": _share(phases[AFTER]),
            "back_after_s": _back_after(windows, former),
            "shed_while": _part(
                phases[WHILE], [c.status == 503 and not c.was_attempted for c in phases[WHILE]]
            ),
            "bottom_attempts_a_call": counts[-1] / len(struck) if struck else None,
            "bottom_attempts_an_admitted": counts[-1] / admitted if admitted else None,
            "bottom_attempts_most": max((c.last_tier_attempts for c in struck), default=0),
            "attempts_a_call_by_tier": [round(n / len(struck), 4) if struck else None for n in counts],
            "turned_away_full": sum(s.rejected for tier in chain.tiers for s in tier),
            "added_a_hop_p50_ms": float(np.percentile(added, 50)) if added else None,
            "added_a_hop_p99_ms": float(np.percentile(added, 99)) if added else None,
            "deadline_part_at_bottom": statistics.median(parts) if parts else None,
            "served_after_by_window": windows,
            "cut_short": not whole,
            "virtual_s": chain.clock.now / 1000,
            "events": chain.clock.events_run,
            "decisions": chain.statistics.decisions,
            "machine_us_a_decision": chain.statistics.decision_s / max(chain.statistics.decisions, 1) * 1e6,
            "machine_s": time.perf_counter() - began,
        }

    def _windows(self, calls: list[ClientRequest]) -> list[float | None]:
        """The share served of the calls that came in each window after the trouble's end."""
        count = math.ceil(self._plan.after_s * 1000 / WINDOW_MS)
        windows: list[list[ClientRequest]] = [[] for _ in range(count)]
        for call in calls:
            windows[min(int((call.received_at_ms - self.ends) / WINDOW_MS), count - 1)].append(call)
        return [_share(window) for window in windows]


def _part(of: list[ClientRequest], those: list[bool]) -> float | None:
    return sum(those) / len(of) if of else None


def _share(calls: list[ClientRequest]) -> float | None:
    return _part(calls, [c.status == 200 for c in calls])


def _back_after(windows: list[float | None], former: float | None) -> float | None:
    """Seconds until the end of the first window that serves as before; None if none does."""
    for i, share in enumerate(windows):
        if share is not None and former is not None and share >= former:
            return (i + 1) * WINDOW_MS / 1000
    return None


def _fits(rows: list[dict[str, Any]], trouble: str, column: str) -> list[Fit]:
    """Growth over depth: as a line, an exponential (ln n over depth) and a power (ln n over ln depth)."""
    points = [
        {"n": row[column], "depth": row["depth"], "ln depth": math.log(row["depth"])}
        for row in rows
        if row["trouble"] == trouble and not row["cut_short"] and row[column]
    ]
    if len({point["depth"] for point in points}) < 2:
        return []
    for point in points:
        point["ln n"] = math.log(point["n"])
    name = f"{trouble}: {column}"
    return [
        replace(fit_line(points, "n", "depth"), y=name),
        replace(fit_line(points, "ln n", "depth"), y=f"ln {name}"),
        replace(fit_line(points, "ln n", "ln depth"), y=f"ln {name}"),
    ]


def play(plan: Plan, log: FilteringBoundLogger) -> Findings:
    """Each trouble at each depth."""
    findings = Findings()
    for trouble in plan.troubles:
        for depth in plan.sizes:
            row = _Play(plan, depth, trouble).row()
            findings.rows.append(row)
            log.info(
                "played",
                depth=depth,
                trouble=trouble.name,
                served=row["served"],
                bottom_attempts_a_call=row["bottom_attempts_a_call"],
                events=row["events"],
                cut_short=row["cut_short"],
                machine_s=round(row["machine_s"], 2),
            )
        for column in ("bottom_attempts_a_call", "bottom_attempts_an_admitted"):
            findings.fits += _fits(findings.rows, trouble.name, column)
    return findings
