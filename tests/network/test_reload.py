"""Reloading the configuration, by SIGHUP or directly."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from loadbalancer.events import EndpointListKind, EndpointListUpdate
from loadbalancer.network.discovery import watch as endpoint_watch
from tests.support.configurations import config_text, configuration, entry
from tests.support.event_recorder import record_events
from tests.support.http_messages import status
from tests.support.program import ProgramWithOpenRequest, read_log_line
from tests.support.scripted_discovery import DiscoveryServer
from tests.support.scripted_upstream import Upstream, never_respond
from tests.support.upstream_attempts import full_backlog

if TYPE_CHECKING:
    from tests.support.fixture_types import StartProxy, StartServer


async def test_reload_switches_to_new_discovery(start_proxy: StartProxy, start_server: StartServer) -> None:
    first, second = Upstream(), Upstream(never_respond)
    harness = await start_proxy(first)
    events = record_events(harness)
    assert status(await harness.send_request()) == 200
    await harness.discovery.requests.get()
    for version in (3, 1):  # two switches, each to a list with a lower version
        new_discovery = DiscoveryServer()
        harness.proxy.reconfigure(configuration(config_text(await start_server(new_discovery), [])))
        assert await new_discovery.requests.get() == "GET /v1/servers HTTP/1.1"
        new_discovery.publish(version, entry("s1", await start_server(second)), snapshot=True)
        assert f"?after={version}&" in await new_discovery.requests.get()
    await harness.discovery.connection_closed.wait()
    harness.discovery.publish(8, entry("s9", "127.0.0.1:9"))  # not received: the connection is closed
    kinds = [event.kind for event in events if isinstance(event, EndpointListUpdate)]
    assert kinds == [EndpointListKind.SNAPSHOT, EndpointListKind.SNAPSHOT]
    assert harness.proxy.upstream_pools.endpoint_names == {"s1"}


async def test_open_requests_survive_reloads(
    start_server: StartServer, program_with_open_request: ProgramWithOpenRequest
) -> None:
    program = program_with_open_request
    new_discovery = DiscoveryServer()
    program.path.write_text("{ truncated")
    program.process.send_signal(signal.SIGHUP)
    assert b"configuration not reloaded" in await read_log_line(program.process)
    program.path.write_text('{"a":' * 100_000)
    program.process.send_signal(signal.SIGHUP)
    assert await read_log_line(program.process) == b"n1: configuration not reloaded: nested too deeply\n"
    program.path.write_text(config_text(await start_server(new_discovery), program.entries))
    program.process.send_signal(signal.SIGHUP)
    assert await new_discovery.requests.get() == "GET /v1/servers HTTP/1.1"
    await program.respond_and_check()
    program.process.send_signal(signal.SIGTERM)
    program.client.writer.close()
    assert await program.process.wait() == 0


async def test_connect_to_discovery_times_out() -> None:
    """The watch fails after the connect timeout, which is shorter than the timeout of a request."""
    async with full_backlog() as address:
        failed = asyncio.Event()
        config = configuration(config_text(address, [entry("s0", "127.0.0.1:9")]))
        watch = endpoint_watch.EndpointWatch(config, lambda endpoint_list: None, failed.set)
        watch.start_watch()
        await asyncio.wait_for(failed.wait(), 5 * endpoint_watch.CONNECT_TIMEOUT_S)
