"""The configured behaviour of a stub upstream, and counts of its requests."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum


class UpstreamMode(Enum):
    """How an upstream handles requests."""

    SERVE = "serve"
    """Respond 200 with a body after the service time.

    If there is a next tier, the request is forwarded to it after the service time; if the next tier does not
    respond 200, the response is 500.
    """
    FAIL = "fail"
    """Respond 500 after the service time."""
    REJECT = "turn away"
    """Respond 503 with `X-Not-Run: 1` immediately, and 503 to health checks."""
    HANG = "hang"
    """Do not respond, not even to health checks."""
    RESET = "reset"
    """Reset the connection when a request or a health check has been received completely."""
    REFUSE_CONNECTIONS = "refuse"
    """Close the listener, so that new connections are refused, and reset open connections."""


@dataclass(frozen=True, slots=True)
class Behaviour:
    """The behaviour of an upstream.

    Attributes:
        mode: How it handles requests.
        fraction: The fraction of requests, from 0 to 1, that the mode applies to; the others are served.
        service_ms: The service time of a request in milliseconds.
    """

    mode: UpstreamMode = UpstreamMode.SERVE
    fraction: float = 1.0
    service_ms: float = 0.0


@dataclass(slots=True)
class UpstreamCounts:
    """Counts of an upstream since its start.

    Attributes:
        connections: Connections that were opened.
        requests: Requests that were received completely, excluding health checks.
        served: Requests with a 200 response.
        failed: Requests with a 500 response.
        rejected: Requests with a 503 response.
        hung: Requests that were left without a response.
        reset: Requests whose connection was reset.
        abandoned: Requests whose connection the balancer closed before the response, including hung ones.
        overlapping: Requests received while another was open on the connection, which the protocol forbids.
        health_checks: Health checks.
    """

    connections: int = 0
    requests: int = 0
    served: int = 0
    failed: int = 0
    rejected: int = 0
    hung: int = 0
    reset: int = 0
    abandoned: int = 0
    overlapping: int = 0
    health_checks: int = 0

    def __add__(self, other: UpstreamCounts) -> UpstreamCounts:
        names = [field.name for field in fields(self)]
        return UpstreamCounts(**{name: getattr(self, name) + getattr(other, name) for name in names})
