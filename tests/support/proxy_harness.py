"""A proxy in the process of the tests."""

from __future__ import annotations

import asyncio
from typing import Any

from loadbalancer.network.proxy import Proxy
from tests.support.configurations import config_text, configuration, entry
from tests.support.http_client import Client
from tests.support.http_messages import ReceivedMessage
from tests.support.scripted_discovery import DiscoveryServer
from tests.support.scripted_upstream import Upstream


class ProxyHarness:
    """A proxy in this process, with its upstreams and discovery.

    Settings replace the defaults of `config_text`.
    """

    def __init__(self, *upstreams: Upstream, **settings: Any) -> None:
        self.upstreams, self._settings = upstreams, settings
        self.discovery = DiscoveryServer()
        self.entries: list[dict[str, Any]] = []
        self.proxy: Proxy

    async def __aenter__(self) -> ProxyHarness:
        for i, upstream in enumerate(self.upstreams):
            self.entries.append(entry(f"s{i}", await upstream.start()))
        text = config_text(await self.discovery.start(), self.entries, **self._settings)
        self.proxy = Proxy(configuration(text), asyncio.get_running_loop())
        self.proxy.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        return

    async def client(self) -> Client:
        """A client that has connected."""
        client = Client()
        client.reader, client.writer = await asyncio.open_connection(*self.proxy.listener.address[:2])
        return client

    async def send_request(self, *args: Any, **more: Any) -> ReceivedMessage:
        """The response to a request on a connection of its own; the arguments are those of `Client.send`."""
        client = await self.client()
        client.send(*args, **more)
        reply = await client.read_response()
        client.writer.close()
        return reply
