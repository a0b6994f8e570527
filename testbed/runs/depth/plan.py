"""The plan of a depth run: the chains, the load and the faults."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from loadbalancer.settings import Idempotency, IdempotencyScope, RequestClass
from testbed import experiment
from testbed.chain.server import Behaviour
from testbed.chain.settings import ChainSettings
from testbed.experiment import renamed_field

Positive = Annotated[float, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]


class Fault(BaseModel):
    """One fault: the faulty servers and their behaviour."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    behaviour: Behaviour
    fraction: Annotated[float, Field(gt=0, le=1), renamed_field("fraction", "part")] = 1.0
    """The fraction of requests that fail, if the behaviour is `Behaviour.FAILS`."""
    tier: Literal["first", "middle", "bottom"] = "bottom"
    servers: Annotated[int, Field(ge=0)] = 0
    """The number of faulty servers; 0 for all of the tier."""

    def tier_number(self, depth: int) -> int:
        """Return the number of the tier of the faulty servers; tiers are numbered from 1."""
        return {"first": 1, "middle": (depth + 1) // 2, "bottom": depth}[self.tier]


class Plan(experiment.Plan):
    """The chains, the load and the faults; `sizes` are numbers of tiers."""

    faults: Annotated[tuple[Fault, ...], Field(min_length=1), renamed_field("faults", "troubles")]
    """The faults, each of which is simulated at each depth."""
    servers_a_tier: Annotated[int, Field(ge=1)] = 6
    """The number of servers in each tier; each has its own balancer, except in the last tier."""
    fronts: Annotated[int, Field(ge=1)] = 6
    """The number of front balancers, which receive the client requests."""
    calls_per_s: Positive = 100.0
    """The mean rate of client requests, which arrive as a Poisson process."""
    warm_s: NonNegative = 5.0
    """The time before the fault in seconds; with 0 the fault is present from the first request on."""
    fault_s: Annotated[Positive, renamed_field("fault_s", "trouble_s")] = 15.0
    """The duration of the fault in seconds."""
    after_s: NonNegative = 0.0
    """The time after the fault in seconds; with 0 the fault lasts until the last request has finished."""
    single_call: bool = False
    """Whether only one request arrives during the fault."""
    idempotency: Annotated[Idempotency, renamed_field("idempotency", "effect")] = Idempotency.SAFE
    """Keyed requests are deduplicated across all servers for `idempotency_window_ms`."""
    idempotency_window_ms: Annotated[
        NonNegative, renamed_field("idempotency_window_ms", "repeat_window_ms")
    ] = 2_000.0
    latency_objective_ms: Annotated[Positive, renamed_field("latency_objective_ms", "aim_ms")] = 1_000.0
    deadline_ms: Positive = 3_000.0
    late_value: Annotated[float, Field(ge=0, le=1), renamed_field("late_value", "late_share")] = 0.0
    attempts_cap: Annotated[int, Field(ge=1)] = 4
    may_cancel: bool = True
    may_hedge: Annotated[bool, renamed_field("may_hedge", "may_duplicate")] = False
    hop_ms: NonNegative = 0.2
    """The network latency of a message between two machines."""
    service_ms: NonNegative = 1.0
    """The mean service time of a server's own work on a request."""
    steady_service: bool = False
    """Whether service times are constant instead of exponentially distributed."""
    workers: Annotated[int, Field(ge=0)] = 64
    """The limit on requests that a server works on concurrently; 0 for no limit."""
    queue: Annotated[int, Field(ge=0)] = 64
    """The limit on requests that wait at a server; further requests are rejected."""
    events_max: Annotated[int, Field(ge=1), renamed_field("events_max", "events_most")] = 3_000_000
    """The limit on events; a simulation (of one depth and fault) that reaches the limit is cut short."""

    def chain_settings(self, depth: int) -> ChainSettings:
        """Return the settings of a chain with `depth` tiers."""
        window_ms = self.idempotency_window_ms if self.idempotency is Idempotency.KEYED else 0.0
        return ChainSettings(
            depth,
            RequestClass(
                "call",
                self.latency_objective_ms,
                self.deadline_ms,
                self.idempotency,
                IdempotencyScope.ALL,
                window_ms,
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
