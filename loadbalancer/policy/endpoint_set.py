"""The endpoints of the list, the subset of them that this balancer uses, and their warm-up fractions."""

import math
from random import Random

from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.events import EndpointListKind, EndpointListUpdate
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.settings import Settings

MIN_SUBSET_SIZE = 12
"""Minimum number of endpoints in the subset; several must remain after the loss of a few."""
BALANCERS_PER_ENDPOINT = 30
"""Mean number of balancers whose subsets contain a given endpoint.

The actual number is approximately a Poisson count, so its standard deviation over the endpoints is sqrt(30),
less than a fifth of the mean.
"""


class WarmupRamp:
    """Computes the warm-up fraction of an endpoint: its present capacity as a fraction of its full capacity.

    With the initial fraction i, the age a of the process and the slow-start time T, the fraction is
    1 - (1 - i) (1 - a / T): it increases linearly from i at the start of the process to 1 at the age T. Both
    i and T are settings.

    Attributes:
        active_until: The time at which the newest ready endpoint becomes warm, in milliseconds.
    """

    def __init__(self, settings: Settings) -> None:
        self._duration_ms = settings.slow_start_ms
        self._missing_fraction = 1.0 - settings.slow_start_initial_fraction
        self.active_until = 0.0

    def update(self, ready: list[EndpointStats]) -> None:
        """Compute `active_until` from the ready endpoints, after a change of the endpoint list."""
        newest = max((e.entry.started_at_ms for e in ready), default=0.0)
        self.active_until = newest + self._duration_ms

    def fraction(self, endpoint: EndpointStats, now: float) -> float:
        """Return the warm-up fraction of an endpoint: 1 if it is warm or its start time is unknown."""
        started_at = endpoint.entry.started_at_ms
        age = now - started_at
        if started_at <= 0 or age >= self._duration_ms:
            return 1.0
        return 1.0 - self._missing_fraction * (1.0 - max(age, 0.0) / self._duration_ms)


class EndpointSet:
    """The known endpoints: those of the list, and removed ones that still have attempts in flight.

    The subset consists of the ready endpoints with the lowest ranks. Its size is

        max(MIN_SUBSET_SIZE, ready endpoints * BALANCERS_PER_ENDPOINT / balancers)

    Each balancer draws a random rank once for each endpoint, so the subset is random but stable: a new
    endpoint replaces at most one endpoint of the subset.

    Without subsets, each of many balancers would send every endpoint too few requests to learn the endpoint's
    capacity or to reuse a connection.

    Attributes:
        warmup: The warm-up ramp of the endpoints in slow start.
        by_name: All known endpoints.
        ready: The endpoints that the endpoint list marks as ready.
        subset: The ready endpoints that this balancer sends requests to.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        self.warmup = WarmupRamp(settings)
        self._balancer_count = settings.balancers
        self._random = random
        self.by_name: dict[str, EndpointStats] = {}
        self.ready: list[EndpointStats] = []
        self.subset: list[EndpointStats] = []

    def update(self, event: EndpointListUpdate, now: float) -> None:
        """Apply a snapshot or a delta of the endpoint list."""
        if event.kind is not EndpointListKind.DELTA:
            # An endpoint that is missing from a snapshot has been removed.
            for endpoint in self.by_name.values():
                endpoint.is_ready = False
        for entry in event.endpoints:
            self._update_entry(entry, now)
        self.by_name = {name: e for name, e in self.by_name.items() if e.is_ready or e.in_flight}
        self.ready = [e for e in self.by_name.values() if e.is_ready]
        self.warmup.update(self.ready)
        size = math.ceil(len(self.ready) * BALANCERS_PER_ENDPOINT / self._balancer_count)
        self.subset = sorted(self.ready, key=lambda e: e.subset_rank)[: max(MIN_SUBSET_SIZE, size)]

    def _update_entry(self, entry: Endpoint, now: float) -> None:
        endpoint = self.by_name.get(entry.name)
        if endpoint is None:
            subset_rank = self._random.random()
            # The two ranks are independent: the digits from the seventh decimal on do not depend on the first
            # six, which determine the order of the subset ranks.
            slow_start_rank = subset_rank * 1e6 % 1.0
            endpoint = self.by_name[entry.name] = EndpointStats(entry, now, subset_rank, slow_start_rank)
        if entry.started_at_ms > endpoint.entry.started_at_ms:
            endpoint.reset(now)
        endpoint.entry = entry
        endpoint.is_ready = entry.state is EndpointState.READY
        # The endpoint list may contain weights that are zero, negative or not finite.
        endpoint.weight = entry.weight if 0 < entry.weight < math.inf else 1.0
