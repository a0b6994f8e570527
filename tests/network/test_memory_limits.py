"""What clients send occupies a bounded amount of memory, which is released afterwards."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from loadbalancer.network import request_pipeline
from tests.network.loopback import (
    Client,
    Rig,
    Upstream,
    run,
    silent,
    status,
)


def test_what_callers_have_us_hold_is_bounded_and_given_back() -> None:
    """Sixteen bodies read ahead on every connection would have filled a small memory."""

    async def scenario() -> None:
        upstream = Upstream(silent)
        async with Rig(upstream) as rig:
            callers = rig.proxy.listener
            callers.context.buffers.limit_bytes = 200_000
            crowd: list[Client] = []
            for _ in range(4):
                crowd.append(await rig.client())
                for _ in range(4):
                    crowd[-1].send("/pay/x", b"x" * 60_000)
            good = await rig.client()
            while not any(c.discards_input for c in callers.connections):
                await asyncio.sleep(0.01)
            good.writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
            assert status(await good.answer()) == 200
            assert (
                callers.context.buffers.used_bytes
                <= callers.context.buffers.limit_bytes + 5 * request_pipeline.UNCONDITIONAL_BUFFER_BYTES
            )
            for client in crowd:
                client.writer.transport.abort()
            while callers.context.buffers.used_bytes:
                await asyncio.sleep(0.01)

    run(scenario())


def test_nothing_of_a_request_or_connection_is_left_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    """Objects are counted after many ids and connections: what grows with them shows."""
    import gc
    from collections import Counter

    # Else the pool keeps as many connections as calls fit into that time, which is the machine's speed.
    monkeypatch.setattr("loadbalancer.network.upstream_pool.SETTLE_S", 0.0)

    def count() -> Counter[str]:
        return Counter(
            type(o).__name__ for o in gc.get_objects() if str(type(o).__module__).startswith("loadbalancer")
        )

    async def scenario() -> None:
        async with Rig(Upstream(), max_attempts=3) as rig:

            async def ask(times: int) -> None:
                for _ in range(times):
                    assert status(await rig.ask()) == 200
                while rig.proxy.listener.connections:
                    await asyncio.sleep(0.01)

            await ask(20)
            gc.collect()
            gc.disable()  # what only the collector would find counts as left behind
            try:
                before = count()
                await ask(100)
                grown: dict[str, Any] = count() - before
                for timer in ("TimerFired", "HedgeTimer"):
                    grown.pop(timer, None)  # the module's timers: they come due and go, ended or not
            finally:
                gc.enable()
            assert all(n < 20 for n in grown.values()), grown
            assert len(rig.proxy.balancer._requests) == 0
            assert not rig.proxy._requests

    run(scenario())
