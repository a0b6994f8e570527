"""Runs a proxy in the process of the tests."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import TYPE_CHECKING, Any

from loadbalancer.network.proxy import Proxy
from tests.support.configurations import config_text, configuration, entry
from tests.support.http_client import Client
from tests.support.scripted_discovery import DiscoveryServer

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.support.http_messages import ReceivedMessage
    from tests.support.scripted_upstream import Upstream


class ProxyHarness:
    """A proxy with its upstreams and discovery service.

    Args:
        upstreams: The upstreams, which are started with the proxy and named `s0`, `s1` and so on.
        extra_entries: Further entries of the endpoint list to start with.
        process_limits: The limits of the process, in place of the defaults of `config_text`.
        settings: Settings that override the defaults of `config_text`.

    Attributes:
        upstreams: The upstreams.
        discovery: The discovery service.
        entries: The endpoint list to start with.
        proxy: The proxy; set by `start`.
    """

    def __init__(
        self,
        *upstreams: Upstream,
        extra_entries: Sequence[dict[str, Any]] = (),
        process_limits: dict[str, Any] | None = None,
        **settings: Any,
    ) -> None:
        self.upstreams = upstreams
        self._process_limits = process_limits
        self._settings = settings
        self.discovery = DiscoveryServer()
        self.entries = [*extra_entries]
        self.proxy: Proxy
        self._clients: list[Client] = []
        self._sockets: list[socket.socket] = []

    async def start(self) -> None:
        """Start the upstreams, the discovery service and the proxy."""
        for i, upstream in enumerate(self.upstreams):
            self.entries.append(entry(f"s{i}", await upstream.start()))
        text = config_text(await self.discovery.start(), self.entries, **self._settings)
        if self._process_limits is not None:
            text = json.dumps(json.loads(text) | {"limits": self._process_limits})
        self.proxy = Proxy(configuration(text), asyncio.get_running_loop())
        self.proxy.start()

    async def stop(self) -> None:
        """Close the listener and the peers of all connections, so that the proxy closes its own end."""
        self.proxy.listener.close()
        for client in self._clients:
            client.writer.transport.abort()
        for client_socket in self._sockets:
            client_socket.close()
        self.discovery.stop()
        for upstream in self.upstreams:
            upstream.stop()

    async def connect_client(self) -> Client:
        """Connect a client, which `stop` disconnects."""
        client = Client()
        self._clients.append(client)
        client.reader, client.writer = await asyncio.open_connection(*self.proxy.listener.address[:2])
        return client

    def connect_socket(self) -> socket.socket:
        """Connect a blocking socket: its operations take effect immediately, without the event loop."""
        client_socket = socket.create_connection(self.proxy.listener.address[:2])
        self._sockets.append(client_socket)
        return client_socket

    async def send_request(self, *args: Any, **kwargs: Any) -> ReceivedMessage:
        """Send a request on a new connection, and return the response.

        The arguments are those of `Client.send`.
        """
        client = await self.connect_client()
        client.send(*args, **kwargs)
        reply = await client.read_response()
        client.writer.close()
        return reply
