"""The warm-up ramp: the fraction of its capacity that a newly started endpoint has."""

from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.settings import Settings


class WarmupRamp:
    """The configured ramp over the age of a process."""

    def __init__(self, settings: Settings) -> None:
        self._duration_ms = settings.slow_start_ms
        self._missing_fraction = 1.0 - settings.slow_start_initial_fraction
        self.active_until = 0.0  # from here on every endpoint of the list is warm

    def update(self, ready: list[EndpointStats]) -> None:
        """The endpoint list has changed."""
        newest = max((e.entry.started_at_ms for e in ready), default=0.0)
        self.active_until = newest + self._duration_ms

    def fraction(self, endpoint: EndpointStats, now: float) -> float:
        """The fraction of its capacity that an endpoint has at the least, by its age."""
        started_at = endpoint.entry.started_at_ms
        age = now - started_at
        if started_at <= 0 or age >= self._duration_ms:
            return 1.0
        return 1.0 - self._missing_fraction * (1.0 - max(age, 0.0) / self._duration_ms)
