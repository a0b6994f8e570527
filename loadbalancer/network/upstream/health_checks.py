"""Health checks: each sends GET /healthz to an upstream and reports the outcome to the policy."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from loadbalancer.events import Event, HealthCheckFinished, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from loadbalancer.network.response_parser import Response
    from loadbalancer.network.upstream.attempt_factory import UpstreamAttemptFactory

HEALTH_CHECK_TIMEOUT_MS = 250.0
"""Time limit of a health check, including the time to connect."""

_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: upstream\r\n\r\n"


def _encode_request() -> bytes:
    return _REQUEST


class HealthChecks:
    """Starts health checks.

    Args:
        attempt_factory: Starts attempts at endpoints.
        dispatch: Passes an event to the policy: one `HealthCheckFinished` for each health check.
    """

    def __init__(self, attempt_factory: UpstreamAttemptFactory, dispatch: Callable[[Event], None]) -> None:
        self._attempt_factory = attempt_factory
        self._dispatch = dispatch

    def start(self, endpoint: str) -> None:
        """Start a health check; the outcome is `NOT_SENT` if the endpoint has left the endpoint list."""
        on_end = partial(self._on_end, endpoint)
        timeout_s = HEALTH_CHECK_TIMEOUT_MS / 1000
        if self._attempt_factory.start_attempt(endpoint, timeout_s, _encode_request, on_end) is None:
            self._on_end(endpoint, Outcome.NOT_SENT, None)

    def _on_end(self, endpoint: str, outcome: Outcome, _response: Response | None) -> None:
        self._dispatch(HealthCheckFinished(endpoint, outcome))
