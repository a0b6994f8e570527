"""Experiment files."""

from pathlib import Path
from typing import Annotated

import pytest

from testbed.experiment import FOLDER, ExperimentError, Plan, Run, formerly, read_plan
from testbed.results import RunResult
from testbed.runs import RUNS

VALID = 'run = "none"\nabout = "Nothing."\nseed = 1\nsizes = [1, 2]\n'
NONE = {"none": Run(Plan, lambda plan, log: RunResult())}


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (VALID.replace("none", "other"), "run is 'other'"),
        (VALID.replace("seed = 1", ""), "seed: Field required"),
        (VALID.replace("[1, 2]", "[]"), "sizes"),
        (VALID + "colour = 1\n", "colour"),
        ("run = ", "Invalid value"),
    ],
)
def test_an_invalid_experiment_is_reported_in_one_line(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "invalid.toml"
    path.write_text(text)
    with pytest.raises(ExperimentError, match=r"invalid\.toml") as caught:
        read_plan(path, NONE)
    assert message in str(caught.value)
    assert "\n" not in str(caught.value)


def test_every_experiment_of_the_package_can_be_read() -> None:
    plans = [read_plan(path, RUNS) for path in FOLDER.glob("*.toml")]
    assert {plan.run for plan in plans} == RUNS.keys()


def test_a_renamed_field_is_read_by_both_names_and_written_by_the_new_one(tmp_path: Path) -> None:
    class RenamedPlan(Plan):
        new_s: Annotated[float, formerly("new_s", "old_s")] = 0.0

    runs = {"none": Run(RenamedPlan, lambda plan, log: RunResult())}
    path = tmp_path / "renamed.toml"
    for name in ("new_s", "old_s"):
        path.write_text(f"{VALID}{name} = 2.5\n")
        written = read_plan(path, runs).model_dump()
        assert written["new_s"] == 2.5
        assert "old_s" not in written
