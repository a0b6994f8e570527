"""The idempotency rules: they determine which endpoints may receive another attempt of a request."""

from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.policy.request import Request
from loadbalancer.settings import Idempotency, IdempotencyScope, Settings


class IdempotencyRules:
    """Restricts attempts to endpoints where the request cannot take effect a second time."""

    def __init__(self, settings: Settings, endpoints: EndpointSet) -> None:
        self._settings = settings
        self._endpoints = endpoints

    def eligible(self, request: Request, now: float) -> list[EndpointStats]:
        """Return the endpoints that may receive the next attempt of a request.

        - If the class is safe to repeat, or it is certain that no earlier attempt has run: the balancer's
          subset.
        - If the class is not idempotent: none.
        - If the class uses idempotency keys: the ready endpoints in the scope of the key, as long as the
          idempotency window is open. They know the key from the first attempt that may have run, except those
          that have restarted since then; these may have lost the key and are excluded.

        A retry must arrive before the window ends. It may first have to open a connection, so the window must
        remain open for longer than the clock's resolution plus the connect timeout.
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
