"""What a balancer is configured with: request classes, tenants, limits and slow-start rules.

The platform gives all of it at an instance's start, over the simulator's wire or in the file that `LB_CONFIG`
names; `loadbalancer.settings_reader` reads both. All times and spans are milliseconds. Every type is a frozen
value; a value out of range raises `InvalidSettingsError`.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, fields

from loadbalancer.errors import InvalidSettingsError


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
        _check_name(self.name)
        for field in ("latency_objective_ms", "deadline_ms"):
            value = getattr(self, field)
            is_met = math.isfinite(value) and value > 0
            _check(field, value, "must be a finite number above 0", is_met=is_met)
        for field in ("idempotency_window_ms", "priority_weight"):
            _check_not_negative(field, getattr(self, field))
        _check_fraction("late_value", self.late_value)


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
        _check_name(self.name)
        _check_not_negative("quota_per_s", self.quota_per_s)


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
        _check("classes", self.classes, "must name at least one class", is_met=bool(self.classes))
        names = [c.name for c in self.classes]
        _check("classes", names, "must not name a class twice", is_met=len(set(names)) == len(names))
        for field in ("balancers", "max_attempts"):
            value = getattr(self, field)
            _check(field, value, "must be 1 or more", is_met=value >= 1)
        for field in ("tier", "connect_timeout_ms", "max_retry_after_ms", "slow_start_ms"):
            _check_not_negative(field, getattr(self, field))
        for field in ("poll_deadline_ms", "slow_start_window_ms", "slow_start_overload_factor", "tick_ms"):
            value = getattr(self, field)
            _check(field, value, "must be above 0", is_met=value > 0)
        fraction = self.slow_start_initial_fraction
        requirement = "must be above 0 and at most 1"
        _check("slow_start_initial_fraction", fraction, requirement, is_met=0 < fraction <= 1)
        _check_fraction("over_quota_weight", self.over_quota_weight)
        for item in fields(self):
            value = getattr(self, item.name)
            is_met = not isinstance(value, float) or math.isfinite(value)
            _check(item.name, value, "must be finite", is_met=is_met)


def _check(field: str, value: object, requirement: str, *, is_met: bool) -> None:
    if not is_met:
        raise InvalidSettingsError(field, value, requirement)


def _check_name(name: str) -> None:
    _check("name", name, "must not be empty", is_met=bool(name))


def _check_not_negative(field: str, value: float) -> None:
    _check(field, value, "must not be negative", is_met=value >= 0)


def _check_fraction(field: str, value: float) -> None:
    _check(field, value, "must be between 0 and 1", is_met=0 <= value <= 1)
