"""Admission control: sheds requests by their priority weight, tenant quota and lateness.

docs/POLICY.md has the formulas and the reasons for the constants.
"""

from loadbalancer.policy.arrivals import LONG_TERM_REQUESTS
from loadbalancer.policy.balancer_count import BalancerCountEstimator
from loadbalancer.policy.overload import OverloadDetector
from loadbalancer.settings import RequestClass, Settings

PRIORITY_EXPONENT = 1 / 3
"""Exponent applied to the relative priority weight, the weight of a class divided by the largest weight.

With an exponent of 1, a class with an eighth of the largest weight is shed as early as requests over quota.
With 1/2, the number of requests served is still below the required minimum for one class.
"""
FULL_TIMEOUT_FRACTION = 0.9
"""A request counts as a client retry if it has less than this fraction of the class's longest remaining time.

The remaining time of a client retry is shorter than the longest one seen for the class, since the client's
first try has used up part of the deadline.
"""
MAX_TIMEOUT_DECAY_REQUESTS = LONG_TERM_REQUESTS
"""Time constant of the exponential decay of a class's longest remaining time, in requests of that class.

Without the decay, the value would remain too high after clients shorten their timeouts.
"""
QUOTA_BURST_MS = 2_000.0
"""Time, in ms, in which a tenant's quota fills an empty bucket; it determines the largest burst.

Increasing the bucket size with the square root of the number of balancers has no advantage.
"""

MEMORY_SHEDDING_START = 0.9
"""Used fraction of the memory budget from which on requests of a class without priority weight are shed."""


class MemoryPressure:
    """Sheds requests while the host's memory is short, those of the lowest priority weight first."""

    def __init__(self, settings: Settings) -> None:
        self._max_priority_weight = max(c.priority_weight for c in settings.classes) or 1.0

    def admits(self, request_class: RequestClass, memory_use: float) -> bool:
        """Return whether there is memory for a request.

        Args:
            request_class: The class of the request.
            memory_use: The used fraction of the memory budget; above 1 if the budget is exceeded.
        """
        importance: float = (request_class.priority_weight / self._max_priority_weight) ** PRIORITY_EXPONENT
        return memory_use <= MEMORY_SHEDDING_START + (1 - MEMORY_SHEDDING_START) * importance


class Quotas:
    """Limits each tenant with a token bucket; each request costs one token.

    The bucket is refilled at the rate of this balancer's share of the quota. Each balancer's share is the
    quota divided by the number of balancers; this assumes that a tenant's requests are spread evenly over the
    balancers. A tenant whose quota per balancer is below 1 / QUOTA_BURST_MS (0.5 requests per second) always
    counts as over quota, since its bucket is too small for one token.
    """

    def __init__(self, settings: Settings, balancer_count: BalancerCountEstimator) -> None:
        self._balancer_count = balancer_count
        self._rate_per_ms = {t.name: t.quota_per_s / 1000 for t in settings.tenants}
        self._tokens: dict[str, float] = {}
        self._updated_at: dict[str, float] = {}

    def is_over_quota(self, tenant: str | None, now: float) -> bool:
        """Return whether the tenant's bucket has no token left; False for a tenant without a quota."""
        rate = self._rate_per_ms.get(tenant or "")
        if rate is None or tenant is None:
            return False
        rate /= self._balancer_count.estimate
        tokens = self._tokens.get(tenant, QUOTA_BURST_MS * rate)
        updated_at = self._updated_at.get(tenant, now)
        self._tokens[tenant] = min(QUOTA_BURST_MS * rate, tokens + (now - updated_at) * rate)
        self._updated_at[tenant] = now
        return self._tokens[tenant] < 1

    def spend(self, tenant: str | None) -> None:
        """Remove one token for a request that was admitted within the quota."""
        if tenant in self._tokens:
            self._tokens[tenant] -= 1


class AdmissionControl:
    """Admits or sheds requests: the more important a request, the higher the load at which it is shed.

    The importance, from 0 to 1, is the relative priority weight of the class to the power of
    PRIORITY_EXPONENT. It is multiplied by `over_quota_weight` for a request over quota, and by the class's
    `late_value` for a late client retry.
    """

    def __init__(self, settings: Settings, overload: OverloadDetector, quotas: Quotas) -> None:
        self._is_first_tier = settings.tier == 0
        self._overload = overload
        self._quotas = quotas
        self._max_priority_weight = max(c.priority_weight for c in settings.classes) or 1.0
        self._over_quota_weight = settings.over_quota_weight
        self._max_client_timeout_ms = {c.name: 0.0 for c in settings.classes}

    def admits(
        self, request_class: RequestClass, tenant: str | None, remaining_ms: float, now: float
    ) -> bool:
        """Return whether to admit a request that arrives now.

        Only the first tier sheds load: shedding in later tiers would waste the work done by earlier ones.
        """
        if not self._is_first_tier:
            return True
        is_over_quota = self._quotas.is_over_quota(tenant, now)
        importance: float = (request_class.priority_weight / self._max_priority_weight) ** PRIORITY_EXPONENT
        importance *= self._over_quota_weight if is_over_quota else 1.0
        if self._is_late_client_retry(request_class, remaining_ms):
            importance *= request_class.late_value
        if self._overload.is_overloaded(importance, now):
            return False
        # A shed request spends no token: if the client retried, the request would be charged twice.
        if not is_over_quota:
            self._quotas.spend(tenant)
        return True

    def _is_late_client_retry(self, request_class: RequestClass, remaining_ms: float) -> bool:
        """Return whether a request is a client retry whose latency objective has already passed.

        The client is estimated to have sent the request for the first time `deadline_ms - remaining_ms` ago.
        However, a request whose remaining time is close to the longest one seen for its class is not
        considered a retry: some clients give each try only a fraction of the class's deadline, so a short
        remaining time alone does not mean that the client has tried before.
        """
        decayed_ms = self._max_client_timeout_ms[request_class.name] * (1 - 1 / MAX_TIMEOUT_DECAY_REQUESTS)
        max_timeout_ms = max(remaining_ms, decayed_ms)
        self._max_client_timeout_ms[request_class.name] = max_timeout_ms
        elapsed_ms = request_class.deadline_ms - remaining_ms
        is_retry = remaining_ms < FULL_TIMEOUT_FRACTION * max_timeout_ms
        return is_retry and elapsed_ms > request_class.latency_objective_ms
