"""Stored results have the columns of today's rows, so that they can be compared."""

import json
from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any, get_args, get_type_hints

import pytest
from typer.testing import CliRunner

from testbed.cli import app
from testbed.results import Row, column_name
from testbed.runs import RUNS
from testbed.runs.added_time import AddedTimeRow
from testbed.runs.control.change_measurement import ChangeRow
from testbed.runs.control.rest import RestRow
from testbed.runs.depth.simulation import DepthRow
from testbed.runs.list_size.rows import DecisionRow, ListRow
from testbed.runs.real_depth.run import RealDepthRow

FOLDER = Path(__file__).parents[2] / "docs" / "capacity"
PATHS = sorted(FOLDER.glob("*.json"))
ROW_TYPES: dict[str, tuple[type[Row], ...]] = {
    "added_time": (AddedTimeRow,),
    "control_change": (ChangeRow,),
    "control_rest": (RestRow,),
    "depth": (DepthRow,),
    "list_size": (DecisionRow, ListRow),
    "real_depth": (RealDepthRow,),
}


def column_names(row_type: type[Row]) -> Iterator[str]:
    """Yield the columns that rows of a type can have, in their order."""
    hints = get_type_hints(row_type)
    for column in fields(row_type):
        types = get_args(hints[column.name]) or (hints[column.name],)
        parts = [part for part in types if isinstance(part, type) and issubclass(part, Row)]
        if parts:
            yield from column_names(parts[0])
        else:
            yield column_name(column)


def in_order(row: dict[str, Any], names: list[str]) -> bool:
    return list(row) == [name for name in names if name in row]


def test_every_run_has_a_stored_result() -> None:
    runs = {json.loads(path.read_text(encoding="utf-8"))["plan"]["run"] for path in PATHS}
    assert runs == RUNS.keys() == ROW_TYPES.keys()


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.stem)
def test_a_stored_result_has_the_columns_of_its_run_s_rows(path: Path) -> None:
    stored = json.loads(path.read_text(encoding="utf-8"))
    names = [list(column_names(row_type)) for row_type in ROW_TYPES[stored["plan"]["run"]]]
    for row in stored["rows"]:
        assert any(in_order(row, of_type) for of_type in names)
    if stored["rows"]:
        assert {name for row in stored["rows"] for name in row} == {n for of_type in names for n in of_type}


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.stem)
def test_a_stored_result_is_shown_with_its_columns_rows_and_fits(path: Path) -> None:
    stored = json.loads(path.read_text(encoding="utf-8"))
    shown = CliRunner().invoke(app, ["show", str(path)])
    assert shown.exit_code == 0
    lines = shown.output.splitlines()
    assert lines[0] == f"{stored['experiment']}: {stored['plan']['about']}"
    doubt_count = len(stored["doubts"])
    assert lines[1 : 1 + doubt_count] == [f"no figures: {doubt}" for doubt in stored["doubts"]]
    header_count = 1 if stored["rows"] else 0
    assert len(lines) == 2 + doubt_count + header_count + len(stored["rows"]) + len(stored["fits"])
    if stored["rows"]:
        columns = lines[1 + doubt_count].split()
        assert set(columns) == {name for row in stored["rows"] for name in row}


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.stem)
def test_the_plan_of_a_stored_result_is_still_read(path: Path) -> None:
    stored = json.loads(path.read_text(encoding="utf-8"))["plan"]
    plan = RUNS[stored["run"]].plan.model_validate(stored)
    assert (plan.run, plan.about, plan.seed) == (stored["run"], stored["about"], stored["seed"])
    assert plan.sizes == tuple(stored["sizes"])
