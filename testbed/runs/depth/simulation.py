"""One chain under one fault on a virtual clock: its schedule, and the row that comes of it."""

from __future__ import annotations

import enum
import math
import random
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from testbed.chain.chain import Chain
from testbed.chain.request import ClientRequest
from testbed.chain.server import Behaviour
from testbed.results import Row
from testbed.runs.depth.plan import Fault, Plan

WINDOW_MS = 500.0
"""The length of a window in which calls after the fault's end are counted."""
QUIET_MS = 1_000.0
"""A single call comes so long after the last one of the warm-up."""
_OK = 200
_UNAVAILABLE = 503


class Phase(enum.IntEnum):
    """When a call came."""

    BEFORE = 0
    """Before the fault."""
    DURING = 1
    """While it lasted."""
    AFTER = 2
    """After its end."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServedColumns(Row):
    """Fractions of calls from outside with response 200; null where no call came."""

    served: float | None
    """Of all calls that ended."""
    served_before: float | None
    """Of those before the fault, but for the last ones, which were under way as it began."""
    served_while: float | None
    served_after: float | None
    back_after_s: float | None
    """From the fault's end to the end of the first window that is served as before; null if none is."""
    shed_while: float | None
    """The fraction rejected without an attempt while the fault lasted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptColumns(Row):
    """Attempts for the calls that came while the fault lasted; null where none came."""

    bottom_attempts_a_call: float | None
    """At the last tier, by call."""
    bottom_attempts_an_admitted: float | None
    """At the last tier, by call for which an attempt was made at all."""
    bottom_attempts_most: int
    """At the last tier, for one call."""
    attempts_a_call_by_tier: list[float | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkColumns(Row):
    """What the simulation took."""

    virtual_s: float
    """Virtual time at the end."""
    events: int
    decisions: int
    """Events that policies handled."""
    machine_us_a_decision: float
    """Time that policies took by event, on the machine's clock."""
    machine_s: float
    """Time in all, on the machine's clock."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DepthRow(Row):
    """A chain of one depth under one fault."""

    depth: int
    trouble: str
    """Its name in the plan."""
    calls: int
    """Calls from outside."""
    served: ServedColumns
    attempts: AttemptColumns
    turned_away_full: int
    """Attempts that servers rejected since their queues were full."""
    added_a_hop_p50_ms: float | None
    """What a tier adds to a served call beside the messages' way and the mean of the work; the median."""
    added_a_hop_p99_ms: float | None
    """The same, the 99th percentile."""
    deadline_part_at_bottom: float | None
    """The fraction of a call's deadline that its first attempt at the last tier had left; the median."""
    served_after_by_window: list[float | None]
    """The fraction served of the calls that came in each window after the fault's end."""
    cut_short: bool
    """Whether the run needed more events than the plan allows: its attempts are then lower bounds."""
    work: WorkColumns


class Simulation:
    """One chain under one fault."""

    def __init__(self, plan: Plan, depth: int, fault: Fault) -> None:
        self._plan, self._fault = plan, fault
        self._chain = Chain(plan.shape(depth), plan.seed)
        self._gaps = random.Random(f"{plan.seed}:arrivals")
        quiet_ms = QUIET_MS if plan.single_call and plan.warm_s else 0.0
        self._warm_ends = plan.warm_s * 1000
        self._begins = self._warm_ends + quiet_ms
        self._ends = self._begins + plan.fault_s * 1000
        clock = self._chain.clock
        clock.schedule(self._begins, self._behave, fault.behaviour)
        if plan.after_s:
            clock.schedule(self._ends, self._behave, Behaviour.SERVES)
        if plan.single_call:
            clock.schedule(self._begins, self._chain.send_request, Phase.DURING)
        self._schedule_call(0.0)

    def _behave(self, behaviour: Behaviour) -> None:
        """From now on the servers that the fault is in behave so."""
        fault, settings = self._fault, self._chain.settings
        count = fault.servers or settings.servers_per_tier
        self._chain.set_behaviour(fault.tier_of(settings.depth), count, behaviour, fault.fraction)

    def _schedule_call(self, now: float) -> None:
        """Schedule the call after one at `now`, unless it would come after the end."""
        at = now + self._gaps.expovariate(self._plan.calls_per_s / 1000)
        if self._plan.single_call and self._warm_ends <= at < self._ends:
            at = self._ends + at - self._warm_ends
        if at < self._ends + self._plan.after_s * 1000:
            self._chain.clock.schedule(at, self._arrive, at)

    def _arrive(self, at: float) -> None:
        self._chain.send_request(self._phase_at(at))
        self._schedule_call(at)

    def _phase_at(self, at: float) -> Phase:
        if at < self._begins:
            return Phase.BEFORE
        return Phase.DURING if at < self._ends else Phase.AFTER

    def run(self) -> DepthRow:
        """Run the simulation to its end, or until it has had too many events, and make the row of it."""
        began = time.perf_counter()
        chain = self._chain
        finished = chain.clock.run(self._plan.events_max)
        calls = chain.client_requests if finished else [call for call in chain.client_requests if call.status]
        windows = self._served_by_window(calls)
        added_ms = self._added_a_hop_ms(calls)
        deadline_parts = [call.deadline_fraction for call in chain.client_requests if call.last_tier_attempts]
        return DepthRow(
            depth=chain.settings.depth,
            trouble=self._fault.name,
            calls=len(chain.client_requests),
            served=self._served(calls, windows),
            attempts=self._attempts(),
            turned_away_full=sum(server.rejected for tier in chain.tiers for server in tier),
            added_a_hop_p50_ms=float(np.percentile(added_ms, 50)) if added_ms else None,
            added_a_hop_p99_ms=float(np.percentile(added_ms, 99)) if added_ms else None,
            deadline_part_at_bottom=statistics.median(deadline_parts) if deadline_parts else None,
            served_after_by_window=windows,
            cut_short=not finished,
            work=self._work(began),
        )

    def _served(self, calls: Sequence[ClientRequest], windows: list[float | None]) -> ServedColumns:
        before, during, after = ([call for call in calls if call.phase == phase] for phase in Phase)
        # Calls still under way as the fault begins don't tell how it was before.
        settled = [call for call in before if call.received_at_ms < self._warm_ends - WINDOW_MS]
        served_before = _served_fraction(settled)
        shed = [call.status == _UNAVAILABLE and not call.was_attempted for call in during]
        return ServedColumns(
            served=_served_fraction(calls),
            served_before=served_before,
            served_while=_served_fraction(during),
            served_after=_served_fraction(after),
            back_after_s=_back_after_s(windows, served_before),
            shed_while=_fraction(shed),
        )

    def _attempts(self) -> AttemptColumns:
        chain = self._chain
        during = [call for call in chain.client_requests if call.phase == Phase.DURING]
        admitted = sum(call.was_attempted for call in during)
        by_tier = chain.statistics.attempts_by_phase.get(Phase.DURING, [0] * chain.settings.depth)
        return AttemptColumns(
            bottom_attempts_a_call=by_tier[-1] / len(during) if during else None,
            bottom_attempts_an_admitted=by_tier[-1] / admitted if admitted else None,
            bottom_attempts_most=max((call.last_tier_attempts for call in during), default=0),
            attempts_a_call_by_tier=[
                round(attempts / len(during), 4) if during else None for attempts in by_tier
            ],
        )

    def _added_a_hop_ms(self, calls: Sequence[ClientRequest]) -> list[float]:
        """What each served call took by tier, beside the messages' way and the mean of the work."""
        plain_ms = 2 * self._plan.hop_ms + self._plan.service_ms
        depth = self._chain.settings.depth
        return [
            (call.finished_at_ms - call.received_at_ms) / depth - plain_ms
            for call in calls
            if call.status == _OK
        ]

    def _served_by_window(self, calls: Sequence[ClientRequest]) -> list[float | None]:
        """The fraction served of the calls that came in each window after the fault's end."""
        if not self._plan.after_s:
            return []
        count = math.ceil(self._plan.after_s * 1000 / WINDOW_MS)
        windows: list[list[ClientRequest]] = [[] for _ in range(count)]
        for call in calls:
            if call.phase == Phase.AFTER:
                windows[min(int((call.received_at_ms - self._ends) / WINDOW_MS), count - 1)].append(call)
        return [_served_fraction(window) for window in windows]

    def _work(self, began: float) -> WorkColumns:
        chain = self._chain
        return WorkColumns(
            virtual_s=chain.clock.now / 1000,
            events=chain.clock.events_run,
            decisions=chain.statistics.decisions,
            machine_us_a_decision=chain.statistics.decision_s / max(chain.statistics.decisions, 1) * 1e6,
            machine_s=time.perf_counter() - began,
        )


def _fraction(which: Sequence[bool]) -> float | None:
    return sum(which) / len(which) if which else None


def _served_fraction(calls: Sequence[ClientRequest]) -> float | None:
    return _fraction([call.status == _OK for call in calls])


def _back_after_s(windows: Sequence[float | None], served_before: float | None) -> float | None:
    """Seconds until the end of the first window that is served as before; None if none is."""
    for i, served in enumerate(windows):
        if served is not None and served_before is not None and served >= served_before:
            return (i + 1) * WINDOW_MS / 1000
    return None
