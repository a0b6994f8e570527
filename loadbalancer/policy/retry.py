"""Retries by this balancer and by the client: retry budgets, hedging, and responses to failed requests.

A retry repeats a request of which an attempt may have been processed. A transparent retry repeats a request
of which no attempt was processed: its connection failed, or the endpoint rejected it unprocessed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.actions import FailRequest, RejectRequest
from loadbalancer.settings import Idempotency, Settings

if TYPE_CHECKING:
    from loadbalancer.policy.request import Request
    from loadbalancer.policy.service_times import ServiceTimes

# Tokens that a response earns; a retry takes one, so retries stay within a fifth of the responses.
RETRY_TOKENS_PER_RESPONSE = 0.2
# Tokens at the start: few, since balancers that restart during an outage must not feed it.
RETRY_INITIAL_TOKENS = 2.0
# Tokens saved at most: a short series of failures is retried, an outage is not.
RETRY_MAX_TOKENS = 10.0
# Tokens for transparent retries. A response earns two: if a lost zone takes half of the endpoints, the mean
# is one transparent retry for each response, and random variation may double it.
TRANSPARENT_RETRY_TOKENS_PER_RESPONSE = 2.0
# Tokens at the start: a full bucket, since a balancer may start while a zone is lost, and an attempt that is
# not processed costs the endpoints little.
TRANSPARENT_RETRY_INITIAL_TOKENS = 20.0
# Tokens saved at most: those of ten responses.
TRANSPARENT_RETRY_MAX_TOKENS = 20.0
# Delay of the hedged attempt, in mean service times of the class. A request of typical work has its response
# by then.
HEDGE_DELAY_SERVICE_TIMES = 4.0
# Upper bound of that delay, as a fraction of the attempt's timeout: the hedged attempt has the other half.
MAX_HEDGE_DELAY_FRACTION = 0.5


class RetryBudget:
    """A token bucket for retries that only responses fill.

    Guards against retries that multiply over the tiers: a failure at the end of a path reaches the balancers
    of every tier on it. If arriving requests earned tokens, each tier would add its fraction to the retries
    of the tier above, which arrive like other requests. A response passes each tier once: over d tiers the
    retries are at most d times what one response earns, for each response, plus the saved tokens of each
    balancer. The cost: where most attempts fail at random, fewer retries are made than would succeed.
    """

    def __init__(self, tokens_per_response: float, initial_tokens: float, max_tokens: float) -> None:
        self._tokens_per_response = tokens_per_response
        self._tokens = initial_tokens
        self._max_tokens = max_tokens

    def earn(self) -> None:
        """Add the tokens for a request that a successful attempt has answered."""
        self._tokens = min(self._max_tokens, self._tokens + self._tokens_per_response)

    def has_token(self) -> bool:
        """Return whether a token is left for one more attempt."""
        return self._tokens >= 1

    def spend(self) -> None:
        """Take the token for an attempt that has started."""
        self._tokens -= 1


class RetryBudgets:
    """The budget for retries and that for transparent retries."""

    def __init__(self) -> None:
        self._retries = RetryBudget(RETRY_TOKENS_PER_RESPONSE, RETRY_INITIAL_TOKENS, RETRY_MAX_TOKENS)
        self._transparent_retries = RetryBudget(
            TRANSPARENT_RETRY_TOKENS_PER_RESPONSE,
            TRANSPARENT_RETRY_INITIAL_TOKENS,
            TRANSPARENT_RETRY_MAX_TOKENS,
        )

    def budget_for(self, request: Request) -> RetryBudget:
        """Return the budget that the next attempt of a request takes its token from."""
        return self._retries if request.may_have_run() else self._transparent_retries

    def earn(self) -> None:
        """Add to both budgets the tokens for a request that a successful attempt has answered."""
        self._retries.earn()
        self._transparent_retries.earn()


class Hedging:
    """Decides when a hedged attempt may follow a first attempt without a response.

    Guards against endpoints that hang or have become slow, and against dropped connections. Hedged attempts
    add load: each takes a token of the retry budget, and overload suspends hedging.
    """

    def __init__(self, settings: Settings, service_times: ServiceTimes) -> None:
        self._is_enabled = settings.may_hedge
        self._max_attempts = settings.max_attempts
        self._service_times = service_times

    def delay_ms(self, request: Request, timeout_ms: float) -> float | None:
        """Return the hedging delay after the start of the next attempt; None if no hedged attempt may follow.

        The delay is `HEDGE_DELAY_SERVICE_TIMES` mean service times of the class, times the expected work of
        the request, and at most `MAX_HEDGE_DELAY_FRACTION` of the timeout. Where no hedged attempt may
        follow, the first attempt keeps its full timeout: to cut it short would lose the work done so far.
        """
        request_class = request.request_class
        is_idempotent = request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
        if not self._is_enabled or self._max_attempts == 1 or not is_idempotent or request.attempts:
            return None
        service_time = self._service_times.mean_ms(request_class.name)
        delay_ms = HEDGE_DELAY_SERVICE_TIMES * request.expected_work * service_time
        return min(delay_ms, MAX_HEDGE_DELAY_FRACTION * timeout_ms)

    def allows(self, request: Request) -> bool:
        """Return whether a request still waits for its first attempt, so that a hedged one may start."""
        return self._is_enabled and request.is_response_pending and len(request.attempts) == 1


class FailureResponses:
    """Decides the final response to a request that no endpoint has served."""

    def __init__(self, settings: Settings, service_times: ServiceTimes) -> None:
        self._max_retry_after_ms = settings.max_retry_after_ms
        self._service_times = service_times

    def response_to(self, request: Request) -> RejectRequest | FailRequest:
        """Return a rejection if the client may safely repeat the request, else a failure.

        The `Retry-After` of a rejection is the mean service time of the class, within the maximum of the
        settings: most attempts that are in flight now have finished by then.
        """
        if request.request_class.idempotency is Idempotency.SAFE or not request.may_have_run():
            service_time_ms = self._service_times.mean_ms(request.request_class.name)
            return RejectRequest(request.id, min(service_time_ms, self._max_retry_after_ms))
        return FailRequest(request.id)
