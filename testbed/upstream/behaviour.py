"""The configured behaviour of a hollow upstream, and counts of its requests."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum


class UpstreamMode(Enum):
    """How an upstream treats requests."""

    SERVE = "serve"
    """Respond 200 with a body after the service time, and after the next tier if there is one."""
    FAIL = "fail"
    """Respond 500 after the service time."""
    REJECT = "turn away"
    """Respond 503 with `X-Not-Run: 1` at once, and 503 to health checks."""
    HANG = "hang"
    """Do not respond, not even to health checks."""
    RESET = "reset"
    """Reset the connection after the request's last byte."""
    REFUSE = "refuse"
    """Close the listener and reset open connections."""


@dataclass(frozen=True, slots=True)
class Behaviour:
    """The behaviour of an upstream.

    Attributes:
        mode: How it treats requests.
        fraction: The fraction (0 to 1) of the requests that the mode applies to; the others are served.
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
        requests: Requests that were received completely, without health checks.
        served: Requests that got a 200.
        failed: Requests that got a 500.
        rejected: Requests that got a 503.
        hung: Requests that get no response.
        reset: Requests whose connection was reset.
        abandoned: Requests whose connection the balancer closed before the response, including hung ones.
        overlapping: Requests on a connection that had one open, which the protocol does not allow.
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
