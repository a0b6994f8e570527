"""The watch on the endpoint list: updates are applied, and failures of discovery are survived."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.events import EndpointListKind
from loadbalancer.network.discovery import retry_schedule
from loadbalancer.network.discovery import watch as endpoint_watch
from tests.support.event_recorder import list_kinds, record_events
from tests.support.loopback import TIMEOUT_S, Rig, Upstream, entry, reset, response, status


async def test_updates_arrive_in_order_and_a_restarted_upstream_loses_its_connections() -> None:
    upstream = Upstream()
    async with Rig(upstream) as rig:
        events = record_events(rig)
        assert status(await rig.send_request()) == 200
        line = await rig.discovery.calls.get()
        assert line.startswith("GET /v1/servers?after=7&wait_ms=")
        address = rig.entries[0]["address"]
        rig.discovery.publish(8, entry("s0", address, since_ms=5))
        assert "after=8&" in await rig.discovery.calls.get()  # the next poll follows at once
        await upstream.connection_closed.wait()
        rig.discovery.publish(9, entry("s0", address, since_ms=5), snapshot=True)
        await rig.discovery.calls.get()
        rig.discovery.responses.put_nowait(response(503, b""))
        await rig.discovery.calls.get()  # polled again when the policy's timer fires
        assert list_kinds(events) == [
            EndpointListKind.DELTA,
            EndpointListKind.SNAPSHOT,
            EndpointListKind.FAILED,
        ]


async def test_a_draining_upstream_gets_no_new_requests() -> None:
    upstream = Upstream()
    async with Rig(upstream) as rig:
        assert status(await rig.send_request("/pay/x", b"debit")) == 200
        await rig.discovery.calls.get()
        rig.discovery.publish(8, entry("s0", rig.entries[0]["address"], status="terminating"))
        await upstream.connection_closed.wait()  # the idle connection goes
        assert status(await rig.send_request("/pay/x", b"debit")) == 503
        assert len(upstream.received) == 1


async def test_the_watch_goes_on_after_a_malformed_response() -> None:
    """Whatever exception a response raises while it is read, discovery is polled again."""
    async with Rig(Upstream()) as rig:
        events = record_events(rig)
        assert status(await rig.send_request()) == 200
        for body in (b"[" * 100_000, b"[]"):
            await rig.discovery.calls.get()
            rig.discovery.responses.put_nowait(response(200, body))
        await rig.discovery.calls.get()
        assert list_kinds(events) == [EndpointListKind.FAILED] * 2


async def test_a_silent_poll_times_out_soon_after_its_wait_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """If all upstreams are replaced meanwhile, requests go to the old ones until none is left."""
    async with Rig(Upstream(reset)) as rig:
        await rig.send_request()
        line = await rig.discovery.calls.get()
        assert float(line.partition("wait_ms=")[2].split(" ")[0]) <= 10_000
        rig.discovery.responses.put_nowait(response(503, b""))
        monkeypatch.setattr(retry_schedule, "WATCH_WAIT_MS", 100)
        await rig.discovery.calls.get()  # never answered
        started = asyncio.get_running_loop().time()
        await rig.discovery.calls.get()
        elapsed_s = asyncio.get_running_loop().time() - started
        assert elapsed_s < 3, "an update counts as delivered by then"
        new = Upstream()
        rig.discovery.publish(8, entry("s9", await new.start()), snapshot=True)
        await rig.discovery.calls.get()
        assert status(await rig.send_request()) == 200
        assert new.received


async def test_a_failed_push_watch_is_reopened_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An update during a pause would use up the whole grace period that a draining upstream has."""
    monkeypatch.setattr(retry_schedule, "PUSH_RETRY_DELAY_S", 2 * TIMEOUT_S)
    async with Rig(Upstream(), discovery="push") as rig:
        for index in (8, 9):
            await rig.discovery.calls.get()
            rig.discovery.responses.put_nowait(b"no answer\r\n\r\n")
            await rig.discovery.calls.get()
            rig.discovery.publish(index)
        assert "after=9&" in await rig.discovery.calls.get()


async def test_a_silent_push_agent_is_detected_before_its_updates_are_due(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An agent is polled at no cost, so its timeout is shorter than that of a central discovery."""
    async with Rig(Upstream(), discovery="push") as rig:
        line = await rig.discovery.calls.get()
        wait_ms = float(line.partition("wait_ms=")[2].split(" ")[0])
        assert wait_ms / 1000 + endpoint_watch.WATCH_OVERDUE_S + endpoint_watch.CONNECT_TIMEOUT_S < 6
        rig.discovery.publish(8)
        monkeypatch.setattr(endpoint_watch, "WATCH_OVERDUE_S", 0.1)
        monkeypatch.setattr(retry_schedule, "PUSH_WATCH_WAIT_MS", 100)
        await rig.discovery.calls.get()
        rig.discovery.publish(9)
        await rig.discovery.calls.get()  # never answered
        await rig.discovery.connection_closed.wait()
        assert "after=9&" in await rig.discovery.calls.get()


async def test_a_truncated_list_times_out() -> None:
    """The rest is not waited for as long as a poll: draining upstreams would get requests meanwhile."""
    async with Rig(Upstream()) as rig:
        await rig.send_request()
        line = await rig.discovery.calls.get()
        assert "wait_ms" in line, "a poll, whose response may take long to begin"
        rig.discovery.responses.put_nowait(response(200, b'{"index":8,"snap' + b" " * 900)[:-500])
        await asyncio.wait_for(rig.discovery.calls.get(), 5)
