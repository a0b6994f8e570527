"""Retry budgets: how many further attempts may be made, and when a hedged one is."""

from loadbalancer.policy.request import Request
from loadbalancer.policy.service_times import ServiceTimes
from loadbalancer.settings import Idempotency, Settings

# Tokens for retries where an attempt may have run. Endpoints that restart in an outage must not feed it.
RETRY_TOKENS_PER_RESPONSE = 0.2
RETRY_INITIAL_TOKENS = 2.0
RETRY_MAX_TOKENS = 10.0
# The same where none ran. Half of the endpoints may go with a zone: one a response, and one for chance.
RESEND_TOKENS_PER_RESPONSE = 2.0
RESEND_INITIAL_TOKENS = 20.0
RESEND_MAX_TOKENS = 20.0
# The hedged attempt is sent after so many mean service times, or after this part of the request's timeout.
HEDGE_SERVICE_TIMES = 4.0
HEDGE_TIMEOUT_FRACTION = 0.5


class RetryBudget:
    """A token bucket of further attempts, filled by responses and by nothing else.

    Guards against further attempts that multiply over the tiers: every balancer on a path sees a failure at
    its end, and if requests that arrive earned them, each tier would add its part to what the tier above
    added. A response is one, however many tiers it passes: over `d` tiers further attempts come to `d` times
    what a response earns, and where nothing is served to what the buckets held. It harms where most attempts
    fail at random, and many further ones would have been served.
    """

    def __init__(self, tokens_per_response: float, initial_tokens: float, max_tokens: float) -> None:
        self._tokens_per_response = tokens_per_response
        self._tokens = initial_tokens
        self._max_tokens = max_tokens

    def earn(self) -> None:
        """A request got its response from an endpoint."""
        self._tokens = min(self._max_tokens, self._tokens + self._tokens_per_response)

    def allows(self) -> bool:
        """Whether a further attempt may be made."""
        return self._tokens >= 1

    def spend(self) -> None:
        """A further attempt is made."""
        self._tokens -= 1


class RetryBudgets:
    """The two budgets: for requests of which an attempt may have run, and for those of which none did."""

    def __init__(self) -> None:
        self._retries = RetryBudget(RETRY_TOKENS_PER_RESPONSE, RETRY_INITIAL_TOKENS, RETRY_MAX_TOKENS)
        self._resends = RetryBudget(RESEND_TOKENS_PER_RESPONSE, RESEND_INITIAL_TOKENS, RESEND_MAX_TOKENS)

    def budget_for(self, request: Request) -> RetryBudget:
        """The budget that pays for the next attempt of this request."""
        return self._retries if request.may_have_run() else self._resends

    def earn(self) -> None:
        """A request got its response from an endpoint."""
        self._retries.earn()
        self._resends.earn()


class Hedging:
    """Tells when a hedged attempt may follow a first one that is silent.

    Guards against silence and slowness of any cause: hung or failing endpoints, dropped connections. It could
    harm by adding to an overload: it keeps to the retry budget, and an overload holds it back. Where no
    second attempt may be made, no time is kept for one: to cut the first short loses its work.
    """

    def __init__(self, settings: Settings, service_times: ServiceTimes) -> None:
        self._is_enabled = settings.may_hedge
        self._max_attempts = settings.max_attempts
        self._service_times = service_times

    def delay_ms(self, request: Request, timeout_ms: float) -> float | None:
        """How long to wait after the next attempt starts; None if no hedged attempt may follow it."""
        request_class = request.request_class
        is_idempotent = request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
        if not self._is_enabled or self._max_attempts == 1 or not is_idempotent or request.attempts:
            return None
        service_time = self._service_times.mean_ms(request_class.name)
        patience = HEDGE_SERVICE_TIMES * request.expected_work * service_time
        return min(patience, HEDGE_TIMEOUT_FRACTION * timeout_ms)

    def allows(self, request: Request) -> bool:
        """Whether the time for a hedged attempt has come to a request that still waits for its first one."""
        return self._is_enabled and request.is_response_pending and len(request.attempts) == 1
