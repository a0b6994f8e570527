"""What a hollow upstream does with requests, and what became of them."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum


class UpstreamMode(Enum):
    """How an upstream meets requests."""

    SERVE = "serve"
    """200 and a body once the service time is over, or once the next tier has served."""
    FAIL = "fail"
    """500 once the service time is over."""
    REJECT = "turn away"
    """503 with `X-Not-Run: 1` at once, and 503 to health checks."""
    HANG = "hang"
    """No response, to health checks neither."""
    RESET = "reset"
    """The connection breaks after the request's last byte."""
    REFUSE = "refuse"
    """Nothing listens, and open connections are reset."""


@dataclass(frozen=True, slots=True)
class Behaviour:
    """What an upstream does.

    Attributes:
        mode: How it meets requests.
        fraction: The fraction (0 to 1) of the requests that the mode applies to; the others are served.
        service_ms: The time of its work on a request.
    """

    mode: UpstreamMode = UpstreamMode.SERVE
    fraction: float = 1.0
    service_ms: float = 0.0


@dataclass(slots=True)
class UpstreamCounts:
    """What came to an upstream since it began, and what became of it.

    Attributes:
        connections: Connections that were opened.
        requests: Requests whose last byte came, without health checks.
        served: Requests that got a 200.
        failed: Requests that got a 500.
        rejected: Requests that got a 503.
        hung: Requests that get no response.
        reset: Requests whose connection was reset.
        abandoned: Requests whose connection the balancer ended before the response, hung ones too.
        overlapping: Requests on a connection that had one open; the protocol allows none.
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
        names = [each.name for each in fields(self)]
        return UpstreamCounts(**{name: getattr(self, name) + getattr(other, name) for name in names})
