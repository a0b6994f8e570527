"""The idempotency rules: which endpoints may get a further attempt of a request."""

from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.policy.request import Request
from loadbalancer.settings import Idempotency, IdempotencyScope, Settings


class IdempotencyRules:
    """Limits the endpoints for the next attempt to those at which no effect of a request can double."""

    def __init__(self, settings: Settings, endpoints: EndpointSet) -> None:
        self._settings = settings
        self._endpoints = endpoints

    def eligible(self, request: Request, now: float) -> list[EndpointStats]:
        """Return the endpoints that may get the next attempt of a request.

        That is the balancer's subset if no attempt may have run or the class is safe to repeat, and none if
        the class is not idempotent. For a class with idempotency keys it is the endpoints that know the key
        of the first attempt that may have run: those in the key's scope, within its window.

        Guards against a retry that arrives after the window: the retry may be sent only after a connect, so
        the window must last for more than the clock's resolution plus the connect timeout from now.
        Guards against an endpoint that has restarted since the first attempt, and so may have forgotten the
        key.
        """
        request_class = request.request_class
        first = next((a for a in request.attempts if a.may_have_run), None)
        if first is None or request_class.idempotency is Idempotency.SAFE:
            return self._endpoints.subset
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return []
        latest_arrival = now + self._settings.tick_ms + self._settings.connect_timeout_ms
        if latest_arrival >= first.started_at + request_class.idempotency_window_ms:
            return []
        ready = [e for e in self._endpoints.ready if e.entry.started_at_ms <= first.started_at]
        if request_class.idempotency_scope is IdempotencyScope.ALL:
            return ready
        entry = first.endpoint.entry
        if request_class.idempotency_scope is IdempotencyScope.ZONE:
            return [e for e in ready if e.entry.zone == entry.zone]
        return [e for e in ready if e.entry.cell == entry.cell]
