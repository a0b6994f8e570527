"""Case 10: discovery's answers come in pieces over one second, and an upstream drains."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

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
    write_with_length,
)

DRAIN_GRACE_S = 0.75 + 0.05
"""`contract.drainGrace`; every time limit is 50 ms longer on sockets."""

TOLD_AFTER_S = 6.0
"""What discovery has to tell counts as told this long after it had it, arrived or not."""

AFTER_WAIT_S = 2.0
"""For a call that may wait, it counts as told this long after the end of its wait, if that is later."""

PIECES = 10
PAUSE_S = 0.1
REQUEST_INTERVAL_S = 0.1
DRAIN_AFTER_S = 2.0
WATCHED_AFTER_DRAIN_S = 18.0
MAX_RUN_S = 60.0


async def write_in_pieces(writer: asyncio.StreamWriter, body: bytes) -> None:
    """Write a response with a length in ten pieces, one every tenth of a second."""
    data = response(200, body, "Content-Type: application/json")
    size = len(data) // PIECES + 1
    for start in range(0, len(data), size):
        writer.write(data[start : start + size])
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        if writer.transport.is_closing():
            message = "the balancer has ended the connection"
            raise ConnectionResetError(message)


def is_rule_kept(upstream: Upstream, told_at: float, record: Record) -> bool:
    """Check that no request began to arrive at the upstream after the grace period."""
    late = [m for m in upstream.requests if m.began_at > told_at + DRAIN_GRACE_S]
    record.write(f"told at {told_at:.3f}; {len(late)} requests to {upstream.name} after the grace period")
    return not late


async def run(folder: Path, record: Record) -> bool:
    """Let one of four upstreams drain while requests arrive; return whether the rule was kept."""
    upstreams = [Upstream(f"s-{n}", record) for n in range(4)]
    for upstream in upstreams:
        await upstream.start()
    agent = Agent(record, [upstream.entry() for upstream in upstreams])
    agent.write_response = write_in_pieces if WITH_TROUBLE else write_with_length
    await agent.start()
    balancer = Balancer(folder, record)
    try:
        await balancer.start(agent.address, agent.document(), site_settings(PARCEL))
        drains_at = record.now() + DRAIN_AFTER_S
        told_at = float("inf")
        number = 0
        while record.now() < drains_at + WATCHED_AFTER_DRAIN_S:
            number += 1
            await send_request(
                balancer.address, PARCEL, f"r{number}", record, PARCEL.deadline_ms / 1000 + 0.5
            )
            if agent.version == 41 and record.now() >= drains_at:
                wait_ends_at = agent.wait_ends_at
                agent.publish(upstreams[0].entry("terminating"))
                told_at = max(record.now() + TOLD_AFTER_S, wait_ends_at + AFTER_WAIT_S)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return is_rule_kept(upstreams[0], told_at, record)
    finally:
        await balancer.stop()


if __name__ == "__main__":
    run_case(run, Path(__file__).resolve().parent, MAX_RUN_S)
