"""Simulated chains: tiers of servers, each of which calls the next tier through the real policy.

Each server, except in the last tier, has its own `LoadBalancer`, which sends to the next tier; front
balancers receive the client requests and send to the first tier (PROTOCOL page, "Callers to balancers").
Tiers are numbered from 1. This is a discrete-event simulation on
one virtual clock: it opens no sockets and never sleeps, and all random numbers are derived from the seed.
"""

from __future__ import annotations

import random

from testbed.chain.host import BalancerHost
from testbed.chain.request import ChainRecorder, ClientRequest
from testbed.chain.server import Behaviour, Server
from testbed.chain.settings import ChainSettings, ServiceModel
from testbed.virtual_clock import VirtualClock


class Chain:
    """The tiers of servers, the front balancers and the client requests.

    Attributes:
        settings: The size of the chain and the limits of its balancers.
        clock: The virtual clock.
        recorder: Records the events and attempts of all balancers.
        client_requests: The client requests, in the order of their arrival.
        tiers: The servers, by tier.
        front_balancers: The front balancers.
    """

    def __init__(self, settings: ChainSettings, seed: int) -> None:
        self.settings = settings
        self.clock = VirtualClock()
        self.recorder = ChainRecorder(settings.depth, settings.request_class.deadline_ms)
        self.client_requests: list[ClientRequest] = []
        # The suffix selects one of several random streams of a seed; another suffix would change all results.
        self._front_random = random.Random(f"{seed}:doors")
        self._seed_random = random.Random(f"{seed}:balancers")
        model = ServiceModel(settings, seed)
        self.tiers = [
            [Server(f"t{tier}-{i}", self.clock, settings, model) for i in range(settings.servers_per_tier)]
            for tier in range(1, settings.depth + 1)
        ]
        self.front_balancers = [self._start_balancer(1) for _ in range(settings.front_balancer_count)]
        for tier, servers in enumerate(self.tiers[:-1], start=1):
            for server in servers:
                server.balancer = self._start_balancer(tier + 1)

    def _start_balancer(self, tier: int) -> BalancerHost:
        """Start a balancer that sends to the servers of `tier`."""
        seed = self._seed_random.getrandbits(32)
        servers = self.tiers[tier - 1]
        return BalancerHost(self.settings, self.clock, self.recorder, tier, servers, seed)

    def send_request(self, phase: int) -> None:
        """Send a client request now, to a front balancer chosen at random."""
        request = ClientRequest(self.clock, phase)
        self.client_requests.append(request)
        front_balancer = self.front_balancers[self._front_random.randrange(len(self.front_balancers))]
        front_balancer.receive(request, request, self.settings.request_class.deadline_ms)

    def set_behaviour(
        self, tier: int, count: int, behaviour: Behaviour, failure_fraction: float = 1.0
    ) -> None:
        """Set the behaviour of the first `count` servers of `tier`."""
        for server in self.tiers[tier - 1][:count]:
            server.behaviour = behaviour
            server.failure_fraction = failure_fraction
