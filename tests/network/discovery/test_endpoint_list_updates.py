"""The watch on the endpoint list: updates are applied, and it continues after failures of discovery."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loadbalancer.events import EndpointListKind
from loadbalancer.network.discovery import retry_schedule
from loadbalancer.network.discovery import watch as endpoint_watch
from tests.support.configurations import entry
from tests.support.event_recorder import list_kinds, record_events
from tests.support.http_messages import response, status
from tests.support.scripted_upstream import Upstream, reset_connection
from tests.support.waiting import TEST_TIMEOUT_S

if TYPE_CHECKING:
    import pytest

    from tests.support.fixture_types import StartProxy, StartServer


async def test_updates_arrive_in_order_and_a_restarted_upstream_loses_its_connections(
    start_proxy: StartProxy,
) -> None:
    upstream = Upstream()
    harness = await start_proxy(upstream)
    events = record_events(harness)
    assert status(await harness.send_request()) == 200
    line = await harness.discovery.calls.get()
    assert line.startswith("GET /v1/servers?after=7&wait_ms=")
    address = harness.entries[0]["address"]
    harness.discovery.publish(8, entry("s0", address, since_ms=5))
    assert "after=8&" in await harness.discovery.calls.get()  # the next poll follows at once
    await upstream.connection_closed.wait()
    harness.discovery.publish(9, entry("s0", address, since_ms=5), snapshot=True)
    await harness.discovery.calls.get()
    harness.discovery.responses.put_nowait(response(503, b""))
    await harness.discovery.calls.get()  # polled again when the policy's timer fires
    assert list_kinds(events) == [
        EndpointListKind.DELTA,
        EndpointListKind.SNAPSHOT,
        EndpointListKind.FAILED,
    ]


async def test_a_draining_upstream_gets_no_new_requests(start_proxy: StartProxy) -> None:
    upstream = Upstream()
    harness = await start_proxy(upstream)
    assert status(await harness.send_request("/pay/x", b"debit")) == 200
    await harness.discovery.calls.get()
    harness.discovery.publish(8, entry("s0", harness.entries[0]["address"], status="terminating"))
    await upstream.connection_closed.wait()  # the idle connection is closed
    assert status(await harness.send_request("/pay/x", b"debit")) == 503
    assert len(upstream.received) == 1


async def test_the_watch_goes_on_after_a_malformed_response(start_proxy: StartProxy) -> None:
    """Discovery is polled again after any exception that reading a response raises."""
    harness = await start_proxy(Upstream())
    events = record_events(harness)
    assert status(await harness.send_request()) == 200
    for body in (b"[" * 100_000, b"[]"):
        await harness.discovery.calls.get()
        harness.discovery.responses.put_nowait(response(200, body))
    await harness.discovery.calls.get()
    assert list_kinds(events) == [EndpointListKind.FAILED] * 2


async def test_an_unanswered_poll_times_out_soon_after_its_wait_time(
    start_proxy: StartProxy, start_server: StartServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests to upstreams that were replaced while the poll was unanswered."""
    harness = await start_proxy(Upstream(reset_connection))
    await harness.send_request()
    line = await harness.discovery.calls.get()
    assert float(line.partition("wait_ms=")[2].split(" ")[0]) <= 10_000
    harness.discovery.responses.put_nowait(response(503, b""))
    monkeypatch.setattr(retry_schedule, "WATCH_WAIT_MS", 100)
    await harness.discovery.calls.get()  # never answered
    started = asyncio.get_running_loop().time()
    await harness.discovery.calls.get()
    elapsed_s = asyncio.get_running_loop().time() - started
    assert elapsed_s < 3, "an update counts as delivered by then"
    new = Upstream()
    harness.discovery.publish(8, entry("s9", await start_server(new)), snapshot=True)
    await harness.discovery.calls.get()
    assert status(await harness.send_request()) == 200
    assert new.received


async def test_a_failed_push_watch_is_reopened_at_once(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a retry delay as long as the grace period of a draining upstream."""
    monkeypatch.setattr(retry_schedule, "PUSH_RETRY_DELAY_S", 2 * TEST_TIMEOUT_S)
    harness = await start_proxy(Upstream(), discovery="push")
    for index in (8, 9):
        await harness.discovery.calls.get()
        harness.discovery.responses.put_nowait(b"no answer\r\n\r\n")
        await harness.discovery.calls.get()
        harness.discovery.publish(index)
    assert "after=9&" in await harness.discovery.calls.get()


async def test_an_unresponsive_push_agent_is_detected_within_the_update_deadline(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A local agent is cheap to poll, so its timeout is shorter than that of a central discovery."""
    harness = await start_proxy(Upstream(), discovery="push")
    line = await harness.discovery.calls.get()
    wait_ms = float(line.partition("wait_ms=")[2].split(" ")[0])
    assert wait_ms / 1000 + endpoint_watch.WATCH_TIMEOUT_MARGIN_S + endpoint_watch.CONNECT_TIMEOUT_S < 6
    harness.discovery.publish(8)
    monkeypatch.setattr(endpoint_watch, "WATCH_TIMEOUT_MARGIN_S", 0.1)
    monkeypatch.setattr(retry_schedule, "PUSH_WATCH_WAIT_MS", 100)
    await harness.discovery.calls.get()
    harness.discovery.publish(9)
    await harness.discovery.calls.get()  # never answered
    await harness.discovery.connection_closed.wait()
    assert "after=9&" in await harness.discovery.calls.get()


async def test_a_truncated_list_times_out(start_proxy: StartProxy) -> None:
    """Guards against requests to draining upstreams during a full poll timeout for the rest of a list."""
    harness = await start_proxy(Upstream())
    await harness.send_request()
    line = await harness.discovery.calls.get()
    assert "wait_ms" in line, "a poll, whose response may take long to begin"
    harness.discovery.responses.put_nowait(response(200, b'{"index":8,"snap' + b" " * 900)[:-500])
    await asyncio.wait_for(harness.discovery.calls.get(), 5)
