"""Admission control: load is shed by priority weight, and by the quota of each tenant."""

from loadbalancer.policy.arrivals import LONG_TERM_REQUESTS
from loadbalancer.policy.overload import OverloadDetector
from loadbalancer.policy.peers import PeerEstimator
from loadbalancer.settings import RequestClass, Settings

PRIORITY_EXPONENT = 1 / 3  # of the priority weight: each class counts by itself, too, and must not starve
# Of the longest timeout that clients give a try; a shorter one tells a client's retry.
FULL_TIMEOUT_FRACTION = 0.9
MAX_TIMEOUT_DECAY_REQUESTS = LONG_TERM_REQUESTS  # the longest timeout fades by 1/e over so many requests
QUOTA_BURST_MS = 2_000.0  # a tenant may use this much of its quota at once


class Quotas:
    """Token buckets by tenant, for our part of its quota; a token is a request inside it."""

    def __init__(self, settings: Settings, peers: PeerEstimator) -> None:
        self._peers = peers
        self._per_ms = {t.name: t.quota_per_s / 1000 for t in settings.tenants}
        self._tokens: dict[str, float] = {}
        self._updated_at: dict[str, float] = {}

    def is_over_quota(self, tenant: str | None, now: float) -> bool:
        """Whether this tenant is past our part of its quota; tenants without one never are."""
        rate = self._per_ms.get(tenant or "")
        if rate is None or tenant is None:
            return False
        rate /= self._peers.count
        tokens = self._tokens.get(tenant, QUOTA_BURST_MS * rate)
        updated_at = self._updated_at.get(tenant, now)
        self._tokens[tenant] = min(QUOTA_BURST_MS * rate, tokens + (now - updated_at) * rate)
        self._updated_at[tenant] = now
        return self._tokens[tenant] < 1

    def spend(self, tenant: str | None) -> None:
        """Count a request that was admitted inside the quota."""
        if tenant in self._tokens:
            self._tokens[tenant] -= 1


class AdmissionControl:
    """Lets requests in or sheds them: the more important a request, the more attempts may be open."""

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
        """Whether a request that arrives now is let in; behind the first tier all are."""
        if not self._is_first_tier:
            return True
        is_over_quota = self._quotas.is_over_quota(tenant, now)
        importance: float = (request_class.priority_weight / self._max_priority_weight) ** PRIORITY_EXPONENT
        importance *= self._over_quota_weight if is_over_quota else 1.0
        if self._is_late_client_retry(request_class, remaining_ms):
            importance *= request_class.late_value
        if self._overload.is_overloaded(importance, now):
            return False
        if not is_over_quota:  # what is shed uses up nothing: its client may ask again
            self._quotas.spend(tenant)
        return True

    def _is_late_client_retry(self, request_class: RequestClass, remaining_ms: float) -> bool:
        """Whether it is a client's retry, past its latency objective before it came.

        Guards against clients that give each try a part of the deadline only: what is missing from it has
        not passed. A retry gets less than a first try only where little is left of the deadline.
        """
        known = self._max_client_timeout_ms[request_class.name]
        max_timeout_ms = max(remaining_ms, known * (1 - 1 / MAX_TIMEOUT_DECAY_REQUESTS))
        self._max_client_timeout_ms[request_class.name] = max_timeout_ms
        passed_ms = request_class.deadline_ms - remaining_ms
        is_retry = remaining_ms < FULL_TIMEOUT_FRACTION * max_timeout_ms
        return is_retry and passed_ms > request_class.latency_objective_ms
