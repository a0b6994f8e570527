"""The settings of a balancer instance: request classes, tenants, limits and slow start.

The settings are read when an instance starts, from the simulator's wire or the file that `LB_CONFIG` names;
see `loadbalancer.settings_reader`. All durations are in milliseconds. The dataclasses are frozen, and
raise `InvalidSettingsError` when they are created with a value out of range.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, fields

from loadbalancer.errors import InvalidSettingsError


class Idempotency(enum.Enum):
    """Whether a request may be processed more than once."""

    SAFE = "safe"
    """Repeated processing has no further effect, at any endpoint."""
    KEYED = "keyed"
    """Each request has an idempotency key; the endpoints of a scope drop duplicates within a time window."""
    NOT_IDEMPOTENT = "unsafe"
    """It must not be processed twice: only transparent retries are allowed."""


class IdempotencyScope(enum.Enum):
    """The endpoints that share idempotency keys: each drops a request that another one has processed."""

    ALL = "all"
    """All endpoints of the service."""
    ZONE = "zone"
    """The endpoints of the same zone."""
    CELL = "cell"
    """The endpoints of the same cell."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        name: The name that requests refer to; unique among the classes of a service.
        latency_objective_ms: The latency up to which a response has its full value; above 0.
        deadline_ms: How long after the first attempt the client gives up; a later response has no value.
            Above 0.
        idempotency: Whether a request may be processed more than once.
        idempotency_scope: For a keyed class: which endpoints share its keys.
        idempotency_window_ms: For a keyed class: how long an endpoint remembers a key.
        priority_weight: The value of a response within the latency objective, relative to other classes; at
            least 0. Load of lower weight is shed first.
        late_value: The value of a response between the latency objective and the deadline, as a fraction of
            `priority_weight`, from 0 to 1.
        is_streaming: Whether the response is a stream; if so, the deadline applies to its first byte.
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
    """A customer with a quota.

    Attributes:
        name: The name that requests refer to.
        quota_per_s: The requests per second reserved for the tenant, summed over all balancers.
    """

    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        _check_name(self.name)
        _check_not_negative("quota_per_s", self.quota_per_s)


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one balancer instance.

    Attributes:
        classes: The request classes; at least one.
        tenants: The tenants with a quota. Requests of other tenants, or without a tenant, have no quota.
        balancers: The number of balancer instances in this tier, including this one. An endpoint receives
            the requests of all of them.
        tier: The number of tiers before this one; 0 for the tier that clients send requests to. Only the
            balancers of tier 0 shed load.
        zone: The zone that the instance runs in; empty if unknown.
        polls_discovery: Whether the policy must request the endpoint list with `WatchEndpoints`; if false,
            the host sends updates without a request.
        poll_deadline_ms: The maximum time between two polls of discovery. The backoff after failures does not
            exceed a third of this time.
        max_attempts: The maximum number of attempts of a request, including the first one and hedged ones.
        connect_timeout_ms: The time after which a connect fails. An attempt that needs a new connection may
            be sent up to this long after it starts.
        may_cancel: Whether an attempt in flight may be cancelled.
        may_hedge: Whether an attempt may start while an earlier one of the same request is in flight.
        may_health_check: Whether health checks are allowed. The policy sends none and ignores this setting.
        max_retry_after_ms: The maximum `Retry-After` of a rejection; 0 if rejections must not set it.
        slow_start_ms: How long an endpoint warms up after its process has started; 0 if endpoints start warm.
        slow_start_initial_fraction: The fraction of its full capacity that an endpoint has at its start,
            above 0. The fraction grows linearly to 1 over `slow_start_ms`.
        slow_start_overload_factor: A warming endpoint fails if it receives more work within one window than
            this multiple of its current capacity.
        slow_start_window_ms: The length of the window of `slow_start_overload_factor`.
        over_quota_weight: The value of a response to a request over its tenant's quota, as a fraction of the
            value of a response to a request within the quota, from 0 to 1.
        tick_ms: The resolution of the host's clock: timers may fire late by up to this time.
        load_report_fields: The field names of an endpoint's load report, in order. The policy does not use
            load reports.
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
