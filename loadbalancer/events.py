"""The events that `LoadBalancer.handle` accepts.

The host of a `LoadBalancer` passes it each event as it happens, in order and with the current time, and
carries out the actions that it returns (`loadbalancer.actions`). All times and durations are in milliseconds
on one monotonic clock. All types are frozen.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.endpoints import Endpoint
    from loadbalancer.timers import Timer


class EndpointListKind(enum.Enum):
    """Which entries an endpoint list update contains."""

    DELTA = "delta"
    """The new and changed entries; all others stay as they are."""
    SNAPSHOT = "full"
    """All entries; a known endpoint that has no entry has been removed."""
    CACHED = "cached"
    """All entries of the list in the configuration; discovery has not responded since the start."""
    FAILED = "failed"
    """No entries: discovery could not be reached, and the last list stays in use."""


class Outcome(enum.Enum):
    """How an attempt or a health check ended."""

    SUCCEEDED = "served"
    """The endpoint responded with success."""
    ERROR = "error"
    """The endpoint responded with an error; the request may have had an effect."""
    REJECTED = "rejected"
    """The endpoint responded that it did not process the request."""
    TIMED_OUT = "timed out"
    """No response came within the attempt's timeout."""
    CONNECT_FAILED = "connect failed"
    """No connection was established, so nothing was sent."""
    RESET = "reset"
    """The connection broke after something was sent."""
    CANCELLED = "cancelled"
    """The attempt was cancelled; the request may have had an effect."""
    NOT_SENT = "not sent"
    """The attempt ended before anything was sent."""
    UNKNOWN = "unknown"
    """The host does not know how the attempt ended; the request may have had an effect."""


UNPROCESSED_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
"""Outcomes of attempts that were certainly not processed, so any class allows a transparent retry.

This is a tuple because a lookup in a set would call `Enum.__hash__`, which is a Python function.
"""


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The endpoint list has changed, or discovery could not be reached.

    Attributes:
        kind: Whether `endpoints` is the complete list, the changes to it, or empty.
        endpoints: The entries of the update.
    """

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request has arrived; exactly one final response to it must be sent.

    Attributes:
        request_id: The id of the request in all later events and actions; unique among open requests.
        class_name: The name of the request's `RequestClass`.
        remaining_ms: The time from now until the request's deadline.
        tenant: The name of the tenant whose quota the request counts against; None if there is no tenant.
        is_client_retry: Whether the client marks the request as a retry. The policy does not use the mark:
            it infers a late retry from `remaining_ms`.
        cost_hint_ms: The expected processing time on one standard core; 0 if unknown.
        memory_use: The used fraction of the host's memory budget; above 1 if it is exceeded.
    """

    request_id: int
    class_name: str
    remaining_ms: float
    tenant: str | None = None
    is_client_retry: bool = False
    cost_hint_ms: float = 0.0
    memory_use: float = 0.0


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streaming response has begun: the deadline is met, and the policy must start no further attempt.

    Attributes:
        request_id: The id of the request.
        attempt_index: The index of the attempt that the response belongs to; see `AttemptFinished`.
    """

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has ended, with any outcome.

    Attributes:
        request_id: The id of the request.
        attempt_index: The index of the attempt among those of the request, from 0 in the order of the
            `StartAttempt` actions.
        endpoint: The name of the endpoint that the attempt was sent to.
        outcome: How the attempt ended.
        is_request_complete: Whether the request needs no further response: the client has the final response,
            from this attempt or another one, or has disconnected.
        load_report: The endpoint's load report, in the order of `Settings.load_report_fields`; empty if it
            sent none. The policy does not use it.
    """

    request_id: int
    attempt_index: int
    endpoint: str
    outcome: Outcome
    is_request_complete: bool = False
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has disconnected; the request needs no response.

    Attributes:
        request_id: The id of the request.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class HealthCheckFinished:
    """A health check has ended. The policy starts no health checks and ignores this event.

    Attributes:
        endpoint: The name of the endpoint that was checked.
        outcome: How the check ended.
        load_report: The endpoint's load report; see `AttemptFinished`.
    """

    endpoint: str
    outcome: Outcome
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` has fired.

    Attributes:
        timer: The value from the `SetTimer` action.
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
