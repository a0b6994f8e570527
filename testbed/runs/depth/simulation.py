"""The simulation of one chain with one fault, and the row of its results."""

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
"""The length of the time windows in which requests after the fault are counted."""
SINGLE_REQUEST_DELAY_MS = 1_000.0
"""With `Plan.single_call`, the time from the end of the warm-up to the fault and its single request."""
_OK = 200
_UNAVAILABLE = 503


class Phase(enum.IntEnum):
    """The phase of the simulation in which a request arrived."""

    BEFORE = 0
    """Before the fault."""
    DURING = 1
    """During the fault."""
    AFTER = 2
    """After the fault."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServedColumns(Row):
    """Fractions of client requests with a 200 response; null if there were no requests."""

    served: float | None
    """The fraction for all requests; if the simulation was cut short, for those that have a response."""
    served_before: float | None
    """The fraction for requests that arrived before the fault.

    Requests in the last `WINDOW_MS` are excluded, since they may be in flight when the fault begins.
    """
    served_during: float | None = stored_as("served_while")
    served_after: float | None
    recovery_s: float | None = stored_as("back_after_s")
    """The time from the end of the fault to the end of the first window in which service had recovered.

    In this window, the fraction of served requests is at least `served_before`. Null if there is no such
    window.
    """
    shed_during: float | None = stored_as("shed_while")
    """The fraction of requests during the fault that were rejected without an attempt."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptColumns(Row):
    """Attempts for the requests that arrived during the fault; null if there were no requests."""

    last_tier_attempts_per_request: float | None = stored_as("bottom_attempts_a_call")
    """Attempts at the last tier per request."""
    last_tier_attempts_per_admitted: float | None = stored_as("bottom_attempts_an_admitted")
    """Attempts at the last tier per request that the front balancer did not shed."""
    max_last_tier_attempts: int = stored_as("bottom_attempts_most")
    """The maximum number of attempts at the last tier for one request."""
    attempts_a_call_by_tier: list[float | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkColumns(Row):
    """The cost of the simulation."""

    virtual_s: float
    """The virtual time at the end."""
    events: int
    policy_events: int = stored_as("decisions")
    """The number of events that policies handled."""
    policy_us_per_event: float = stored_as("machine_us_a_decision")
    """The measured processing time of the policies per event."""
    elapsed_s: float = stored_as("machine_s")
    """The measured duration of the simulation."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DepthRow(Row):
    """The result for a chain of one depth with one fault."""

    depth: int
    fault: str = stored_as("trouble")
    """The name of the fault in the plan."""
    requests: int = stored_as("calls")
    """The number of client requests."""
    served: ServedColumns
    attempts: AttemptColumns
    rejected_queue_full: int = stored_as("turned_away_full")
    """Attempts that servers rejected because their queues were full."""
    p50_added_per_tier_ms: float | None = stored_as("added_a_hop_p50_ms")
    """The median latency per tier of served requests, minus the expected latency per tier.

    The latency per tier is the latency of a request divided by the number of tiers. The expected latency is
    the network latency of two messages plus the mean service time.
    """
    p99_added_per_tier_ms: float | None = stored_as("added_a_hop_p99_ms")
    """The 99th percentile of the latency per tier of served requests, minus the expected latency."""
    last_tier_deadline_fraction: float | None = stored_as("deadline_part_at_bottom")
    """The median fraction of the deadline that remains for the first attempt at the last tier."""
    served_after_by_window: list[float | None]
    """The fraction of requests served, for each window of `WINDOW_MS` after the fault."""
    cut_short: bool
    """Whether the simulation reached `Plan.events_max`; its attempts are then lower bounds."""
    work: WorkColumns


class Simulation:
    """The simulation of one chain with one fault."""

    def __init__(self, plan: Plan, depth: int, fault: Fault) -> None:
        self._plan, self._fault = plan, fault
        self._chain = Chain(plan.chain_settings(depth), plan.seed)
        self._arrival_random = random.Random(f"{plan.seed}:arrivals")
        delay_ms = SINGLE_REQUEST_DELAY_MS if plan.single_call and plan.warm_s else 0.0
        self._warm_up_end_ms = plan.warm_s * 1000
        self._fault_start_ms = self._warm_up_end_ms + delay_ms
        self._fault_end_ms = self._fault_start_ms + plan.fault_s * 1000
        clock = self._chain.clock
        clock.schedule(self._fault_start_ms, self._set_behaviour, fault.behaviour)
        if plan.after_s:
            clock.schedule(self._fault_end_ms, self._set_behaviour, Behaviour.SERVES)
        if plan.single_call:
            clock.schedule(self._fault_start_ms, self._chain.send_request, Phase.DURING)
        self._schedule_request(0.0)

    def _set_behaviour(self, behaviour: Behaviour) -> None:
        """Set the behaviour of the servers that the fault affects."""
        fault, settings = self._fault, self._chain.settings
        count = fault.servers or settings.servers_per_tier
        self._chain.set_behaviour(fault.tier_number(settings.depth), count, behaviour, fault.fraction)

    def _schedule_request(self, previous_ms: float) -> None:
        """Schedule the request after the one at `previous_ms`, unless the simulation ends before it arrives.

        With `single_call`, an arrival between the warm-up and the end of the fault is postponed until after
        the fault.
        """
        time_ms = previous_ms + self._arrival_random.expovariate(self._plan.calls_per_s / 1000)
        if self._plan.single_call and self._warm_up_end_ms <= time_ms < self._fault_end_ms:
            time_ms = self._fault_end_ms + time_ms - self._warm_up_end_ms
        if time_ms < self._fault_end_ms + self._plan.after_s * 1000:
            self._chain.clock.schedule(time_ms, self._on_arrival, time_ms)

    def _on_arrival(self, time_ms: float) -> None:
        self._chain.send_request(self._phase_at(time_ms))
        self._schedule_request(time_ms)

    def _phase_at(self, time_ms: float) -> Phase:
        if time_ms < self._fault_start_ms:
            return Phase.BEFORE
        return Phase.DURING if time_ms < self._fault_end_ms else Phase.AFTER

    def run(self) -> DepthRow:
        """Run the simulation until it ends or reaches the limit on events, and return its row."""
        start_s = time.perf_counter()
        chain = self._chain
        is_complete = chain.clock.run(self._plan.events_max)
        requests = (
            chain.client_requests
            if is_complete
            else [request for request in chain.client_requests if request.status]
        )
        windows = self._served_by_window(requests)
        added_ms = self._added_per_tier_ms(requests)
        deadline_fractions = [
            request.deadline_fraction for request in chain.client_requests if request.last_tier_attempts
        ]
        return DepthRow(
            depth=chain.settings.depth,
            fault=self._fault.name,
            requests=len(chain.client_requests),
            served=self._served_columns(requests, windows),
            attempts=self._attempt_columns(),
            rejected_queue_full=sum(server.rejected for tier in chain.tiers for server in tier),
            p50_added_per_tier_ms=float(np.percentile(added_ms, 50)) if added_ms else None,
            p99_added_per_tier_ms=float(np.percentile(added_ms, 99)) if added_ms else None,
            last_tier_deadline_fraction=statistics.median(deadline_fractions) if deadline_fractions else None,
            served_after_by_window=windows,
            cut_short=not is_complete,
            work=self._work_columns(start_s),
        )

    def _served_columns(
        self, requests: Sequence[ClientRequest], windows: list[float | None]
    ) -> ServedColumns:
        before, during, after = (
            [request for request in requests if request.phase == phase] for phase in Phase
        )
        # Requests in flight when the fault begins do not show how the chain served requests before the fault.
        counted_requests = [
            request for request in before if request.received_at_ms < self._warm_up_end_ms - WINDOW_MS
        ]
        served_before = _served_fraction(counted_requests)
        shed = [request.status == _UNAVAILABLE and not request.was_attempted for request in during]
        return ServedColumns(
            served=_served_fraction(requests),
            served_before=served_before,
            served_during=_served_fraction(during),
            served_after=_served_fraction(after),
            recovery_s=_recovery_s(windows, served_before),
            shed_during=_true_fraction(shed),
        )

    def _attempt_columns(self) -> AttemptColumns:
        chain = self._chain
        during = [request for request in chain.client_requests if request.phase == Phase.DURING]
        admitted = sum(request.was_attempted for request in during)
        by_tier = chain.recorder.attempts_by_phase.get(Phase.DURING, [0] * chain.settings.depth)
        return AttemptColumns(
            last_tier_attempts_per_request=by_tier[-1] / len(during) if during else None,
            last_tier_attempts_per_admitted=by_tier[-1] / admitted if admitted else None,
            max_last_tier_attempts=max((request.last_tier_attempts for request in during), default=0),
            attempts_a_call_by_tier=[
                round(attempts / len(during), 4) if during else None for attempts in by_tier
            ],
        )

    def _added_per_tier_ms(self, requests: Sequence[ClientRequest]) -> list[float]:
        """Return the latency per tier of each served request, minus the expected latency."""
        expected_ms = 2 * self._plan.hop_ms + self._plan.service_ms
        depth = self._chain.settings.depth
        return [
            (request.finished_at_ms - request.received_at_ms) / depth - expected_ms
            for request in requests
            if request.status == _OK
        ]

    def _served_by_window(self, requests: Sequence[ClientRequest]) -> list[float | None]:
        """Return the fraction of requests served, by the window in which they arrived after the fault."""
        if not self._plan.after_s:
            return []
        count = math.ceil(self._plan.after_s * 1000 / WINDOW_MS)
        windows: list[list[ClientRequest]] = [[] for _ in range(count)]
        for request in requests:
            if request.phase == Phase.AFTER:
                windows[
                    min(int((request.received_at_ms - self._fault_end_ms) / WINDOW_MS), count - 1)
                ].append(request)
        return [_served_fraction(window) for window in windows]

    def _work_columns(self, start_s: float) -> WorkColumns:
        chain = self._chain
        return WorkColumns(
            virtual_s=chain.clock.now / 1000,
            events=chain.clock.events_run,
            policy_events=chain.recorder.policy_events,
            policy_us_per_event=chain.recorder.policy_s / max(chain.recorder.policy_events, 1) * 1e6,
            elapsed_s=time.perf_counter() - start_s,
        )


def _true_fraction(flags: Sequence[bool]) -> float | None:
    return sum(flags) / len(flags) if flags else None


def _served_fraction(requests: Sequence[ClientRequest]) -> float | None:
    return _true_fraction([request.status == _OK for request in requests])


def _recovery_s(windows: Sequence[float | None], served_before: float | None) -> float | None:
    """Return the end of the first window with a fraction of at least `served_before`, or None."""
    for i, served in enumerate(windows):
        if served is not None and served_before is not None and served >= served_before:
            return (i + 1) * WINDOW_MS / 1000
    return None
