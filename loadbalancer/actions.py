"""What the policy returns: every action that its host has to carry out.

The host carries out the actions of one event in their order, and passes what they bring about back as events
(`loadbalancer.events`). All times and spans are milliseconds on one clock that never goes backwards. Every
type is a frozen value.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.timers import Timer


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to an endpoint; the host reports the end with `AttemptFinished`.

    Attempts of a request are counted from 0 in the order of these actions.

    Attributes:
        request_id: The request, as `RequestReceived` named it.
        endpoint: The name of the endpoint to send it to.
        timeout_ms: How long to wait for the response, from now.
    """

    request_id: int
    endpoint: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt that is still out; it ends as any other does, with `AttemptFinished`.

    Attributes:
        request_id: The request that the attempt was made for.
        attempt_index: Which of the request's attempts.
    """

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Respond that the client may safely send the request again: it never ran, or is safe to repeat.

    Attributes:
        request_id: The request to respond to.
        retry_after_ms: How long the client should wait before that; 0 leaves it to the client.
    """

    request_id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Respond that the request failed; it may have had an effect.

    Attributes:
        request_id: The request to respond to.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` event at a given time.

    Attributes:
        at_ms: When it should fire, on the clock of the events.
        timer: The value that the event has to bring back.
    """

    at_ms: float
    timer: Timer


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Send one health check to an endpoint; the host reports the end with `HealthCheckFinished`.

    The policy never returns this action: attempts are all the evidence it uses.

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
    """Open the standing watch on the endpoint list; its updates arrive as `EndpointListUpdate`."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line for the operator.

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
