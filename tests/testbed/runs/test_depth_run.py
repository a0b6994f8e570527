"""The depth run: simulated chains with faults."""

from typing import Any

import pytest
import structlog
from structlog.testing import capture_logs

from testbed.results import RunResult
from testbed.runs.depth import run as depth_run


def make_plan(**overrides: Any) -> depth_run.Plan:
    defaults: dict[str, Any] = {
        "run": "depth",
        "about": "Short chains.",
        "seed": 1,
        "sizes": (1, 2),
        "warm_s": 1,
        "fault_s": 1,
        "faults": [{"name": "500", "behaviour": "fails"}],
    }
    return depth_run.Plan.model_validate(defaults | overrides)


def run_depth(**overrides: Any) -> RunResult[Any]:
    with capture_logs():  # the command-line tests close the output of the shared logger
        return depth_run.measure(make_plan(**overrides), structlog.get_logger())


def run_depth_rows(**overrides: Any) -> list[dict[str, Any]]:
    return [row.columns() for row in run_depth(**overrides).rows]


def test_attempts_multiply_with_each_tier() -> None:
    faults = [{"name": "refused", "behaviour": "refuses"}]
    one_tier, two_tiers = run_depth_rows(
        single_call=True, deadline_ms=600_000, latency_objective_ms=600_000, faults=faults
    )
    assert (one_tier["bottom_attempts_a_call"], two_tiers["bottom_attempts_a_call"]) == (4, 16)
    assert one_tier["attempts_a_call_by_tier"] == [4]
    assert two_tiers["attempts_a_call_by_tier"] == [4, 16]
    assert one_tier["served_before"] == two_tiers["served_before"] == 1.0
    assert one_tier["served_while"] == 0.0


def without_measured_times(rows_of_run: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return [{name: v for name, v in row.items() if not name.startswith("machine")} for row in rows_of_run]


def test_same_seed_gives_same_rows() -> None:
    overrides: dict[str, Any] = {"sizes": (1, 3), "after_s": 1, "may_hedge": True}
    first, again, other = (
        without_measured_times(run_depth_rows(seed=seed, **overrides)) for seed in (5, 5, 6)
    )
    assert first == again
    assert first != other
    assert sum(row["calls"] for row in first) > 400


def test_simulation_cut_short_is_marked_and_not_fitted() -> None:
    complete = run_depth(sizes=(1, 2, 4))
    assert not any(row.cut_short for row in complete.rows)
    assert [(fit.x, fit.points) for fit in complete.fits] == [("depth", 3), ("depth", 3), ("ln depth", 3)] * 2
    event_limit = complete.rows[1].work.events
    cut = run_depth(sizes=(1, 2, 4), events_max=event_limit)
    assert [row.cut_short for row in cut.rows] == [False, False, True]
    assert cut.rows[2].work.events == event_limit
    assert {fit.points for fit in cut.fits} == {2}
    assert cut.rows[2].columns()["attempts_a_call_by_tier"][0] > 0


def test_service_recovers_with_servers() -> None:
    [row] = run_depth_rows(
        sizes=(2,),
        warm_s=2,
        fault_s=2,
        after_s=12,
        faults=[{"name": "rejected", "behaviour": "turns away"}],
    )
    assert (row["served_before"], row["served_while"]) == (1.0, 0.0)
    windows = row["served_after_by_window"]
    recovery_window = round(row["back_after_s"] / 0.5)
    assert len(windows) == 24
    assert windows[recovery_window - 1] == 1.0
    assert max(windows[: recovery_window - 1], default=0.0) < 1.0


@pytest.mark.parametrize(("tier", "faulty_tier"), [("first", 1), ("middle", 2), ("bottom", 4)])
def test_fault_affects_only_chosen_tier_and_servers(tier: str, faulty_tier: int) -> None:
    fault = {"name": "one", "behaviour": "refuses", "tier": tier, "servers": 1}
    parsed_fault = depth_run.Fault.model_validate(fault)
    assert parsed_fault.tier_number(4) == faulty_tier
    assert parsed_fault.tier_number(1) == 1
    [row] = run_depth_rows(sizes=(4,), faults=[fault])
    by_tier = row["attempts_a_call_by_tier"]
    # Requests need a second attempt only at the faulty tier, until the faulty server is ejected.
    assert [n > before for before, n in zip([1.0, *by_tier], by_tier, strict=False)] == [
        tier == faulty_tier for tier in (1, 2, 3, 4)
    ]
    assert row["served"] == 1.0


def test_partial_failures_and_shed_requests_are_measured() -> None:
    partial_failures = [{"name": "part", "behaviour": "fails", "fraction": 0.25}]
    [row] = run_depth_rows(sizes=(1,), attempts_cap=1, fault_s=10, faults=partial_failures)
    assert 0.70 < row["served_while"] < 0.80
    assert row["bottom_attempts_a_call"] == 1.0
    [hung] = run_depth_rows(sizes=(1,), fault_s=5, faults=[{"name": "hang", "behaviour": "hangs"}])
    assert hung["shed_while"] > 0.5
    assert hung["served_while"] == 0.0
    assert hung["bottom_attempts_a_call"] == pytest.approx(1 - hung["shed_while"])
    assert hung["bottom_attempts_an_admitted"] == 1.0
