"""The idempotency rules: where another attempt of a request can do no harm."""

from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.policy.request import Request
from loadbalancer.settings import Idempotency, IdempotencyScope, Settings


class IdempotencyRules:
    """Tells the endpoints that may be sent the next attempt of a request without a doubled effect."""

    def __init__(self, settings: Settings, endpoints: EndpointSet) -> None:
        self._settings = settings
        self._endpoints = endpoints

    def eligible(self, request: Request, now: float) -> list[EndpointStats]:
        """Our subset if no attempt may have run, else the endpoints that drop repeats of that attempt."""
        request_class = request.request_class
        first = next((a for a in request.attempts if a.may_have_run), None)
        if first is None or request_class.idempotency is Idempotency.SAFE:
            return self._endpoints.subset
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return []
        begins_at = now + self._settings.tick_ms + self._settings.connect_timeout_ms  # at the latest
        if begins_at >= first.sent_at + request_class.idempotency_window_ms:
            return []
        # An endpoint that restarted since may have forgotten what it saw: it is not asked again.
        ready = [e for e in self._endpoints.ready if e.entry.started_at_ms <= first.sent_at]
        if request_class.idempotency_scope is IdempotencyScope.ALL:
            return ready
        entry = first.endpoint.entry
        if request_class.idempotency_scope is IdempotencyScope.ZONE:
            return [e for e in ready if e.entry.zone == entry.zone]
        return [e for e in ready if e.entry.cell == entry.cell]
