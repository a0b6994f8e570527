"""A client request that passes through the tiers of a simulated chain, and the recorder of a chain."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from testbed.virtual_clock import VirtualClock


class Caller(Protocol):
    """The caller of a balancer: a client, or an attempt at a server of the previous tier."""

    def receive_response(self, status: int) -> None:
        """Receive the final response; called once."""


class ClientRequest:
    """One request from a client of the front balancers.

    Attributes:
        phase: The phase of the simulation in which it arrived; the run defines the phases.
        received_at_ms: When it arrived.
        finished_at_ms: When the front balancer responded; infinite until then.
        status: The status of that response: 200 served, 502 failed, 503 rejected; 0 until then.
        was_attempted: Whether the front balancer made an attempt; a request rejected without one was shed.
        last_tier_attempts: Attempts at the last tier that were made for this request.
        deadline_fraction: The timeout of the first attempt at the last tier, as a fraction of the request's
            deadline; NaN if there was no such attempt.
    """

    __slots__ = (
        "_clock",
        "deadline_fraction",
        "finished_at_ms",
        "last_tier_attempts",
        "phase",
        "received_at_ms",
        "status",
        "was_attempted",
    )

    def __init__(self, clock: VirtualClock, phase: int) -> None:
        self._clock = clock
        self.phase = phase
        self.received_at_ms = clock.now
        self.finished_at_ms = math.inf
        self.status = 0
        self.was_attempted = False
        self.last_tier_attempts = 0
        self.deadline_fraction = math.nan

    def receive_response(self, status: int) -> None:
        """Record the front balancer's response and its time."""
        self.status = status
        self.finished_at_ms = self._clock.now


@dataclass(slots=True)
class ChainRecorder:
    """Records the attempts and the processing time of all policies in a chain.

    Attributes:
        depth: The number of tiers.
        deadline_ms: The deadline of every client request.
        attempts_by_phase: The number of attempts at each tier (tier 1 first), for the client requests of each
            phase.
        policy_events: The number of events that the policies have handled.
        policy_s: The measured processing time of these events, in seconds.
    """

    depth: int
    deadline_ms: float
    attempts_by_phase: dict[int, list[int]] = field(default_factory=dict)
    policy_events: int = 0
    policy_s: float = 0.0

    def record_policy_event(self, seconds: float) -> None:
        """Count one event that a policy has handled, and add its measured processing time."""
        self.policy_s += seconds
        self.policy_events += 1

    def record_attempt(self, request: ClientRequest, tier: int, timeout_ms: float) -> None:
        """Record an attempt at a tier, with its timeout; tiers are numbered from 1."""
        attempts_by_tier = self.attempts_by_phase.setdefault(request.phase, [0] * self.depth)
        attempts_by_tier[tier - 1] += 1
        request.was_attempted = True
        if tier == self.depth:
            if not request.last_tier_attempts:
                request.deadline_fraction = timeout_ms / self.deadline_ms
            request.last_tier_attempts += 1
