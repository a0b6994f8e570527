"""Retries by this balancer and by the client: retry budgets, hedging, and responses to failed requests.

A retry repeats a request that an endpoint may have processed. A transparent retry repeats a request that no
endpoint has processed, because the connection failed or the endpoint rejected it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.actions import FailRequest, RejectRequest
from loadbalancer.settings import Idempotency, Settings

if TYPE_CHECKING:
    from loadbalancer.policy.request import Request
    from loadbalancer.policy.service_times import ServiceTimes

RETRY_TOKENS_PER_RESPONSE = 0.2
"""Tokens that a response adds; a retry takes one, so that retries are at most a fifth of the responses."""
RETRY_INITIAL_TOKENS = 2.0
"""Tokens at the start; few, since balancers that restart during an outage must not add to its load."""
RETRY_MAX_TOKENS = 10.0
"""Size of the bucket: enough to retry a short series of failures, not those of an outage."""
TRANSPARENT_RETRY_TOKENS_PER_RESPONSE = 2.0
"""Tokens for transparent retries that a response adds.

If half of the endpoints are lost with a zone, there is on average one transparent retry per response, and
random variation may double that.
"""
TRANSPARENT_RETRY_INITIAL_TOKENS = 20.0
"""Tokens for transparent retries at the start: a full bucket.

A balancer may start while a zone is down, and an attempt that is not processed costs the endpoints little.
"""
TRANSPARENT_RETRY_MAX_TOKENS = 20.0
"""Size of the bucket for transparent retries: the tokens of ten responses."""
HEDGE_DELAY_SERVICE_TIMES = 4.0
"""Delay of the hedged attempt, in mean service times of the class; most requests have a response by then."""
MAX_HEDGE_DELAY_FRACTION = 0.5
"""Upper bound of the hedging delay, as a fraction of the timeout; the rest is for the hedged attempt."""


class RetryBudget:
    """A token bucket for retries; only responses refill it.

    This keeps retries from multiplying over the tiers. A failure in the last tier reaches the balancers of
    every tier before it. If arriving requests added tokens, each tier would add its fraction to the retries
    of the tier before it, since those arrive as ordinary requests. A response, however, passes each tier
    once. So with d tiers there are at most d times `tokens_per_response` retries for each response, plus the
    tokens in the buckets of all balancers. The drawback is that, where most attempts fail at random, some
    retries that would succeed are not made.
    """

    def __init__(self, tokens_per_response: float, initial_tokens: float, max_tokens: float) -> None:
        self._tokens_per_response = tokens_per_response
        self._tokens = initial_tokens
        self._max_tokens = max_tokens

    def refill(self) -> None:
        """Add the tokens for the successful response to a request."""
        self._tokens = min(self._max_tokens, self._tokens + self._tokens_per_response)

    def has_token(self) -> bool:
        """Return whether there is a token for one more attempt."""
        return self._tokens >= 1

    def spend(self) -> None:
        """Take one token for an attempt that has started."""
        self._tokens -= 1


class RetryBudgets:
    """The budgets for retries and for transparent retries."""

    def __init__(self) -> None:
        self._retries = RetryBudget(RETRY_TOKENS_PER_RESPONSE, RETRY_INITIAL_TOKENS, RETRY_MAX_TOKENS)
        self._transparent_retries = RetryBudget(
            TRANSPARENT_RETRY_TOKENS_PER_RESPONSE,
            TRANSPARENT_RETRY_INITIAL_TOKENS,
            TRANSPARENT_RETRY_MAX_TOKENS,
        )

    def budget_for(self, request: Request) -> RetryBudget:
        """Return the budget that provides the token for the next attempt of a request."""
        return self._retries if request.may_have_run() else self._transparent_retries

    def refill(self) -> None:
        """Add the tokens for the successful response to a request to both budgets."""
        self._retries.refill()
        self._transparent_retries.refill()


class Hedging:
    """Decides when a hedged attempt may start if the first attempt has no response yet.

    Hedging covers endpoints that hang or have become slow, and dropped connections. Since hedged attempts add
    load, each one takes a token of the retry budget, and hedging is suspended during an overload.
    """

    def __init__(self, settings: Settings, service_times: ServiceTimes) -> None:
        self._is_enabled = settings.may_hedge
        self._max_attempts = settings.max_attempts
        self._service_times = service_times

    def delay_ms(self, request: Request, timeout_ms: float) -> float | None:
        """Return the hedging delay after the start of the next attempt; None if no hedged attempt may follow.

        The delay is `HEDGE_DELAY_SERVICE_TIMES` mean service times of the class, times the expected work of
        the request, and at most `MAX_HEDGE_DELAY_FRACTION` of the timeout. Without hedging, the first attempt
        keeps its full timeout: a shorter one would waste the work done so far.
        """
        request_class = request.request_class
        is_idempotent = request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
        if not self._is_enabled or self._max_attempts == 1 or not is_idempotent or request.attempts:
            return None
        service_time = self._service_times.mean_ms(request_class.name)
        delay_ms = HEDGE_DELAY_SERVICE_TIMES * request.expected_work * service_time
        return min(delay_ms, MAX_HEDGE_DELAY_FRACTION * timeout_ms)

    def allows(self, request: Request) -> bool:
        """Return whether a request is still waiting for its first attempt, so that a hedged one may start."""
        return self._is_enabled and request.is_response_pending and len(request.attempts) == 1


class FailureResponses:
    """Determines the final response to a request that no endpoint has served."""

    def __init__(self, settings: Settings, service_times: ServiceTimes) -> None:
        self._max_retry_after_ms = settings.max_retry_after_ms
        self._service_times = service_times

    def response_to(self, request: Request) -> RejectRequest | FailRequest:
        """Return a rejection if the client may safely repeat the request, else a failure.

        The `Retry-After` of a rejection is the mean service time of the class, limited by the settings: most
        attempts now in flight will have finished by then.
        """
        if request.request_class.idempotency is Idempotency.SAFE or not request.may_have_run():
            service_time_ms = self._service_times.mean_ms(request.request_class.name)
            return RejectRequest(request.id, min(service_time_ms, self._max_retry_after_ms))
        return FailRequest(request.id)
