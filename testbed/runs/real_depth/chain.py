"""A chain of upstreams with real balancers between the tiers, and one of the same depth without balancers."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from testbed import settings
from testbed.balancer.real import SOURCE_TREE_COMMAND, RealBalancer, find_free_address
from testbed.discovery.service import Discovery
from testbed.http import client as http_client
from testbed.upstream.group import UpstreamGroup
from testbed.upstream.upstream import Upstream, forward_through

if TYPE_CHECKING:
    from testbed.upstream.connection import ReceivedRequest

_TIER_SIZE = 2
"""The number of upstreams in each tier, and of balancers that send to each tier."""
_START_BATCH_SIZE = 8
"""Balancers are started in batches of this size; each batch has to be ready before the next one starts."""


class RealChain:
    """Tiers of upstreams with real balancers between them, and a direct chain without balancers.

    Each tier has two upstreams, each with its own balancer that sends to the next tier; two front
    balancers send to the first tier. The direct chain has one upstream in each tier.
    """

    def __init__(self, seed: int, depth: int) -> None:
        self._depth = depth
        self._seeds = itertools.count(seed * 1_000)
        self._upstreams = UpstreamGroup(seed)
        self._discovery_services: list[Discovery] = []
        self.tiers: list[list[Upstream]] = []
        self.balancers: list[RealBalancer] = []
        self.front_clients: list[http_client.Client] = []
        """Clients that send to the front balancers."""
        self.direct_client: http_client.Client
        """A client that sends to the direct chain."""
        self.deadlines_ms: list[float] = []
        """The deadlines of the requests that reached the last tier."""

    async def start(self) -> None:
        """Start the upstreams and the balancers, and connect them once all balancers are ready."""
        await self._start_direct_chain()
        for tier in range(self._depth):
            await self._start_tier(tier)
        await self._start_balancers()
        self._connect_tiers()
        for upstream in self.tiers[-1]:
            upstream.on_request = self._record_deadline

    async def _start_direct_chain(self) -> None:
        """Start the direct chain."""
        upstreams = await self._upstreams.start(self._depth)
        for upstream, next_upstream in itertools.pairwise(upstreams):
            upstream.forward = forward_through(
                http_client.Client(next_upstream.address), http_client.request_ids(next(self._seeds))
            )
        self.direct_client = http_client.Client(upstreams[0].address)

    async def _start_tier(self, tier: int) -> None:
        """Start the upstreams of a tier and the discovery service that lists them."""
        self.tiers.append(await self._upstreams.start(_TIER_SIZE))
        self._discovery_services.append(Discovery())
        await self._discovery_services[tier].set_first_host(f"127.79.{tier}.1")
        self._discovery_services[tier].replace_entries(
            [
                settings.endpoint_entry(f"s-{tier:04x}{i:04x}", upstream.address)
                for i, upstream in enumerate(self.tiers[tier])
            ]
        )

    async def _start_balancers(self) -> None:
        """Start the balancers of every tier, in batches of `_START_BATCH_SIZE`."""
        configuration_texts = [
            self._configuration_text(tier, i) for tier in range(self._depth) for i in range(_TIER_SIZE)
        ]
        for batch_start in range(0, len(configuration_texts), _START_BATCH_SIZE):
            for configuration_text in configuration_texts[batch_start : batch_start + _START_BATCH_SIZE]:
                self.balancers.append(await RealBalancer.start(configuration_text, SOURCE_TREE_COMMAND))
            await asyncio.gather(*(balancer.wait_until_ready() for balancer in self.balancers[batch_start:]))

    def _configuration_text(self, tier: int, number: int) -> str:
        """Return the configuration of balancer `number` that sends to `tier`, both numbered from 0."""
        return settings.configuration_text(
            f"n{tier}-{number}",
            find_free_address(f"127.78.{tier}.{number + 1}"),
            self._discovery_services[tier].agent_address(number),
            self._discovery_services[tier].entries,
            settings.balancer_settings(balancers=_TIER_SIZE, tier=tier, familyInfo={"passesDeadline": True}),
            seed=next(self._seeds),
            list_version=self._discovery_services[tier].version,
        )

    def _connect_tiers(self) -> None:
        """Connect each upstream, except in the last tier, to the next tier through its own balancer."""
        clients = [http_client.Client(balancer.address) for balancer in self.balancers]
        self.front_clients = clients[:_TIER_SIZE]
        forwarding_upstreams = [upstream for tier in self.tiers[:-1] for upstream in tier]
        for upstream, client in zip(forwarding_upstreams, clients[_TIER_SIZE:], strict=True):
            upstream.forward = forward_through(client, http_client.request_ids(next(self._seeds)))

    def _record_deadline(self, request: ReceivedRequest) -> None:
        self.deadlines_ms.append(request.deadline_ms)

    def attempts_by_tier(self) -> list[int]:
        """Return the number of attempts at each tier so far."""
        return [sum(upstream.counts.requests for upstream in tier) for tier in self.tiers]

    async def stop(self) -> None:
        """Stop the balancers, the discovery services and the upstreams."""
        await asyncio.gather(*(balancer.stop() for balancer in self.balancers))
        for discovery in self._discovery_services:
            await discovery.stop()
        self._upstreams.close()
