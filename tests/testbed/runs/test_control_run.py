"""The control-plane runs: one with a constant endpoint list, one with a changing endpoint list."""

import logging
from dataclasses import astuple
from typing import Any

import numpy as np
import pytest
import structlog

from testbed.experiment import EXPERIMENTS_FOLDER, read_plan
from testbed.runs import RUN_KINDS
from testbed.runs.control import change as control_change
from testbed.runs.control import idle as control_idle
from testbed.runs.control.delays import DelayQuantiles, VersionObservation, delay_quantiles, delays_ms
from testbed.settings import balancer_settings

# The shared logger cannot be used: the command-line tests close its output.
DISABLED_LOG = structlog.wrap_logger(
    structlog.ReturnLogger(), [], structlog.make_filtering_bound_logger(logging.CRITICAL)
)


def test_delay_ends_at_first_version_with_change() -> None:
    # The changes are versions 5, 6 and 7. Balancer 1 receives 5 and 6 together; balancer 2 never receives 7.
    values = [(1, 4, 9.0), (1, 6, 11.0), (2, 5, 10.5), (1, 7, 13.0), (2, 6, 12.0), (3, 7, 1.0)]
    observations = [VersionObservation(*fields) for fields in values]
    delays = delays_ms(observations, range(1, 3), 5, np.array([10.0, 10.5, 12.0]))
    assert delays.tolist() == [[1000.0, 500.0, 1000.0], [500.0, 1500.0, np.inf]]
    assert astuple(delay_quantiles(delays[:1])) == pytest.approx((1000.0, 1000.0, 1000.0))
    assert delay_quantiles(np.empty((0, 3))) == DelayQuantiles(median=None, p99=None, maximum=None)


def test_change_run_observes_every_change() -> None:
    plan = read_plan(EXPERIMENTS_FOLDER / "control_change.toml", RUN_KINDS)
    overrides: dict[str, Any] = {"sizes": (1, 3), "entries": 30, "multiples": (200.0, 400.0)}
    overrides |= {"spans_s": (0.1, 0.1), "processes": 2, "real": 1}
    result = control_change.measure(
        control_change.Plan.model_validate(plan.model_dump() | overrides), DISABLED_LOG
    )
    rows = [row.columns() for row in result.rows]
    assert [(row["balancers"], row["multiple"]) for row in rows] == [
        (balancers, multiple) for balancers in (1, 3) for multiple in (200.0, 400.0)
    ]
    for row in rows:
        assert row["changes"] > 0
        for column in ("in_force_ms", "taken_up_ms", "real_taken_up_ms"):
            assert 0 < row[f"{column}_median"] <= row[f"{column}_longest"] < float("inf")
        assert row["in_force_ms_median"] <= row["everywhere_ms_median"] <= row["in_force_ms_longest"]
        assert row["core_percent"] > 0
        assert row["real_core_percent"] > 0
        assert row["bytes_per_s"] > 0
    assert {row.snapshots for row in result.rows} == {0}  # all balancers had the list before the measurement
    assert {"in_force_ms_99 (200 times)", "core_percent (3 balancers)"} <= {fit.y for fit in result.fits}


def test_change_run_starts_after_initial_snapshots() -> None:
    plan = read_plan(EXPERIMENTS_FOLDER / "control_change.toml", RUN_KINDS)
    overrides: dict[str, Any] = {"sizes": (1, 2), "entries": 30, "multiples": (100.0, 400.0)}
    overrides |= {"spans_s": (0.1, 0.1), "processes": 1, "real": 0}
    result = control_change.measure(
        control_change.Plan.model_validate(plan.model_dump() | overrides), DISABLED_LOG
    )
    assert [row.snapshots for row in result.rows] == [0] * 4
    assert {row.real_core_percent for row in result.rows} == {None}


def test_idle_run_measures_each_size_and_mode(monkeypatch: pytest.MonkeyPatch) -> None:
    requested_settings = []

    def record_settings(**options: Any) -> dict[str, Any]:
        requested_settings.append((options["balancers"], options["pushed"]))
        return balancer_settings(**options)

    monkeypatch.setattr("testbed.runs.control.idle.settings.balancer_settings", record_settings)
    plan = read_plan(EXPERIMENTS_FOLDER / "control_rest.toml", RUN_KINDS)
    overrides = {"sizes": (3, 30), "span_s": 0.05, "settle_s": 0.0, "hollow": 2}
    result = control_idle.measure(
        control_idle.Plan.model_validate(plan.model_dump() | overrides), DISABLED_LOG
    )
    assert [(row.entries, row.mode) for row in result.rows] == [
        (entries, mode) for mode in ("push", "ask") for entries in (3, 30)
    ]
    assert requested_settings == [(entries, pushed) for pushed in (True, False) for entries in (3, 30)]
    assert all(row.resident_mib > 5 and row.descriptors > 5 for row in result.rows)
    assert {"resident_mib (push)", "bytes_per_s (ask)"} <= {fit.y for fit in result.fits}
