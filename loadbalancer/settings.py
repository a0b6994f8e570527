"""What a balancer is configured with: request classes, tenants, limits and slow-start rules.

The platform gives all of it at an instance's start, over the simulator's wire or in the file that `LB_CONFIG`
names; `loadbalancer.settings_reader` reads both. All times and spans are milliseconds. Every type is a frozen
value; a value out of range raises ValueError.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, fields


class Idempotency(enum.Enum):
    """Whether a request of a class may run more than once."""

    SAFE = "safe"
    """Running it again has no further effect, at any endpoint."""
    KEYED = "keyed"
    """It bears a key by which endpoints drop a repetition, within an `IdempotencyScope` and a window."""
    NOT_IDEMPOTENT = "unsafe"
    """It must not run twice: only an attempt that provably never ran may be followed by another."""


class IdempotencyScope(enum.Enum):
    """Which endpoints know the keys that one of them has seen, and drop a repetition."""

    ALL = "all"
    """All endpoints of the service."""
    ZONE = "zone"
    """Those of the same zone."""
    CELL = "cell"
    """Those of the same cell."""


def _require(condition: bool, name: str, value: object, wanted: str) -> None:
    if not condition:
        raise ValueError(f"{name} is {value!r}: it {wanted}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests, and what its clients expect of it.

    Attributes:
        name: How a request names its class; unique among the classes of a service.
        latency_objective_ms: The response time up to which a response has its full value.
        deadline_ms: The response time after which a response has no value; the client waits no longer.
        idempotency: Whether a request may run more than once.
        idempotency_scope: For a keyed class: which endpoints drop a repetition.
        idempotency_window_ms: For a keyed class: how long an endpoint remembers a key.
        priority_weight: What one timely response counts, against those of other classes. Where load has to be
            shed, classes of less weight are shed first.
        late_value: What a response after the latency objective but before the deadline counts, as a fraction
            of a timely one.
        is_streaming: Whether a response may go on for long: its deadline is that of its beginning.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window_ms: float = 0.0
    priority_weight: float = 1.0
    late_value: float = 0.0
    is_streaming: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", self.name, "must not be empty")
        for field in ("latency_objective_ms", "deadline_ms"):
            value = getattr(self, field)
            _require(math.isfinite(value) and value > 0, field, value, "must be a finite number above 0")
        _require(
            self.idempotency_window_ms >= 0,
            "idempotency_window_ms",
            self.idempotency_window_ms,
            "must not be negative",
        )
        _require(self.priority_weight >= 0, "priority_weight", self.priority_weight, "must not be negative")
        _require(0 <= self.late_value <= 1, "late_value", self.late_value, "must be between 0 and 1")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One customer, and the rate of requests that is reserved for it.

    Attributes:
        name: How a request names its tenant.
        quota_per_s: The requests a second that the tenant may expect to be served, over all balancers.
    """

    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", self.name, "must not be empty")
        _require(self.quota_per_s >= 0, "quota_per_s", self.quota_per_s, "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """What one balancer instance is told when it starts.

    Attributes:
        classes: The classes that a request may name, at least one.
        tenants: The tenants that have a quota; requests of others, or without one, have none.
        balancers: How many balancer instances serve this tier, this one included. The load that an endpoint
            receives is the sum of what all of them send.
        tier: How many tiers of services stand before this balancer; 0 is where requests enter from outside.
        zone: The zone that the instance runs in; empty if zones are not told.
        polls_discovery: Whether the endpoint list has to be asked for with `WatchEndpoints`; else it is
            pushed without that.
        poll_deadline_ms: The longest time that may pass until discovery is asked again; the backoff after
            failures stays under a third of it.
        max_attempts: The most attempts for one request, the first and hedged ones included.
        connect_timeout_ms: The longest wait for a connection to come up. An attempt may begin this much later
            than it was decided, where no connection is open.
        may_cancel: Whether an attempt that is out can be cancelled.
        may_hedge: Whether a further attempt may start while an earlier one is out.
        may_health_check: Whether probes are allowed. The policy sends none, and decides nothing by this.
        max_retry_after_ms: The longest `Retry-After` that a rejection may ask for; 0 if it may ask for none.
        slow_start_ms: How long after its start an endpoint is warming up; 0 if it is not.
        slow_start_initial_fraction: The part of its full capacity that an endpoint has at its start, above 0.
            It grows linearly to 1 over `slow_start_ms`.
        slow_start_overload_factor: How many times its present capacity a warming endpoint bears within
            one window; beyond it, the endpoint fails.
        slow_start_window_ms: The span of that window.
        over_quota_weight: What a response to a tenant's request over its quota counts, as a fraction of one
            within it.
        tick_ms: The resolution of the platform's clock: what is due is done up to this much later.
        load_report_fields: The names of the figures in an endpoint's load report, in their order. The policy
            decides nothing by load reports.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1
    tier: int = 0
    zone: str = ""
    polls_discovery: bool = False
    poll_deadline_ms: float = 10_000.0
    max_attempts: int = 3
    connect_timeout_ms: float = 0.0
    may_cancel: bool = False
    may_hedge: bool = False
    may_health_check: bool = False
    max_retry_after_ms: float = 0.0
    slow_start_ms: float = 0.0
    slow_start_initial_fraction: float = 1.0
    slow_start_overload_factor: float = 1.0
    slow_start_window_ms: float = 1_000.0
    over_quota_weight: float = 1.0
    tick_ms: float = 1.0
    load_report_fields: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", self.classes, "must name at least one class")
        names = [c.name for c in self.classes]
        _require(len(set(names)) == len(names), "classes", names, "must not name a class twice")
        for field in ("balancers", "max_attempts"):
            _require(getattr(self, field) >= 1, field, getattr(self, field), "must be 1 or more")
        for field in ("tier", "connect_timeout_ms", "max_retry_after_ms", "slow_start_ms"):
            _require(getattr(self, field) >= 0, field, getattr(self, field), "must not be negative")
        for field in ("poll_deadline_ms", "slow_start_window_ms", "slow_start_overload_factor", "tick_ms"):
            _require(getattr(self, field) > 0, field, getattr(self, field), "must be above 0")
        _require(
            0 < self.slow_start_initial_fraction <= 1,
            "slow_start_initial_fraction",
            self.slow_start_initial_fraction,
            "must be above 0 and at most 1",
        )
        _require(
            0 <= self.over_quota_weight <= 1,
            "over_quota_weight",
            self.over_quota_weight,
            "must be between 0 and 1",
        )
        for item in fields(self):
            value = getattr(self, item.name)
            _require(not isinstance(value, float) or math.isfinite(value), item.name, value, "must be finite")
