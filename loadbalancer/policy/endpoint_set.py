"""The endpoints of the list, the subset of them that this balancer uses, and their warm-up fractions."""

import math
from random import Random

from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.events import EndpointListKind, EndpointListUpdate
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.settings import Settings

MIN_SUBSET_SIZE = 12  # endpoints that a balancer keeps to at the least: losing a few must leave a choice
# Balancers that keep to each endpoint: their random shares then even out to a fifth.
BALANCERS_PER_ENDPOINT = 30


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


class EndpointSet:
    """The known endpoints."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.warmup = WarmupRamp(settings)
        self._balancers = settings.balancers
        self._random = random
        self.by_name: dict[str, EndpointStats] = {}
        self.ready: list[EndpointStats] = []  # those that the list says take requests
        self.subset: list[EndpointStats] = []  # those of them with the lowest ranks, which we keep to

    def update(self, event: EndpointListUpdate, now: float) -> None:
        """Take over a whole list or the changes to it."""
        if event.kind is not EndpointListKind.DELTA:
            for known in self.by_name.values():
                known.is_ready = False  # missing from a whole list means removed
        for entry in event.endpoints:
            self._update_entry(entry, now)
        self.by_name = {name: e for name, e in self.by_name.items() if e.is_ready or e.in_flight}
        self.ready = [e for e in self.by_name.values() if e.is_ready]
        # A balancer of hundreds calls each of all too seldom to learn it, or to use a connection twice.
        wanted = math.ceil(len(self.ready) * BALANCERS_PER_ENDPOINT / self._balancers)
        self.warmup.update(self.ready)
        self.subset = sorted(self.ready, key=lambda e: e.rank)[: max(MIN_SUBSET_SIZE, wanted)]

    def _update_entry(self, entry: Endpoint, now: float) -> None:
        endpoint = self.by_name.get(entry.name)
        if endpoint is None:
            rank = self._random.random()
            endpoint = self.by_name[entry.name] = EndpointStats(entry, now, rank, rank * 1e6 % 1.0)
        if entry.started_at_ms > endpoint.entry.started_at_ms:
            endpoint.reset(now)  # the same name, a new process
        endpoint.entry = entry
        endpoint.is_ready = entry.state is EndpointState.READY
        endpoint.weight = entry.weight if 0 < entry.weight < math.inf else 1.0  # a list may give odd ones
