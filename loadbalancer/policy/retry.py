"""Retries by this balancer and by the client: retry budgets, hedging, and responses to failed requests.

A retry repeats a request that an endpoint may have processed. A transparent retry repeats a request that no
endpoint has processed: the connection failed, or the endpoint rejected the request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.actions import FailRequest, RejectRequest
from loadbalancer.settings import Idempotency, Settings

if TYPE_CHECKING:
    from loadbalancer.policy.request import Request
    from loadbalancer.policy.service_times import ServiceTimes

RETRY_TOKENS_PER_RESPONSE = 0.2
"""Tokens per response. A retry costs one token, so the long-term limit is one retry per five responses."""
RETRY_INITIAL_TOKENS = 2.0
"""Initial number of tokens; small, so that balancers restarting during an outage hardly add to the load."""
RETRY_MAX_TOKENS = 10.0
"""Size of the bucket: enough to retry a short series of failures, but not all failures of an outage."""
TRANSPARENT_RETRY_TOKENS_PER_RESPONSE = 2.0
"""Number of tokens for transparent retries that each response adds.

If half of the endpoints are lost with a zone, there is on average one transparent retry per response, and
random variation may double that number.
"""
TRANSPARENT_RETRY_INITIAL_TOKENS = 20.0
"""Initial number of tokens for transparent retries: a full bucket.

A balancer may start while a zone is down, and an attempt that is not processed adds little load to endpoints.
"""
TRANSPARENT_RETRY_MAX_TOKENS = 20.0
"""Size of the bucket for transparent retries: the tokens of ten responses."""
HEDGE_DELAY_SERVICE_TIMES = 4.0
"""Delay of a hedged attempt, in mean service times of the class; most responses have arrived by then."""
MAX_HEDGE_DELAY_FRACTION = 0.5
"""Upper bound of the hedging delay, as a fraction of the timeout; the rest remains for the hedged attempt."""


class RetryBudget:
    """A token bucket for retries; only responses refill it.

    This prevents retries from multiplying over the tiers. A failure in the last tier reaches the balancers of
    every tier before it. If arriving requests added tokens, each tier would earn further tokens from the
    retries of the tier before it, since these arrive as ordinary requests. A response, however, passes each
    tier once. So with d tiers there are at most d times `tokens_per_response` retries for each response, plus
    the tokens in the buckets of all balancers. The drawback is that, if most attempts fail at random, some
    retries that would succeed are not made.
    """

    def __init__(self, tokens_per_response: float, initial_tokens: float, max_tokens: float) -> None:
        self._tokens_per_response = tokens_per_response
        self._tokens = initial_tokens
        self._max_tokens = max_tokens

    def refill(self) -> None:
        """Add the tokens for one successful response."""
        self._tokens = min(self._max_tokens, self._tokens + self._tokens_per_response)

    def has_token(self) -> bool:
        """Return whether the bucket has a token for one more attempt."""
        return self._tokens >= 1

    def spend(self) -> None:
        """Remove one token for an attempt that has started."""
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
        """Return the budget that limits the next attempt of a request."""
        return self._retries if request.may_have_run() else self._transparent_retries

    def refill(self) -> None:
        """Add the tokens for one successful response to both budgets."""
        self._retries.refill()
        self._transparent_retries.refill()


class Hedging:
    """Decides when a hedged attempt may start if the first attempt has no response yet.

    Hedging helps if an endpoint hangs or has become slow, or if a connection has been dropped. Since hedged
    attempts add load, each one costs a token of the retry budget, and hedging is suspended during an
    overload.
    """

    def __init__(self, settings: Settings, service_times: ServiceTimes) -> None:
        self._is_enabled = settings.may_hedge
        self._max_attempts = settings.max_attempts
        self._service_times = service_times

    def delay_ms(self, request: Request, timeout_ms: float) -> float | None:
        """Return the hedging delay after the start of the next attempt; None if no hedged attempt may follow.

        The delay is `HEDGE_DELAY_SERVICE_TIMES` mean service times of the class, times the expected work of
        the request, but not more than `MAX_HEDGE_DELAY_FRACTION` of the timeout. Without hedging, the first
        attempt retains its full timeout: a shorter one would waste the work done so far.
        """
        request_class = request.request_class
        is_idempotent = request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
        if not self._is_enabled or self._max_attempts == 1 or not is_idempotent or request.attempts:
            return None
        service_time = self._service_times.mean_ms(request_class.name)
        delay_ms = HEDGE_DELAY_SERVICE_TIMES * request.expected_work * service_time
        return min(delay_ms, MAX_HEDGE_DELAY_FRACTION * timeout_ms)

    def allows(self, request: Request) -> bool:
        """Return whether a request may be hedged: whether it has no response and only one attempt."""
        return self._is_enabled and request.is_response_pending and len(request.attempts) == 1


class FailureResponses:
    """Determines the final response to a request that no endpoint has served."""

    def __init__(self, settings: Settings, service_times: ServiceTimes) -> None:
        self._max_retry_after_ms = settings.max_retry_after_ms
        self._service_times = service_times

    def response_to(self, request: Request) -> RejectRequest | FailRequest:
        """Return a rejection if the client may safely repeat the request, else a failure.

        The `Retry-After` of a rejection is the mean service time of the class, but not more than the settings
        allow. Most attempts in flight now will have finished by then.
        """
        if request.request_class.idempotency is Idempotency.SAFE or not request.may_have_run():
            service_time_ms = self._service_times.mean_ms(request.request_class.name)
            return RejectRequest(request.id, min(service_time_ms, self._max_retry_after_ms))
        return FailRequest(request.id)
