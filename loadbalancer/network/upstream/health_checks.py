"""Health checks: each is one GET /healthz to an upstream, of which the policy gets the outcome."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from loadbalancer.events import Event, HealthCheckFinished, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from loadbalancer.network.response_parser import Response
    from loadbalancer.network.upstream.attempt_starter import AttemptStarter

HEALTH_CHECK_TIMEOUT_MS = 250.0
"""Time limit of a health check, including the time to connect."""

_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: upstream\r\n\r\n"


def _compose() -> bytes:
    return _REQUEST


class HealthChecks:
    """Starts health checks.

    Args:
        starter: Starts attempts at endpoints.
        dispatch: Passes an event to the policy: one `HealthCheckFinished` for each health check.
    """

    def __init__(self, starter: AttemptStarter, dispatch: Callable[[Event], None]) -> None:
        self._starter = starter
        self._dispatch = dispatch

    def start(self, endpoint: str) -> None:
        """Check an endpoint; the outcome is `NOT_SENT` if no endpoint list names the endpoint any more."""
        on_end = partial(self._on_end, endpoint)
        timeout_s = HEALTH_CHECK_TIMEOUT_MS / 1000
        if self._starter.start(endpoint, timeout_s, _compose, on_end) is None:
            self._on_end(endpoint, Outcome.NOT_SENT, None)

    def _on_end(self, endpoint: str, outcome: Outcome, _response: Response | None) -> None:
        self._dispatch(HealthCheckFinished(endpoint, outcome))
