"""The runs that send load through real balancers: added time and real depth."""

from __future__ import annotations

import random

import structlog

from testbed.load.arrivals import arrival_times
from testbed.runs import added_time
from testbed.runs.real_depth import run as real_depth

# Independent of how other tests configure logging.
LOG = structlog.wrap_logger(structlog.testing.CapturingLogger(), processors=[])


def test_added_time_measures_both_paths_and_reports_late_load() -> None:
    plan = added_time.Plan(
        run="added_time",
        about="A short run.",
        seed=5,
        sizes=(3,),
        per_s=50.0,  # requests rarely overlap: on a slow machine, overlapping requests would be shed
        class_name="look-up",
        deadline_ms=2_000.0,
        service_ms=0.0,
        direct_servers=2,
        warm_s=0.08,
        rest_s=0.01,
        measure_s=0.4,
        late_ms=0.0,
    )
    result = added_time.measure(plan, LOG)
    (row,) = [row.columns() for row in result.rows]
    assert row["entries"] == 3
    assert row["calls"] == len(list(arrival_times(50.0, 0.4, random.Random("5/through"))))
    assert row["served"] == row["calls"] <= row["calls"] * row["attempts_a_call"]
    assert row["processor_us_a_call"] > 0
    assert row["direct_50_ms"] > 0
    assert [reason.partition(": ")[0] for reason in result.invalidity_reasons if "late" in reason] == [
        "3 entries, direct",
        "3 entries, through",
    ]


def test_real_depth_measures_each_fault_at_last_tier() -> None:
    plan = real_depth.Plan(
        run="real_depth",
        about="A short run.",
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
    rows = {row.phase: row.columns() for row in real_depth.measure(plan, LOG).rows}
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
    no_fault = rows["calm"]
    assert no_fault["served"] == no_fault["calls"]
    assert 0 < no_fault["bottom_deadline_50_ms"] < 1_000
