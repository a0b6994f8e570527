"""The settings of a simulated chain, and the random model of its servers' service times and failures."""

from __future__ import annotations

import random
from dataclasses import dataclass

from loadbalancer.settings import RequestClass, Settings


@dataclass(frozen=True, slots=True)
class ChainSettings:
    """The size of a chain, the capacity of its servers and the limits of its balancers.

    Attributes:
        depth: The number of tiers of servers.
        request_class: The class of every request.
        servers_per_tier: The number of servers in each tier; each has a balancer, except in the last tier.
        front_balancer_count: The number of front balancers, which receive the client requests.
        hop_ms: The network latency of a message between two machines.
        service_ms: The mean service time of a server's own work on a request.
        constant_service_time: Whether service times are constant instead of exponentially distributed.
        workers: The limit on requests that a server works on concurrently; 0 for no limit.
        max_queued: The limit on requests that wait at a server; further requests are rejected.
        max_attempts: The limit on attempts per request at each balancer.
        may_cancel: Whether a balancer may cancel attempts.
        may_hedge: Whether a balancer may send hedged requests.
    """

    depth: int
    request_class: RequestClass
    servers_per_tier: int = 6
    front_balancer_count: int = 6
    hop_ms: float = 0.2
    service_ms: float = 1.0
    constant_service_time: bool = False
    workers: int = 64
    max_queued: int = 64
    max_attempts: int = 4
    may_cancel: bool = True
    may_hedge: bool = False

    def balancer_settings(self, tier: int) -> Settings:
        """Return the settings of a balancer in a tier; tier 0 consists of the front balancers."""
        return Settings(
            classes=(self.request_class,),
            balancers=self.servers_per_tier if tier else self.front_balancer_count,
            tier=tier,
            max_attempts=self.max_attempts,
            may_cancel=self.may_cancel,
            may_hedge=self.may_hedge,
        )


class ServiceModel:
    """Draws service times and failures from two random streams, which all servers of a chain share."""

    def __init__(self, settings: ChainSettings, seed: int) -> None:
        self._settings = settings
        # The suffix selects one of several random streams of a seed; another suffix would change all results.
        self._service_random = random.Random(f"{seed}:service")
        self._failure_random = random.Random(f"{seed}:fate")

    def draw_service_ms(self) -> float:
        """Draw the service time of one request."""
        mean_ms = self._settings.service_ms
        if self._settings.constant_service_time or not mean_ms:
            return mean_ms
        return self._service_random.expovariate(1 / mean_ms)

    def draw_failure(self, fraction: float) -> bool:
        """Draw whether a request fails.

        The probability is `fraction`; from 1 on, every request fails and nothing is drawn.
        """
        return fraction >= 1 or self._failure_random.random() < fraction
