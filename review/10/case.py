"""Case 10: discovery's answers have no length, and an upstream drains."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    PARCEL,
    WITH_TROUBLE,
    Agent,
    Balancer,
    Record,
    Upstream,
    response,
    run_case,
    send_request,
    site_settings,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

DRAIN_GRACE_S = 0.75 + 0.05
"""`contract.drainGrace`; every time limit is 50 ms longer on sockets."""

REQUEST_INTERVAL_S = 0.1
DRAIN_AFTER_S = 2.0
WATCHED_AFTER_DRAIN_S = 12.0
MAX_RUN_S = 60.0


async def write_without_length(writer: asyncio.StreamWriter, body: bytes) -> None:
    """Write a whole response whose body ends with the connection."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" + body)
    await writer.drain()
    writer.close()


async def write_with_close(writer: asyncio.StreamWriter, body: bytes) -> None:
    """Write the same response with a length; the connection ends after it too."""
    writer.write(response(200, body, "Content-Type: application/json", "Connection: close"))
    await writer.drain()
    writer.close()


def is_rule_kept(upstream: Upstream, told_at: float | None, record: Record) -> bool:
    """Check that no request began to arrive at the upstream after the grace period."""
    if told_at is None:
        record.write("the balancer was never told")
        return True
    late = [m for m in upstream.requests if m.began_at > told_at + DRAIN_GRACE_S]
    record.write(f"told at {told_at:.3f}; {len(late)} requests to {upstream.name} after the grace period")
    return not late


async def run(folder: Path, record: Record) -> bool:
    """Let one of four upstreams drain while requests arrive; return whether the rule was kept."""
    upstreams: Sequence[Upstream] = [Upstream(f"s-{n}", record) for n in range(4)]
    for upstream in upstreams:
        await upstream.start()
    agent = Agent(record, [upstream.entry() for upstream in upstreams])
    agent.write_response = write_without_length if WITH_TROUBLE else write_with_close
    await agent.start()
    balancer = Balancer(folder, record)
    try:
        await balancer.start(agent.address, agent.document(), site_settings(PARCEL))
        told_at: float | None = None
        drains_at = record.now() + DRAIN_AFTER_S
        number = 0
        while record.now() < drains_at + WATCHED_AFTER_DRAIN_S:
            number += 1
            await send_request(
                balancer.address, PARCEL, f"r{number}", record, PARCEL.deadline_ms / 1000 + 0.5
            )
            if agent.version == 41 and record.now() >= drains_at:
                agent.publish(upstreams[0].entry("terminating"))
            if told_at is None and agent.written_version > 41:
                told_at = record.now()
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return is_rule_kept(upstreams[0], told_at, record)
    finally:
        await balancer.stop()


if __name__ == "__main__":
    run_case(run, Path(__file__).resolve().parent, MAX_RUN_S)
