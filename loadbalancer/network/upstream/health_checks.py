"""Health checks: one GET /healthz to an upstream, reported to the policy as an event."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from loadbalancer.events import Event, HealthCheckFinished, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from loadbalancer.network.upstream.attempt_starter import AttemptStarter
    from loadbalancer.network.upstream.response_reader import Response

HEALTH_CHECK_TIMEOUT_MS = 250.0
_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: upstream\r\n\r\n"


def _compose() -> bytes:
    return _REQUEST


class HealthChecks:
    """Starts health checks; `dispatch` gets a `HealthCheckFinished` for each."""

    def __init__(self, starter: AttemptStarter, dispatch: Callable[[Event], None]) -> None:
        self._starter = starter
        self._dispatch = dispatch

    def start(self, endpoint: str) -> None:
        """Check an endpoint; one that is in no list any more counts as not sent."""
        on_end = partial(self._on_end, endpoint)
        timeout_s = HEALTH_CHECK_TIMEOUT_MS / 1000
        if self._starter.start(endpoint, timeout_s, _compose, on_end) is None:
            self._on_end(endpoint, Outcome.NOT_SENT, None)

    def _on_end(self, endpoint: str, outcome: Outcome, _response: Response | None) -> None:
        self._dispatch(HealthCheckFinished(endpoint, outcome))
