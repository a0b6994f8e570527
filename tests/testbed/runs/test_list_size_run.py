"""The list-size run: benchmarks, growth and undisturbed rounds."""

import logging
from collections.abc import Sequence
from dataclasses import dataclass, fields
from typing import Any

import pytest
import structlog

from loadbalancer.policy.endpoint_set import BALANCERS_PER_ENDPOINT
from testbed.discovery.service import Discovery
from testbed.experiment import EXPERIMENTS_FOLDER, read_plan
from testbed.results import Row
from testbed.runs import RUN_KINDS
from testbed.runs.list_size import run as list_size
from testbed.runs.list_size.rounds import INITIAL_CALIBRATIONS, BenchmarkRunner, RoundColumns
from testbed.runs.list_size.rows import BenchmarkIdentity, ListRow, with_growth
from testbed.settings import endpoint_entries

# The shared logger cannot be used: the command-line tests close its output.
DISABLED_LOG = structlog.wrap_logger(
    structlog.ReturnLogger(), [], structlog.make_filtering_bound_logger(logging.CRITICAL)
)


def test_list_size_run_measures_each_step_and_size(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_size, "measure_calibration_us", lambda: 50.0)
    plan = read_plan(EXPERIMENTS_FOLDER / "list_size.toml", RUN_KINDS)
    overrides = {
        "sizes": (6, 40),
        "warm_calls": 20,
        "calls": 400,
        "deltas": 3,
        "lists": 2,
        "rounds": 1,
        "rounds_max": 1,
    }
    result = list_size.measure(list_size.Plan.model_validate(plan.model_dump() | overrides), DISABLED_LOG)
    rows = [row.columns() for row in result.rows]
    lists = [row for row in rows if row["measured"] == "list"]
    decisions = [row for row in rows if row["measured"] == "decision"]
    assert [(row["entries"], row["keeps"]) for row in lists] == [
        (entries, endpoint_use) for entries in (6, 40) for endpoint_use in ("part", "all")
    ]
    assert [(row["calls"], row["shed"]) for row in decisions] == [(400, 0)] * 8
    endpoints_called = {row["keeps"]: row["servers_called"] for row in decisions if row["entries"] == 40}
    assert endpoints_called["part"] <= BALANCERS_PER_ENDPOINT < endpoints_called["all"]
    for row in lists:
        discovery = Discovery()
        discovery.replace_entries(endpoint_entries(row["entries"], seed=plan.seed))
        assert row["list_bytes"] == len(discovery.list_response(-1).body)
        steps_ms = sum(row[f"list_{step}_ms"] for step in ("parse", "read", "pools", "module"))
        assert 0 < row["list_module_ms"] < steps_ms
        assert 0 < row["delta_module_us"] < row["delta_whole_us_99"]
        # The list alone needs less than 1 KiB per entry: more memory shows that other state is included.
        assert row["memory_kib"] > row["entries"]
    fits_by_y = {fit.y: fit for fit in result.fits}
    assert fits_by_y["list_bytes (all)"].slope == pytest.approx(
        (lists[3]["list_bytes"] - lists[1]["list_bytes"]) / 34
    )
    for endpoint_use in ("part", "all"):
        assert {f"arrival_us_mean ({endpoint_use}, tier {tier})" for tier in (0, 1)} <= fits_by_y.keys()
    assert all("list_module_ms_growth" in row for row in lists[2:])


def list_row(entries: int, list_module_ms: float) -> ListRow:
    costs = {column.name: 1.0 for column in fields(ListRow) if column.name.startswith(("list_", "delta_"))}
    growth = {"delta_module_us_growth": None, "list_module_ms_growth": None}
    values: dict[str, Any] = costs | growth | {"memory_kib": 1.0, "list_module_ms": list_module_ms}
    return ListRow(
        identity=BenchmarkIdentity(measured="list", entries=entries, keeps="all", tier=0),
        rounds=RoundColumns(rounds=1, rounds_run=1, max_calibration_us=1.0),
        **values,
    )


def test_growth_is_exponent_of_list_length() -> None:
    rows = [list_row(entries, ms) for entries, ms in ((10, 1.0), (100, 1.0), (1000, 100.0))]
    rows_with_growth = [row.columns() for row in with_growth(rows)]
    assert "list_module_ms_growth" not in rows_with_growth[0]
    assert [row["list_module_ms_growth"] for row in rows_with_growth[1:]] == pytest.approx([0.0, 2.0])
    assert [row["delta_module_us_growth"] for row in rows_with_growth[1:]] == [0.0, 0.0]


@dataclass(frozen=True, slots=True, kw_only=True)
class EntriesRow(Row):
    entries: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundRow(Row):
    round: list[float]
    round_columns: RoundColumns


class CountingBenchmark:
    def __init__(self) -> None:
        self.identity = EntriesRow(entries=6)
        self.rounds = 0

    def run_round(self) -> float:
        self.rounds += 1
        return float(self.rounds)

    def row(self, undisturbed_rounds: Sequence[float], columns: RoundColumns) -> RoundRow:
        return RoundRow(round=list(undisturbed_rounds), round_columns=columns)


def test_only_undisturbed_rounds_count() -> None:
    def measure_rounds(
        required_rounds: int, max_rounds: int, *readings: float
    ) -> tuple[list[dict[str, Any]], list[str]]:
        calibrations = iter([*[10.0] * INITIAL_CALIBRATIONS, *readings])
        runner: BenchmarkRunner[RoundRow] = BenchmarkRunner(
            required_rounds, max_rounds, lambda: next(calibrations)
        )
        runner.measure(CountingBenchmark())
        assert next(calibrations, None) is None
        result = runner.result()
        return [row.columns() for row in result.rows], result.invalidity_reasons

    # A slow calibration before or after a round excludes the round. No further round is run once the required
    # number of rounds was undisturbed.
    rows, reasons = measure_rounds(2, 9, 10.0, 12.0, 19.0, 11.0, 12.5)
    assert rows == [{"round": [1.0, 4.0], "rounds": 2, "rounds_played": 4, "reference_us": 12.5}]
    assert reasons == []
    assert measure_rounds(1, 2, 19.0, 10.0, 19.0) == (
        [],
        ["{'entries': 6}: the core was disturbed in all 2 rounds"],
    )
    # A later, faster calibration lowers the minimum: the earlier rounds no longer count as undisturbed.
    rows, reasons = measure_rounds(3, 3, 10.0, 10.0, 6.0, 6.0)
    assert [row["round"] for row in rows] == [[3.0]]
