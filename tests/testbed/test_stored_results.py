"""Stored results can be shown and have the columns of the current row types.

New results can therefore be compared with them.
"""

import json
from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any, get_args, get_type_hints

import pytest
from typer.testing import CliRunner

from testbed.cli import app
from testbed.results import Row, column_name
from testbed.runs import RUN_KINDS
from testbed.runs.added_time import AddedTimeRow
from testbed.runs.control.change_measurement import ChangeRow
from testbed.runs.control.idle import IdleRow
from testbed.runs.depth.simulation import DepthRow
from testbed.runs.hostile_clients import HostileClientsRow
from testbed.runs.list_size.rows import DecisionRow, ListRow
from testbed.runs.real_depth.run import RealDepthRow

RESULTS_FOLDER = Path(__file__).parents[2] / "docs" / "capacity"
RESULT_PATHS = sorted(RESULTS_FOLDER.glob("*.json"))
ROW_TYPES: dict[str, tuple[type[Row], ...]] = {
    "added_time": (AddedTimeRow,),
    "control_change": (ChangeRow,),
    "control_rest": (IdleRow,),
    "depth": (DepthRow,),
    "hostile_clients": (HostileClientsRow,),
    "list_size": (DecisionRow, ListRow),
    "real_depth": (RealDepthRow,),
}


def column_names(row_type: type[Row]) -> Iterator[str]:
    """Yield the columns that rows of a type can have, in order."""
    hints = get_type_hints(row_type)
    for column in fields(row_type):
        types = get_args(hints[column.name]) or (hints[column.name],)
        nested_row_types = [hint for hint in types if isinstance(hint, type) and issubclass(hint, Row)]
        if nested_row_types:
            yield from column_names(nested_row_types[0])
        else:
            yield column_name(column)


def has_columns_in_order(row: dict[str, Any], names: list[str]) -> bool:
    return list(row) == [name for name in names if name in row]


def test_stored_results_cover_every_run_kind() -> None:
    stored_run_kinds = {json.loads(path.read_text(encoding="utf-8"))["plan"]["run"] for path in RESULT_PATHS}
    assert stored_run_kinds == RUN_KINDS.keys() == ROW_TYPES.keys()


@pytest.mark.parametrize("path", RESULT_PATHS, ids=lambda path: path.stem)
def test_stored_columns_match_row_types(path: Path) -> None:
    stored = json.loads(path.read_text(encoding="utf-8"))
    column_names_by_type = [list(column_names(row_type)) for row_type in ROW_TYPES[stored["plan"]["run"]]]
    for row in stored["rows"]:
        assert any(has_columns_in_order(row, columns_of_type) for columns_of_type in column_names_by_type)
    if stored["rows"]:
        assert {name for row in stored["rows"] for name in row} == {
            n for columns_of_type in column_names_by_type for n in columns_of_type
        }


@pytest.mark.parametrize("path", RESULT_PATHS, ids=lambda path: path.stem)
def test_show_prints_columns_rows_and_fits(path: Path) -> None:
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


@pytest.mark.parametrize("path", RESULT_PATHS, ids=lambda path: path.stem)
def test_stored_plans_can_be_read(path: Path) -> None:
    stored = json.loads(path.read_text(encoding="utf-8"))["plan"]
    plan = RUN_KINDS[stored["run"]].plan_type.model_validate(stored)
    assert (plan.run, plan.about, plan.seed) == (stored["run"], stored["about"], stored["seed"])
    assert plan.sizes == tuple(stored["sizes"])
