"""The run on list sizes."""

import logging
from collections.abc import Sequence
from dataclasses import dataclass, fields
from typing import Any

import pytest
import structlog

from loadbalancer.policy.endpoint_set import BALANCERS_PER_ENDPOINT
from testbed.discovery.service import Discovery
from testbed.experiment import FOLDER, read_plan
from testbed.results import Row
from testbed.runs import RUNS
from testbed.runs.list_size import run as list_size
from testbed.runs.list_size.rounds import INITIAL_REFERENCES, RoundColumns, Rounds
from testbed.runs.list_size.rows import CellName, ListRow, with_growth
from testbed.settings import endpoint_entries

# Of its own: a test of the command line leaves the shared one with an output that is closed.
SILENT_LOG = structlog.wrap_logger(
    structlog.ReturnLogger(), [], structlog.make_filtering_bound_logger(logging.CRITICAL)
)


def test_the_run_on_list_sizes_measures_every_part_at_every_size(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_size, "reference_us", lambda: 50.0)
    plan = read_plan(FOLDER / "list_size.toml", RUNS)
    small = {
        "sizes": (6, 40),
        "warm_calls": 20,
        "calls": 400,
        "deltas": 3,
        "lists": 2,
        "rounds": 1,
        "rounds_max": 1,
    }
    result = list_size.play(list_size.Plan.model_validate(plan.model_dump() | small), SILENT_LOG)
    rows = [row.columns() for row in result.rows]
    lists = [row for row in rows if row["measured"] == "list"]
    decisions = [row for row in rows if row["measured"] == "decision"]
    assert [(row["entries"], row["keeps"]) for row in lists] == [
        (entries, keeps) for entries in (6, 40) for keeps in ("part", "all")
    ]
    assert [(row["calls"], row["shed"]) for row in decisions] == [(400, 0)] * 8
    kept = {row["keeps"]: row["servers_called"] for row in decisions if row["entries"] == 40}
    assert kept["part"] <= BALANCERS_PER_ENDPOINT < kept["all"]
    for row in lists:
        discovery = Discovery()
        discovery.replace_entries(endpoint_entries(row["entries"], seed=plan.seed))
        assert row["list_bytes"] == len(discovery.list_response(-1).body)
        parts = sum(row[f"list_{part}_ms"] for part in ("parse", "read", "pools", "module"))
        assert 0 < row["list_module_ms"] < parts
        assert 0 < row["delta_module_us"] < row["delta_whole_us_99"]
        assert row["memory_kib"] > row["entries"]  # the list alone takes less than 1 KiB an entry
    slopes = {fit.y: fit for fit in result.fits}
    assert slopes["list_bytes (all)"].slope == pytest.approx(
        (lists[3]["list_bytes"] - lists[1]["list_bytes"]) / 34
    )
    for keeps in ("part", "all"):
        assert {f"arrival_us_mean ({keeps}, tier {tier})" for tier in (0, 1)} <= slopes.keys()
    assert all("list_module_ms_growth" in row for row in lists[2:])


def list_row(entries: int, list_module_ms: float) -> ListRow:
    costs = {column.name: 1.0 for column in fields(ListRow) if column.name.startswith(("list_", "delta_"))}
    growth = {"delta_module_us_growth": None, "list_module_ms_growth": None}
    values: dict[str, Any] = costs | growth | {"memory_kib": 1.0, "list_module_ms": list_module_ms}
    return ListRow(
        cell=CellName(measured="list", entries=entries, keeps="all", tier=0),
        rounds=RoundColumns(rounds=1, rounds_played=1, reference_us=1.0),
        **values,
    )


def test_growth_is_the_power_of_the_length_between_two_sizes() -> None:
    rows = [list_row(entries, ms) for entries, ms in ((10, 1.0), (100, 1.0), (1000, 100.0))]
    grown = [row.columns() for row in with_growth(rows)]
    assert "list_module_ms_growth" not in grown[0]
    assert [row["list_module_ms_growth"] for row in grown[1:]] == pytest.approx([0.0, 2.0])
    assert [row["delta_module_us_growth"] for row in grown[1:]] == [0.0, 0.0]


@dataclass(frozen=True, slots=True, kw_only=True)
class EntriesRow(Row):
    entries: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundsRow(Row):
    round: list[float]
    columns_of_rounds: RoundColumns


class CountedCell:
    def __init__(self) -> None:
        self.name = EntriesRow(entries=6)
        self.rounds = 0

    def play(self) -> float:
        self.rounds += 1
        return float(self.rounds)

    def row(self, quick_rounds: Sequence[float], columns: RoundColumns) -> RoundsRow:
        return RoundsRow(round=list(quick_rounds), columns_of_rounds=columns)


def test_only_rounds_beside_a_quick_core_count() -> None:
    def played(enough: int, most: int, *readings: float) -> tuple[list[dict[str, Any]], list[str]]:
        coming = iter([*[10.0] * INITIAL_REFERENCES, *readings])
        rounds: Rounds[RoundsRow] = Rounds(enough, most, lambda: next(coming))
        rounds.play(CountedCell())
        assert next(coming, None) is None
        result = rounds.result()
        return [row.columns() for row in result.rows], result.invalid_reasons

    # A slow reference before or after a round leaves it out; enough quick ones end the play.
    rows, doubts = played(2, 9, 10.0, 12.0, 19.0, 11.0, 12.5)
    assert rows == [{"round": [1.0, 4.0], "rounds": 2, "rounds_played": 4, "reference_us": 12.5}]
    assert doubts == []
    assert played(1, 2, 19.0, 10.0, 19.0) == ([], ["{'entries': 6}: none of 2 rounds was quick"])
    # A quicker core seen later makes the earlier rounds slow ones.
    rows, doubts = played(3, 3, 10.0, 10.0, 6.0, 6.0)
    assert [row["round"] for row in rows] == [[3.0]]
