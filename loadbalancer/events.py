"""What the policy takes: every event that `LoadBalancer.handle` understands.

Whoever runs a `LoadBalancer` (its host) passes it each event as it happens, in order, together with the
current time, and carries out the actions that it returns (`loadbalancer.actions`). All times and spans are
milliseconds on one clock that never goes backwards. Every type is a frozen value.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from loadbalancer.endpoints import Endpoint
from loadbalancer.timers import Timer


class EndpointListKind(enum.Enum):
    """What an endpoint list update carries."""

    DELTA = "delta"
    """Only the entries that are new or have changed; the others stay as they were."""
    SNAPSHOT = "full"
    """All entries; an endpoint that is missing has been removed."""
    CACHED = "cached"
    """All entries as they were last known when the instance started; discovery has not been reached yet."""
    FAILED = "failed"
    """No entries: discovery could not be reached, and the old list stands."""


class Outcome(enum.Enum):
    """How an attempt or a health check ended."""

    SUCCEEDED = "served"
    """The endpoint responded with success."""
    ERROR = "error"
    """The endpoint responded with an error; the request may have had an effect."""
    REJECTED = "rejected"
    """The endpoint responded that it did not begin the request."""
    TIMED_OUT = "timed out"
    """No response came within the attempt's timeout."""
    CONNECT_FAILED = "connect failed"
    """No connection came up, so nothing was sent."""
    RESET = "reset"
    """The connection broke after something was sent."""
    CANCELLED = "cancelled"
    """The attempt was cancelled; the request may have had an effect."""
    NOT_SENT = "not sent"
    """The attempt was over before anything was sent."""
    UNKNOWN = "unknown"
    """The host can't tell; the request may have had an effect."""


# A tuple: a look-up in a set would call `Enum.__hash__`, which is a Python function.
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
"""The outcomes that prove that an attempt had no effect: it may be repeated whatever its idempotency."""


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The endpoint list has changed, or could not be had.

    Attributes:
        kind: What `endpoints` is: the whole list, a change to it, or nothing.
        endpoints: The entries that the update carries.
    """

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request has arrived; it has to get exactly one final response.

    Attributes:
        request_id: The host's number for it, by which all later events and actions name it.
        class_name: The name of its `RequestClass`.
        remaining_ms: How long the client still waits, from now.
        tenant: The tenant that it counts for, or None.
        is_client_retry: Whether the client says that it repeats an earlier request. Nothing is decided by it:
            the policy infers a late retry from `remaining_ms`.
        cost_hint_ms: The work that it is expected to be, in milliseconds of a standard core; 0 if not known.
    """

    request_id: int
    class_name: str
    remaining_ms: float
    tenant: str | None = None
    is_client_retry: bool = False
    cost_hint_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streaming response has begun: its deadline no longer runs, and no further attempt may be made.

    Attributes:
        request_id: The request that it responds to.
        attempt_index: The attempt whose response it is.
    """

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt is over, whatever way it ended.

    Attributes:
        request_id: The request that the attempt was made for.
        attempt_index: Which of the request's attempts, counted from 0 in the order of `StartAttempt`.
        endpoint: The name of the endpoint it was sent to.
        outcome: How it ended.
        is_answered: Whether nothing is owed to the client any more: it has its final response, by this
            attempt or otherwise, or it has gone.
        load_report: The figures that the endpoint reports of its load, in the order of
            `Settings.load_report_fields`. Nothing is decided by them.
    """

    request_id: int
    attempt_index: int
    endpoint: str
    outcome: Outcome
    is_answered: bool = False
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has gone; nothing more is owed for the request.

    Attributes:
        request_id: The request that it had sent.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class HealthCheckFinished:
    """A health check is over. The policy starts none, and decides nothing by this event.

    Attributes:
        endpoint: The name of the endpoint that was checked.
        outcome: How the check ended.
        load_report: The figures that the endpoint reports of its load; see `AttemptFinished`.
    """

    endpoint: str
    outcome: Outcome
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` has come due.

    Attributes:
        timer: The value that the timer was set with.
    """

    timer: Timer


Event = (
    EndpointListUpdate
    | RequestReceived
    | ResponseStarted
    | AttemptFinished
    | ClientDisconnected
    | HealthCheckFinished
    | TimerFired
)
