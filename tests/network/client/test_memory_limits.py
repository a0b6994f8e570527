"""The memory of buffered requests is limited, and is released when requests finish or clients disconnect."""

from __future__ import annotations

import gc
from collections import Counter
from typing import TYPE_CHECKING, Any

from loadbalancer.network.client.context import READ_BYTES
from loadbalancer.network.memory_budget import HeldKind, MemoryBudget
from tests.support.disconnecting_clients import wait_until_disconnected
from tests.support.http_messages import status
from tests.support.scripted_upstream import Upstream, never_respond
from tests.support.waiting import wait_until

if TYPE_CHECKING:
    import pytest

    from tests.support.fixture_types import StartProxy
    from tests.support.http_client import Client


def incomplete_request(body_bytes: int) -> bytes:
    """Return a request without the last byte of its body."""
    head = b"POST /pay/x HTTP/1.1\r\nX-Class: pay\r\nX-Request-Id: id%d\r\nX-Deadline: 4000m\r\n" % body_bytes
    return head + b"Content-Length: %d\r\n\r\n" % (body_bytes + 1) + b"x" * body_bytes


INPUT_KINDS = (HeldKind.INPUT, HeldKind.QUEUED_REQUESTS, HeldKind.OPEN_REQUESTS)


async def test_buffered_bytes_are_bounded_and_released(start_proxy: StartProxy) -> None:
    """The bodies that the clients send would exceed a small memory limit."""
    upstream = Upstream(never_respond)
    harness = await start_proxy(upstream)
    budget = harness.proxy.budget
    budget.limit_bytes = budget.used_bytes + 200_000
    peak_bytes = 0

    def record_peak(kind: HeldKind, change_bytes: int) -> None:
        nonlocal peak_bytes
        MemoryBudget.adjust(budget, kind, change_bytes)
        peak_bytes = max(peak_bytes, budget.used_bytes)

    budget.adjust = record_peak  # type: ignore[method-assign]
    clients: list[Client] = []
    for _ in range(4):
        clients.append(await harness.connect_client())
        for _ in range(4):
            clients[-1].send("/pay/x", b"x" * 60_000)
    health_client = await harness.connect_client()
    await wait_until(
        lambda: harness.proxy.listener.context.counters.refused_for_memory,
        "a request is refused",
        state=lambda: budget.held_bytes,
    )
    health_client.writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
    assert status(await health_client.read_response()) == 200
    assert peak_bytes <= budget.limit_bytes + READ_BYTES
    for client in clients:
        client.writer.transport.abort()
    await wait_until(
        lambda: not any(budget.held_bytes[kind] for kind in INPUT_KINDS),
        "the buffers are released",
        state=lambda: budget.held_bytes,
    )


async def test_largest_incomplete_requests_are_given_up_first(start_proxy: StartProxy) -> None:
    """Those with a complete head get their response once the body has ended; no small one is given up."""
    harness = await start_proxy(Upstream())
    budget, listener = harness.proxy.budget, harness.proxy.listener
    sizes = (60_000, 2_000, 40_000, 30_000)
    clients = [await harness.connect_client() for _ in sizes]
    for client, size in zip(clients, sizes, strict=True):
        client.writer.write(incomplete_request(size))
    await wait_until(
        lambda: sum(connection.partial_request_bytes for connection in listener.connections) > sum(sizes),
        "all requests have arrived but for their last bytes",
    )
    budget.limit_bytes = budget.used_bytes
    held_bytes = budget.held_bytes[HeldKind.INPUT]
    listener.eviction.release_input(budget)
    assert held_bytes - budget.held_bytes[HeldKind.INPUT] >= max(sizes)
    assert listener.context.counters.refused_for_memory == 1
    budget.limit_bytes = 100_000_000
    statuses = []
    for client in clients:
        client.writer.write(b"x")
        statuses.append(status(await client.read_response()))
    assert statuses == [503, 200, 200, 200]


async def test_finished_requests_and_connections_are_freed(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A leak would grow with the number of requests and connections."""
    # With a delay, the size of the pool would depend on how many requests are sent within the delay.
    monkeypatch.setattr("loadbalancer.network.upstream.pool.REUSE_DELAY_S", 0.0)

    def count_objects() -> Counter[str]:
        return Counter(
            type(o).__name__ for o in gc.get_objects() if str(type(o).__module__).startswith("loadbalancer")
        )

    harness = await start_proxy(Upstream(), max_attempts=3)

    async def send_requests(count: int) -> None:
        for _ in range(count):
            assert status(await harness.send_request()) == 200
        await wait_until_disconnected(harness)

    await send_requests(20)
    gc.collect()
    gc.disable()  # reference cycles, which only the garbage collector frees, count as leaks
    try:
        before = count_objects()
        await send_requests(100)
        growth: dict[str, Any] = count_objects() - before
        for timer in ("TimerFired", "HedgeTimer"):
            growth.pop(timer, None)  # timers of the policy live until they fire
    finally:
        gc.enable()
    assert all(n < 20 for n in growth.values()), growth
    assert harness.proxy.balancer.open_requests == 0
    assert not harness.proxy.open_requests
