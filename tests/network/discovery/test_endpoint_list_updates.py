"""The watch on the endpoint list: it applies updates, and continues after failures of discovery."""

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


async def test_updates_are_applied_in_order(start_proxy: StartProxy) -> None:
    upstream = Upstream()
    harness = await start_proxy(upstream)
    events = record_events(harness)
    assert status(await harness.send_request()) == 200
    request_line = await harness.discovery.requests.get()
    assert request_line.startswith("GET /v1/servers?after=7&wait_ms=")
    address = harness.entries[0]["address"]
    harness.discovery.publish(8, entry("s0", address, since_ms=5))
    assert "after=8&" in await harness.discovery.requests.get()  # the next poll follows at once
    await upstream.connection_closed.wait()
    harness.discovery.publish(9, entry("s0", address, since_ms=5), snapshot=True)
    await harness.discovery.requests.get()
    harness.discovery.responses.put_nowait(response(503, b""))
    await harness.discovery.requests.get()  # the next poll follows when the policy's timer fires
    assert list_kinds(events) == [
        EndpointListKind.DELTA,
        EndpointListKind.SNAPSHOT,
        EndpointListKind.FAILED,
    ]


async def test_draining_upstream_receives_no_new_requests(start_proxy: StartProxy) -> None:
    upstream = Upstream()
    harness = await start_proxy(upstream)
    assert status(await harness.send_request("/pay/x", b"debit")) == 200
    await harness.discovery.requests.get()
    harness.discovery.publish(8, entry("s0", harness.entries[0]["address"], status="terminating"))
    await upstream.connection_closed.wait()  # the idle connection is closed
    assert status(await harness.send_request("/pay/x", b"debit")) == 503
    assert len(upstream.received) == 1


async def test_watch_continues_after_malformed_response(start_proxy: StartProxy) -> None:
    """Any exception while a response is read counts as a failed request."""
    harness = await start_proxy(Upstream())
    events = record_events(harness)
    assert status(await harness.send_request()) == 200
    for body in (b"[" * 100_000, b"[]"):
        await harness.discovery.requests.get()
        harness.discovery.responses.put_nowait(response(200, body))
    await harness.discovery.requests.get()
    assert list_kinds(events) == [EndpointListKind.FAILED] * 2


async def test_poll_without_response_times_out(
    start_proxy: StartProxy, start_server: StartServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If the poll never timed out, requests would still be sent to upstreams that were replaced meanwhile."""
    harness = await start_proxy(Upstream(reset_connection))
    await harness.send_request()
    request_line = await harness.discovery.requests.get()
    assert float(request_line.partition("wait_ms=")[2].split(" ")[0]) <= 10_000
    harness.discovery.responses.put_nowait(response(503, b""))
    monkeypatch.setattr(retry_schedule, "WATCH_WAIT_MS", 100)
    await harness.discovery.requests.get()  # gets no response
    started_at = asyncio.get_running_loop().time()
    await harness.discovery.requests.get()
    elapsed_s = asyncio.get_running_loop().time() - started_at
    assert elapsed_s < 3, "a missed update must be requested again within 3 s"
    new_upstream = Upstream()
    harness.discovery.publish(8, entry("s9", await start_server(new_upstream)), snapshot=True)
    await harness.discovery.requests.get()
    assert status(await harness.send_request()) == 200
    assert new_upstream.received


async def test_failed_push_watch_is_restarted_at_once(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A retry delay could exceed the drain grace of an upstream, to which requests would still be sent."""
    monkeypatch.setattr(retry_schedule, "PUSH_RETRY_DELAY_S", 2 * TEST_TIMEOUT_S)
    harness = await start_proxy(Upstream(), discovery="push")
    for version in (8, 9):
        await harness.discovery.requests.get()
        harness.discovery.responses.put_nowait(b"not HTTP\r\n\r\n")
        await harness.discovery.requests.get()
        harness.discovery.publish(version)
    assert "after=9&" in await harness.discovery.requests.get()


async def test_unresponsive_push_agent_is_detected_in_time(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests to a local agent cost little, so they time out earlier than requests to a central service."""
    harness = await start_proxy(Upstream(), discovery="push")
    request_line = await harness.discovery.requests.get()
    wait_ms = float(request_line.partition("wait_ms=")[2].split(" ")[0])
    assert wait_ms / 1000 + endpoint_watch.WATCH_TIMEOUT_MARGIN_S + endpoint_watch.CONNECT_TIMEOUT_S < 6
    harness.discovery.publish(8)
    monkeypatch.setattr(endpoint_watch, "WATCH_TIMEOUT_MARGIN_S", 0.1)
    monkeypatch.setattr(retry_schedule, "PUSH_WATCH_WAIT_MS", 100)
    await harness.discovery.requests.get()
    harness.discovery.publish(9)
    await harness.discovery.requests.get()  # gets no response
    await harness.discovery.connection_closed.wait()
    assert "after=9&" in await harness.discovery.requests.get()


async def test_truncated_list_times_out(start_proxy: StartProxy) -> None:
    """If the watch awaited the rest until the poll times out, draining upstreams would still be used."""
    harness = await start_proxy(Upstream())
    await harness.send_request()
    request_line = await harness.discovery.requests.get()
    assert "wait_ms" in request_line, "only a watch request has a response that may begin late"
    harness.discovery.responses.put_nowait(response(200, b'{"index":8,"snap' + b" " * 900)[:-500])
    await asyncio.wait_for(harness.discovery.requests.get(), 5)
