"""The testbed's stub upstreams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import psutil
import pytest

from testbed.http.client import NO_RESPONSE, Client, compose_request, request_ids
from testbed.upstream.behaviour import Behaviour, UpstreamMode
from testbed.upstream.group import UpstreamGroup, UpstreamProcess
from testbed.upstream.upstream import forward_through
from tests.support.waiting import wait_until
from tests.testbed.support.loads import REQUEST_IDS, SteppingClock, send_request

if TYPE_CHECKING:
    from testbed.upstream.connection import ReceivedRequest


@pytest.mark.parametrize(
    ("mode", "status", "health_status", "changed_counts"),
    [
        (UpstreamMode.SERVE, 200, 200, {"served": 1}),
        (UpstreamMode.FAIL, 500, 200, {"failed": 1}),
        (UpstreamMode.REJECT, 503, 503, {"rejected": 1}),
        (UpstreamMode.HANG, NO_RESPONSE, NO_RESPONSE, {"hung": 1, "abandoned": 1}),
        (UpstreamMode.RESET, NO_RESPONSE, NO_RESPONSE, {"reset": 2}),
        (
            UpstreamMode.REFUSE_CONNECTIONS,
            NO_RESPONSE,
            NO_RESPONSE,
            {"requests": 0, "health_checks": 0, "connections": 0},
        ),
    ],
)
async def test_responses_and_counts_by_mode(
    upstreams: UpstreamGroup,
    mode: UpstreamMode,
    status: int,
    health_status: int,
    changed_counts: dict[str, int],
) -> None:
    (upstream,) = await upstreams.start(1, second_octet=82)
    assert upstream.address[0] == "127.82.0.1"
    await upstream.set_behaviour(Behaviour(mode))
    timeout_ms = 20.0 if mode is UpstreamMode.HANG else 5_000.0
    client = Client(upstream.address)
    assert await send_request(client, timeout_ms) == status
    health_check = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
    assert (await client.send(health_check, timeout_ms / 1000)).status == health_status
    # The client resends a request that failed on a reused connection, but not one reset on a new connection.
    expected_counts = {
        "requests": 1,
        "health_checks": 1,
        "reset": 0,
        "abandoned": 0,
        "overlapping": 0,
    } | changed_counts
    expected_counts["reset"] = int(mode is UpstreamMode.RESET)
    if mode in (UpstreamMode.HANG, UpstreamMode.RESET):
        await wait_until(lambda: not upstream.connections, "the upstream has no connection")
    assert {name: getattr(upstream.counts, name) for name in expected_counts} == expected_counts
    await upstream.set_behaviour(Behaviour())
    assert await send_request(client) == 200  # at the same address
    assert (await client.send(b"GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n", 5.0)).status == 404


async def test_rejected_request_is_marked_as_not_run(upstreams: UpstreamGroup) -> None:
    (upstream,) = await upstreams.start(1, second_octet=82)
    await upstream.set_behaviour(Behaviour(UpstreamMode.REJECT))
    reader, writer = await asyncio.open_connection(*upstream.address)
    writer.write(compose_request("read", next(REQUEST_IDS), 100.0))
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nX-Not-Run: 1\r\n" in head
    writer.close()


async def test_seed_determines_failing_requests() -> None:
    async def statuses_with_seed(seed: int) -> list[int]:
        upstreams = UpstreamGroup(seed)
        (upstream,) = await upstreams.start(1, second_octet=82)
        await upstream.set_behaviour(Behaviour(UpstreamMode.FAIL, fraction=0.5))
        client = Client(upstream.address)
        statuses = [await send_request(client) for _ in range(64)]
        assert upstream.counts.failed == statuses.count(500)
        upstreams.close()
        return statuses

    first = await statuses_with_seed(1)
    assert 16 < first.count(500) < 48
    assert await statuses_with_seed(1) == first != await statuses_with_seed(2)


async def test_chain_forwards_remaining_time_with_new_ids() -> None:
    clock = SteppingClock(step_s=0.1)
    upstreams = UpstreamGroup(seed=1, clock=clock)
    chain = await upstreams.start(3, second_octet=82)
    received: list[ReceivedRequest] = []
    for number, upstream in enumerate(chain):
        upstream.on_request = received.append
        if number < 2:
            next_tier_ids = request_ids(seed=10 + number)
            upstream.forward = forward_through(Client(chain[number + 1].address), next_tier_ids)
    client = Client(chain[0].address)
    assert await send_request(client, 4_000.0, key="k1") == 200
    # The clock advances by 0.1 s between the arrival of a request and the request to the next tier.
    assert [request.deadline_ms for request in received] == pytest.approx([4_000.0, 3_900.0, 3_800.0])
    assert len({request.request_id for request in received}) == 3
    assert {(request.class_name, request.key) for request in received} == {("read", "k1")}
    await chain[2].set_behaviour(Behaviour(UpstreamMode.REJECT))
    assert await send_request(client) == 500  # an upstream fails if the next tier fails
    assert [upstream.counts.failed for upstream in chain] == [1, 1, 0]
    assert await send_request(client, 50.0) == 500  # no time remains for a request to the next tier
    assert [upstream.counts.requests for upstream in chain] == [3, 2, 2]
    upstreams.close()


async def test_abandoned_request_is_cancelled_at_next_tier(upstreams: UpstreamGroup) -> None:
    top, bottom = await upstreams.start(2, second_octet=82)
    top.forward = forward_through(Client(bottom.address), request_ids(seed=2))
    await bottom.set_behaviour(Behaviour(UpstreamMode.HANG))
    task = asyncio.ensure_future(send_request(Client(top.address)))
    await wait_until(lambda: bottom.counts.hung, "the last tier has received the request")
    task.cancel()
    await wait_until(lambda: bottom.counts.abandoned, "the request at the last tier has been abandoned")
    assert (top.counts.abandoned, top.counts.failed, bottom.counts.requests) == (1, 0, 1)


async def test_upstream_process_serves_and_counts() -> None:
    process = UpstreamProcess(3, 0.0, seed=1, second_octet=82)
    try:
        assert [await send_request(Client(address)) for address in process.addresses] == [200] * 3
        counts = process.counts()
        assert (counts.served, counts.connections) == (3, 3)
    finally:
        process.stop()
    assert process.pid is not None
    assert not psutil.pid_exists(process.pid)
