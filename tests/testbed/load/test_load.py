"""The testbed's open-loop load, and the runs under load."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest
import structlog

from testbed.http.client import Client
from testbed.load.arrivals import arrival_times
from testbed.load.streams import Stream, StreamReport, play_streams
from testbed.runs import added_time
from testbed.runs.real_depth import run as real_depth
from testbed.upstream.behaviour import Behaviour, UpstreamMode
from testbed.upstream.group import UpstreamGroup
from tests.testbed.support.loads import SteppingClock

if TYPE_CHECKING:
    from testbed.upstream.connection import ReceivedRequest

LOG = structlog.wrap_logger(
    structlog.testing.CapturingLogger(), processors=[]
)  # independent of the configuration by other tests


async def test_a_server_that_stalls_delays_no_send(upstreams: UpstreamGroup) -> None:
    (upstream,) = await upstreams.start(1, first_octet=82)
    planned = len(list(arrival_times(4_000.0, 0.01, random.Random("7/calls"))))
    assert planned > 20
    all_came = asyncio.Event()

    async def stall(request: ReceivedRequest, remaining_ms: float) -> int:
        if upstream.counts.requests == planned:
            all_came.set()
        await all_came.wait()
        return 200

    upstream.forward = stall  # no response is sent before the last request has been received
    stream = Stream("calls", [Client(upstream.address)], 4_000.0, "read", 8_000.0)
    report = (await play_streams([stream], 0.01, seed=7))["calls"]
    assert report.sends == report.opened == planned
    assert report.statuses == {200: planned}
    assert report.unserved == []
    await upstream.set_behaviour(Behaviour(UpstreamMode.FAIL))
    report = (await play_streams([stream], 0.01, seed=7))["calls"]
    assert report.statuses == {500: planned}
    assert report.served.count == 0
    assert sorted(report.unserved) == pytest.approx(
        list(arrival_times(4_000.0, 0.01, random.Random("7/calls")))
    )


async def test_latency_is_measured_from_the_scheduled_time_and_a_late_load_is_invalid() -> None:
    async def report_with(stall: float) -> StreamReport:
        clock = SteppingClock(stall=stall)
        upstreams = UpstreamGroup(seed=1)
        (upstream,) = await upstreams.start(1, first_octet=82)
        stream = Stream("calls", [Client(upstream.address, clock)], 20.0, "read", 5_000.0)
        report = (await play_streams([stream], 1.0, seed=3, clock=clock, sleep=clock.sleep))["calls"]
        upstreams.close()
        return report

    scheduled_s = list(arrival_times(20.0, 1.0, random.Random("3/calls")))
    late = await report_with(3.0)  # the first sleep takes 3 s too long
    assert late.served.count == late.sends == len(scheduled_s)
    max_ms, min_ms = late.served.quantile_ms(1.0), late.served.quantile_ms(0.0)
    assert max_ms == pytest.approx(3_000, rel=0.01)
    assert min_ms == pytest.approx((3.0 + scheduled_s[0] - scheduled_s[-1]) * 1000, rel=0.01)
    assert late.lateness.quantile_ms(1.0) == pytest.approx(3_000, rel=0.01)
    (reason,) = late.invalid_reasons("direct", late_ms=1.0)
    assert reason.startswith("direct: ")
    assert "late" in reason
    assert (await report_with(0.0)).invalid_reasons("direct", late_ms=1.0) == []


def test_added_time_measures_both_paths_and_reports_why_the_load_is_invalid() -> None:
    plan = added_time.Plan(
        run="added_time",
        about="A trial.",
        seed=5,
        sizes=(3,),
        per_s=50.0,  # one at a time: if requests overlap on a slow machine, the balancer sheds some
        class_name="look-up",
        deadline_ms=2_000.0,
        service_ms=0.0,
        direct_servers=2,
        warm_s=0.08,
        rest_s=0.01,
        measure_s=0.4,
        late_ms=0.0,
    )
    result = added_time.play(plan, LOG)
    (row,) = [row.columns() for row in result.rows]
    assert row["entries"] == 3
    assert row["calls"] == len(list(arrival_times(50.0, 0.4, random.Random("5/through"))))
    assert row["served"] == row["calls"] <= row["calls"] * row["attempts_a_call"]
    assert row["processor_us_a_call"] > 0
    assert row["direct_50_ms"] > 0
    assert [reason.partition(": ")[0] for reason in result.invalid_reasons if "late" in reason] == [
        "3 entries, direct",
        "3 entries, through",
    ]


def test_real_depth_plays_each_fault_at_the_last_tier_of_a_chain_of_real_balancers() -> None:
    plan = real_depth.Plan(
        run="real_depth",
        about="A trial.",
        seed=5,
        sizes=(2,),
        faults_at=(2,),
        per_s=100.0,
        class_name="look-up",
        deadline_ms=1_000.0,
        warm_s=0.02,
        phase_s=0.05,
        late_ms=1_000.0,
    )
    rows = {row.phase: row.columns() for row in real_depth.play(plan, LOG).rows}
    assert next(iter(rows)) == "calm"
    assert len(rows) == 7
    for phase, row in rows.items():
        assert row["calls"] == row["served"] + row["refused"] + row["failed"] > 0
        top, bottom = row["attempts_by_tier"]
        assert top >= row["calls"]
        assert (row["attempts_top"], row["attempts_bottom"]) == (
            top / row["calls"],
            bottom / row["calls"],
        )
        if phase in ("fails all", "hangs"):
            assert row["served"] == 0
    calm = rows["calm"]
    assert calm["served"] == calm["calls"]
    assert 0 < calm["bottom_deadline_50_ms"] < 1_000
