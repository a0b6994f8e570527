"""The simulation of one chain under one fault: its schedule, and its row of the result."""

from __future__ import annotations

import enum
import math
import random
import statistics
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from testbed.chain.chain import Chain
from testbed.chain.server import Behaviour
from testbed.results import Row, stored_as

if TYPE_CHECKING:
    from collections.abc import Sequence

    from testbed.chain.request import ClientRequest
    from testbed.runs.depth.plan import Fault, Plan

WINDOW_MS = 500.0
"""The length of the windows in which requests after the fault are counted."""
SINGLE_CALL_DELAY_MS = 1_000.0
"""The time between the end of the warm-up and a single request."""
_OK = 200
_UNAVAILABLE = 503


class Phase(enum.IntEnum):
    """The phase in which a request arrived."""

    BEFORE = 0
    """Before the fault."""
    DURING = 1
    """During the fault."""
    AFTER = 2
    """After the fault."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServedColumns(Row):
    """Fractions of outside requests with a 200 response; null if there was no request."""

    served: float | None
    """Of all requests that ended."""
    served_before: float | None
    """Of those before the fault, except the last `WINDOW_MS`, which may be in flight as it begins."""
    served_while: float | None
    served_after: float | None
    back_after_s: float | None
    """From the end of the fault to the end of the first window that is served as before; null if none is."""
    shed_while: float | None
    """The fraction of requests during the fault that were rejected without an attempt."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptColumns(Row):
    """Attempts for the requests that arrived during the fault; null if there was none."""

    bottom_attempts_a_call: float | None
    """Attempts at the last tier per request."""
    bottom_attempts_an_admitted: float | None
    """Attempts at the last tier per request for which any attempt was made."""
    max_bottom_attempts: int = stored_as("bottom_attempts_most")
    """The maximum of attempts at the last tier for one request."""
    attempts_a_call_by_tier: list[float | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkColumns(Row):
    """The cost of the simulation."""

    virtual_s: float
    """Virtual time at the end."""
    events: int
    decisions: int
    """Events that policies handled."""
    machine_us_a_decision: float
    """Measured processing time of the policies per event."""
    machine_s: float
    """Measured time of the simulation."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DepthRow(Row):
    """A chain of one depth under one fault."""

    depth: int
    fault: str = stored_as("trouble")
    """The name of the fault in the plan."""
    calls: int
    """Outside requests."""
    served: ServedColumns
    attempts: AttemptColumns
    rejected_queue_full: int = stored_as("turned_away_full")
    """Attempts that servers rejected because their queues were full."""
    added_a_hop_p50_ms: float | None
    """The median of the time that a tier adds to a served request, beyond messages and mean service time."""
    added_a_hop_p99_ms: float | None
    """The 99th percentile of the same time."""
    bottom_deadline_fraction: float | None = stored_as("deadline_part_at_bottom")
    """The median fraction of the deadline that remains for the first attempt at the last tier."""
    served_after_by_window: list[float | None]
    """The served fraction of the requests that arrived in each window after the fault."""
    cut_short: bool
    """Whether the simulation reached the plan's limit on events, so that its attempts are lower bounds."""
    work: WorkColumns


class Simulation:
    """The simulation of one chain under one fault."""

    def __init__(self, plan: Plan, depth: int, fault: Fault) -> None:
        self._plan, self._fault = plan, fault
        self._chain = Chain(plan.shape(depth), plan.seed)
        self._gaps = random.Random(f"{plan.seed}:arrivals")
        delay_ms = SINGLE_CALL_DELAY_MS if plan.single_call and plan.warm_s else 0.0
        self._warm_up_end_ms = plan.warm_s * 1000
        self._fault_start_ms = self._warm_up_end_ms + delay_ms
        self._fault_end_ms = self._fault_start_ms + plan.fault_s * 1000
        clock = self._chain.clock
        clock.schedule(self._fault_start_ms, self._set_behaviour, fault.behaviour)
        if plan.after_s:
            clock.schedule(self._fault_end_ms, self._set_behaviour, Behaviour.SERVES)
        if plan.single_call:
            clock.schedule(self._fault_start_ms, self._chain.send_request, Phase.DURING)
        self._schedule_call(0.0)

    def _set_behaviour(self, behaviour: Behaviour) -> None:
        """Change the behaviour of the servers that the fault affects."""
        fault, settings = self._fault, self._chain.settings
        count = fault.servers or settings.servers_per_tier
        self._chain.set_behaviour(fault.tier_of(settings.depth), count, behaviour, fault.fraction)

    def _schedule_call(self, now: float) -> None:
        """Schedule the request after the one at `now`, unless it would arrive after the end."""
        at = now + self._gaps.expovariate(self._plan.calls_per_s / 1000)
        if self._plan.single_call and self._warm_up_end_ms <= at < self._fault_end_ms:
            at = self._fault_end_ms + at - self._warm_up_end_ms
        if at < self._fault_end_ms + self._plan.after_s * 1000:
            self._chain.clock.schedule(at, self._arrive, at)

    def _arrive(self, at: float) -> None:
        self._chain.send_request(self._phase_at(at))
        self._schedule_call(at)

    def _phase_at(self, at: float) -> Phase:
        if at < self._fault_start_ms:
            return Phase.BEFORE
        return Phase.DURING if at < self._fault_end_ms else Phase.AFTER

    def run(self) -> DepthRow:
        """Run the simulation to its end or to the limit on events, and return its row."""
        began = time.perf_counter()
        chain = self._chain
        finished = chain.clock.run(self._plan.events_max)
        calls = chain.client_requests if finished else [call for call in chain.client_requests if call.status]
        windows = self._served_by_window(calls)
        added_ms = self._added_a_hop_ms(calls)
        deadline_parts = [call.deadline_fraction for call in chain.client_requests if call.last_tier_attempts]
        return DepthRow(
            depth=chain.settings.depth,
            fault=self._fault.name,
            calls=len(chain.client_requests),
            served=self._served(calls, windows),
            attempts=self._attempts(),
            rejected_queue_full=sum(server.rejected for tier in chain.tiers for server in tier),
            added_a_hop_p50_ms=float(np.percentile(added_ms, 50)) if added_ms else None,
            added_a_hop_p99_ms=float(np.percentile(added_ms, 99)) if added_ms else None,
            bottom_deadline_fraction=statistics.median(deadline_parts) if deadline_parts else None,
            served_after_by_window=windows,
            cut_short=not finished,
            work=self._work(began),
        )

    def _served(self, calls: Sequence[ClientRequest], windows: list[float | None]) -> ServedColumns:
        before, during, after = ([call for call in calls if call.phase == phase] for phase in Phase)
        # Requests in flight as the fault begins are not representative of the time before it.
        settled = [call for call in before if call.received_at_ms < self._warm_up_end_ms - WINDOW_MS]
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
            max_bottom_attempts=max((call.last_tier_attempts for call in during), default=0),
            attempts_a_call_by_tier=[
                round(attempts / len(during), 4) if during else None for attempts in by_tier
            ],
        )

    def _added_a_hop_ms(self, calls: Sequence[ClientRequest]) -> list[float]:
        """Return the time per tier of each served request, less messages and mean service time."""
        plain_ms = 2 * self._plan.hop_ms + self._plan.service_ms
        depth = self._chain.settings.depth
        return [
            (call.finished_at_ms - call.received_at_ms) / depth - plain_ms
            for call in calls
            if call.status == _OK
        ]

    def _served_by_window(self, calls: Sequence[ClientRequest]) -> list[float | None]:
        """Return the served fraction of the requests that arrived in each window after the fault."""
        if not self._plan.after_s:
            return []
        count = math.ceil(self._plan.after_s * 1000 / WINDOW_MS)
        windows: list[list[ClientRequest]] = [[] for _ in range(count)]
        for call in calls:
            if call.phase == Phase.AFTER:
                windows[min(int((call.received_at_ms - self._fault_end_ms) / WINDOW_MS), count - 1)].append(
                    call
                )
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
    """Return the time in seconds to the end of the first window served as before; None if none is."""
    for i, served in enumerate(windows):
        if served is not None and served_before is not None and served >= served_before:
            return (i + 1) * WINDOW_MS / 1000
    return None
