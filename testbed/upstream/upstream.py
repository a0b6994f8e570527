"""A stub upstream: an HTTP server that does no work (PROTOCOL page).

It handles requests according to its behaviour, counts them, and may forward them to the next tier.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import TYPE_CHECKING

from testbed.http.client import Client, Clock, compose_request
from testbed.upstream.behaviour import Behaviour, UpstreamCounts, UpstreamMode
from testbed.upstream.connection import ReceivedRequest, UpstreamConnection

if TYPE_CHECKING:
    import random

    from loadbalancer.configuration import Address

LISTEN_BACKLOG = 512
NOT_RUN_HEADERS = ("X-Not-Run: 1",)

Forward = Callable[[ReceivedRequest, float], Awaitable[int]]
"""Forwards a request to the next tier with a timeout in milliseconds, and returns the response status."""


def forward_through(client: Client, request_ids: Iterator[str]) -> Forward:
    """Return a function that forwards a request to the next tier through a client, under a new id."""

    async def forward(request: ReceivedRequest, remaining_ms: float) -> int:
        message = compose_request(
            request.class_name, next(request_ids), remaining_ms, request.key, request.body
        )
        return (await client.send(message, remaining_ms / 1000)).status

    return forward


class Upstream:
    """One stub upstream.

    Attributes:
        address: Where it listens.
        clock: Returns the time in seconds.
        behaviour: How it handles requests.
        forward: Forwards a request to the next tier; None in the last tier.
        on_request: Called with each received request.
        counts: Counts of its connections and requests.
        connections: The open connections.
    """

    def __init__(self, host: str, rng: random.Random, clock: Clock) -> None:
        self._listener: asyncio.Server | None = None
        self._rng = rng
        self.address: Address = (host, 0)
        self.clock = clock
        self.behaviour = Behaviour()
        self.forward: Forward | None = None
        self.on_request: Callable[[ReceivedRequest], None] | None = None
        self.counts = UpstreamCounts()
        self.connections: set[UpstreamConnection] = set()

    async def set_behaviour(self, behaviour: Behaviour) -> None:
        """Change the behaviour; an upstream that refused connections listens again at the same address."""
        self.behaviour = behaviour
        if behaviour.mode is UpstreamMode.REFUSE_CONNECTIONS:
            self.close()
        elif self._listener is None:
            await self.listen()

    async def listen(self) -> None:
        """Start listening. The first call lets the system choose the port; later calls use the same port."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        self.address = listener.getsockname()
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: UpstreamConnection(self), sock=listener, backlog=LISTEN_BACKLOG
        )

    def close(self) -> None:
        """Stop listening, and reset the open connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.reset()

    async def handle(self, request: ReceivedRequest, connection: UpstreamConnection) -> None:
        """Handle a request according to the behaviour."""
        behaviour = self.behaviour
        self.counts.requests += 1
        if self.on_request is not None:
            self.on_request(request)
        mode = self._draw_mode(behaviour)
        if mode is UpstreamMode.REJECT:
            self.counts.rejected += 1
            connection.respond(503, headers=NOT_RUN_HEADERS)
        elif mode is UpstreamMode.RESET:
            self.counts.reset += 1
            connection.reset()
        elif mode is UpstreamMode.HANG:
            self.counts.hung += 1
            await asyncio.get_running_loop().create_future()  # until the balancer closes the connection
        else:
            await self._serve_or_fail(
                request, connection, behaviour.service_ms, succeeds=mode is UpstreamMode.SERVE
            )

    def _draw_mode(self, behaviour: Behaviour) -> UpstreamMode:
        """Draw the mode for a request: the behaviour's mode with probability `fraction`, else `SERVE`."""
        if behaviour.fraction < 1 and self._rng.random() >= behaviour.fraction:
            return UpstreamMode.SERVE
        return behaviour.mode

    async def _serve_or_fail(
        self, request: ReceivedRequest, connection: UpstreamConnection, service_ms: float, *, succeeds: bool
    ) -> None:
        """Wait for the service time, then respond 200, or 500 if the request or the next tier fails."""
        if service_ms > 0:
            await asyncio.sleep(service_ms / 1000)
        if succeeds and await self._next_tier_serves(request):
            self.counts.served += 1
            connection.respond(200, b"served")
        else:
            self.counts.failed += 1
            connection.respond(500)

    async def _next_tier_serves(self, request: ReceivedRequest) -> bool:
        """Return whether the next tier serves the request in time; True if there is no next tier."""
        if self.forward is None:
            return True
        remaining_ms = request.deadline_ms - (self.clock() - request.received_at) * 1000
        return remaining_ms > 0 and await self.forward(request, remaining_ms) == 200
