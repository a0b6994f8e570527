"""The testbed's open-loop load."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest

from testbed.http.client import Client
from testbed.load.arrivals import arrival_times
from testbed.load.streams import Stream, StreamReport, run_streams
from testbed.upstream.behaviour import Behaviour, UpstreamMode
from testbed.upstream.group import UpstreamGroup
from tests.testbed.support.loads import SteppingClock

if TYPE_CHECKING:
    from testbed.upstream.connection import ReceivedRequest


async def test_stalled_server_does_not_delay_load(upstreams: UpstreamGroup) -> None:
    (upstream,) = await upstreams.start(1, second_octet=82)
    request_count = len(list(arrival_times(4_000.0, 0.01, random.Random("7/calls"))))
    assert request_count > 20
    all_received = asyncio.Event()

    async def respond_after_last_request(request: ReceivedRequest, remaining_ms: float) -> int:
        if upstream.counts.requests == request_count:
            all_received.set()
        await all_received.wait()
        return 200

    # No response is sent before the last request has been received.
    upstream.forward = respond_after_last_request
    stream = Stream("calls", [Client(upstream.address)], 4_000.0, "read", 8_000.0)
    report = (await run_streams([stream], 0.01, seed=7))["calls"]
    assert report.sent == report.opened_connections == request_count
    assert report.statuses == {200: request_count}
    assert report.unserved_at_s == []
    await upstream.set_behaviour(Behaviour(UpstreamMode.FAIL))
    report = (await run_streams([stream], 0.01, seed=7))["calls"]
    assert report.statuses == {500: request_count}
    assert report.served_latencies.count == 0
    assert sorted(report.unserved_at_s) == pytest.approx(
        list(arrival_times(4_000.0, 0.01, random.Random("7/calls")))
    )


async def test_late_sending_increases_latency_and_invalidates_report() -> None:
    async def report_with_stall(stall_s: float) -> StreamReport:
        clock = SteppingClock(stall_s=stall_s)
        upstreams = UpstreamGroup(seed=1)
        (upstream,) = await upstreams.start(1, second_octet=82)
        stream = Stream("calls", [Client(upstream.address, clock)], 20.0, "read", 5_000.0)
        report = (await run_streams([stream], 1.0, seed=3, clock=clock, sleep=clock.sleep))["calls"]
        upstreams.close()
        return report

    scheduled_s = list(arrival_times(20.0, 1.0, random.Random("3/calls")))
    late_report = await report_with_stall(3.0)  # the first sleep takes 3 s too long
    assert late_report.served_latencies.count == late_report.sent == len(scheduled_s)
    max_ms, min_ms = (
        late_report.served_latencies.quantile_ms(1.0),
        late_report.served_latencies.quantile_ms(0.0),
    )
    assert max_ms == pytest.approx(3_000, rel=0.01)
    assert min_ms == pytest.approx((3.0 + scheduled_s[0] - scheduled_s[-1]) * 1000, rel=0.01)
    assert late_report.lateness.quantile_ms(1.0) == pytest.approx(3_000, rel=0.01)
    (reason,) = late_report.invalidity_reasons("direct", max_lateness_ms=1.0)
    assert reason.startswith("direct: ")
    assert "late" in reason
    assert (await report_with_stall(0.0)).invalidity_reasons("direct", max_lateness_ms=1.0) == []
