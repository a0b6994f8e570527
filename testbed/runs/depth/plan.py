"""The plan of the run on depth: how the chains are built, what comes at them and what goes wrong."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from loadbalancer.settings import Idempotency, IdempotencyScope, RequestClass
from testbed import experiment
from testbed.chain.server import Behaviour
from testbed.chain.settings import ChainSettings
from testbed.experiment import formerly

Positive = Annotated[float, Field(gt=0)]
NotNegative = Annotated[float, Field(ge=0)]


class Fault(BaseModel):
    """One fault: in which tier, of how many servers, and what they do meanwhile."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    behaviour: Behaviour
    fraction: Annotated[float, Field(gt=0, le=1), formerly("fraction", "part")] = 1.0
    """Of the calls, where servers fail some."""
    tier: Literal["first", "middle", "bottom"] = "bottom"
    servers: Annotated[int, Field(ge=0)] = 0
    """How many of the tier's; 0 for all."""

    def tier_of(self, depth: int) -> int:
        """The tier of the faulty servers, counted from 1."""
        return {"first": 1, "middle": (depth + 1) // 2, "bottom": depth}[self.tier]


class Plan(experiment.Plan):
    """How the chains are built, what comes at them and what goes wrong."""

    faults: Annotated[tuple[Fault, ...], Field(min_length=1), formerly("faults", "troubles")]
    """Each is simulated at each depth."""
    servers_a_tier: Annotated[int, Field(ge=1)] = 6
    """Each of them with a balancer of its own, but for the last tier's."""
    fronts: Annotated[int, Field(ge=1)] = 6
    """Balancers that calls from outside come to."""
    calls_per_s: Positive = 100.0
    """The mean rate at which calls come from outside; gaps are exponentially distributed."""
    warm_s: NotNegative = 5.0
    """Before the fault begins; 0 for a fault from the very first call."""
    fault_s: Annotated[Positive, formerly("fault_s", "trouble_s")] = 15.0
    """How long the fault lasts."""
    after_s: NotNegative = 0.0
    """After the fault has ended; with 0 it lasts until the last call is over."""
    single_call: bool = False
    """Only one call comes while the fault lasts."""
    idempotency: Annotated[Idempotency, formerly("idempotency", "effect")] = Idempotency.SAFE
    """Keyed calls are kept apart by all servers together for `idempotency_window_ms`."""
    idempotency_window_ms: Annotated[NotNegative, formerly("idempotency_window_ms", "repeat_window_ms")] = (
        2_000.0
    )
    latency_objective_ms: Annotated[Positive, formerly("latency_objective_ms", "aim_ms")] = 1_000.0
    deadline_ms: Positive = 3_000.0
    late_value: Annotated[float, Field(ge=0, le=1), formerly("late_value", "late_share")] = 0.0
    attempts_cap: Annotated[int, Field(ge=1)] = 4
    may_cancel: bool = True
    may_hedge: Annotated[bool, formerly("may_hedge", "may_duplicate")] = False
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
    events_max: Annotated[int, Field(ge=1), formerly("events_max", "events_most")] = 3_000_000
    """For each depth and fault: the simulation is cut short after so many."""

    def shape(self, depth: int) -> ChainSettings:
        """The chain of so many tiers."""
        window = self.idempotency_window_ms if self.idempotency is Idempotency.KEYED else 0.0
        return ChainSettings(
            depth,
            RequestClass(
                "call",
                self.latency_objective_ms,
                self.deadline_ms,
                self.idempotency,
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
