"""Reading and validating experiment files."""

from pathlib import Path
from typing import Annotated

import pytest

from testbed.experiment import EXPERIMENTS_FOLDER, ExperimentError, Plan, RunKind, read_plan, renamed_field
from testbed.results import RunResult
from testbed.runs import RUN_KINDS

VALID_PLAN = 'run = "none"\nabout = "An empty run."\nseed = 1\nsizes = [1, 2]\n'
RUN_KINDS_FOR_TESTS = {"none": RunKind(Plan, lambda plan, log: RunResult())}


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (VALID_PLAN.replace("none", "other"), "run is 'other'"),
        (VALID_PLAN.replace("seed = 1", ""), "seed: Field required"),
        (VALID_PLAN.replace("[1, 2]", "[]"), "sizes"),
        (VALID_PLAN + "colour = 1\n", "colour"),
        ("run = ", "Invalid value"),
    ],
)
def test_invalid_experiment_is_reported_in_one_line(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "invalid.toml"
    path.write_text(text)
    with pytest.raises(ExperimentError, match=r"invalid\.toml") as caught:
        read_plan(path, RUN_KINDS_FOR_TESTS)
    assert message in str(caught.value)
    assert "\n" not in str(caught.value)


def test_every_packaged_experiment_can_be_read() -> None:
    plans = [read_plan(path, RUN_KINDS) for path in EXPERIMENTS_FOLDER.glob("*.toml")]
    assert {plan.run for plan in plans} == RUN_KINDS.keys()


def test_renamed_field_is_read_under_either_name(tmp_path: Path) -> None:
    class RenamedPlan(Plan):
        new_s: Annotated[float, renamed_field("new_s", "old_s")] = 0.0

    run_kinds = {"none": RunKind(RenamedPlan, lambda plan, log: RunResult())}
    path = tmp_path / "renamed.toml"
    for name in ("new_s", "old_s"):
        path.write_text(f"{VALID_PLAN}{name} = 2.5\n")
        written = read_plan(path, run_kinds).model_dump()
        assert written["new_s"] == 2.5
        assert "old_s" not in written
