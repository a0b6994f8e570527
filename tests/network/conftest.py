"""Fixtures of the network tests; everything that they start is stopped after the test."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import pytest

from tests.support.configurations import LISTEN_ON_ANY_PORT, config_text, entry
from tests.support.http_client import Client
from tests.support.program import ProgramWithOpenRequest, running_program
from tests.support.proxy_harness import ProxyHarness
from tests.support.scripted_discovery import DiscoveryServer
from tests.support.scripted_upstream import Upstream, never_respond
from tests.support.sockets import free_port

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from tests.support.fixture_types import ScriptedServer, StartProxy, StartServer


@pytest.fixture
async def cleanup_stack(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[AsyncExitStack]:
    """Return the exit stack that stops what a test has started, in reverse order.

    Requests `monkeypatch`, so that replacements are undone only after everything has stopped.
    """
    async with AsyncExitStack() as stack:
        yield stack


@pytest.fixture
def start_server(cleanup_stack: AsyncExitStack) -> StartServer:
    """Return a function that starts a scripted server and returns its address."""

    async def start(server: ScriptedServer) -> str:
        address = await server.start()
        cleanup_stack.callback(server.stop)
        return address

    return start


@pytest.fixture
def start_proxy(cleanup_stack: AsyncExitStack) -> StartProxy:
    """Return a function with the arguments of `ProxyHarness` that starts a proxy with its upstreams."""

    async def start(*upstreams: Upstream, **arguments: Any) -> ProxyHarness:
        harness = ProxyHarness(*upstreams, **arguments)
        await harness.start()
        cleanup_stack.push_async_callback(harness.stop)
        return harness

    return start


@pytest.fixture
async def program_with_open_request(
    start_server: StartServer, tmp_path: Path
) -> AsyncIterator[ProgramWithOpenRequest]:
    """Start the program, and send it a request to which its upstream does not respond."""
    upstream, discovery = Upstream(never_respond), DiscoveryServer()
    entries = [entry("s0", await start_server(upstream))]
    path, port = tmp_path / "config.json", free_port()
    text = config_text(await start_server(discovery), entries)
    path.write_text(text.replace(LISTEN_ON_ANY_PORT, f"127.0.0.1:{port}"))
    async with running_program(path) as process:
        client = await Client.connect_to_program(port)
        client.send("/pay/x", b"debit")
        await upstream.request_received.wait()
        yield ProgramWithOpenRequest(process, path, port, entries, upstream, client)
        client.writer.close()
