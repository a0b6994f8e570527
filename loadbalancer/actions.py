"""The actions that `LoadBalancer.handle` returns.

The host carries out the actions returned for an event in order, and reports their results as events
(`loadbalancer.events`). All times and durations are in milliseconds on one monotonic clock. All types are
frozen.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.timers import Timer


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to an endpoint; the host reports the outcome with `AttemptFinished`.

    The attempts of a request are numbered from 0 in the order of these actions.

    Attributes:
        request_id: The id from `RequestReceived`.
        endpoint: The name of the endpoint.
        timeout_ms: The time from now until the attempt times out.
    """

    request_id: int
    endpoint: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight; the host then reports the outcome with `AttemptFinished`.

    Attributes:
        request_id: The id of the request.
        attempt_index: The index of the attempt among those of the request.
    """

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Respond that the client may safely retry the request.

    Either no attempt was processed, or the class of the request is `Idempotency.SAFE`.

    Attributes:
        request_id: The id of the request.
        retry_after_ms: The time that the client should wait before it retries; 0 to suggest none.
    """

    request_id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Respond that the request failed; it may have had an effect.

    Attributes:
        request_id: The id of the request.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer; the host reports with `TimerFired` that the timer has fired.

    Attributes:
        at_ms: The time at which the timer fires, on the clock of the events.
        timer: The value to return in `TimerFired`.
    """

    at_ms: float
    timer: Timer


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Send a health check to an endpoint; the host reports the result with `HealthCheckFinished`.

    The policy never returns this action: it assesses endpoints by the outcomes of attempts.

    Attributes:
        endpoint: The name of the endpoint to check.
    """

    endpoint: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint, so that the next attempt opens a new one.

    Attributes:
        endpoint: The name of the endpoint.
    """

    endpoint: str


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Start to watch the endpoint list; the host reports each update with `EndpointListUpdate`."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the operator's log.

    Attributes:
        text: The line.
    """

    text: str


Action = (
    StartAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | StartHealthCheck
    | CloseIdleConnections
    | WatchEndpoints
    | LogMessage
)
