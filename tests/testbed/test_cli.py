"""The command-line interface of the testbed."""

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from testbed.cli import app
from testbed.experiment import EXPERIMENTS_FOLDER, Plan, RunKind, read_plan
from testbed.results import RunResult
from testbed.runs import RUN_KINDS


@pytest.mark.parametrize("path", sorted(EXPERIMENTS_FOLDER.glob("*.toml")), ids=lambda path: path.stem)
def test_list_shows_every_experiment(path: Path) -> None:
    plan = read_plan(path, RUN_KINDS)
    result = CliRunner().invoke(app, ["list"])
    assert result.exit_code == 0
    assert f"{path.stem:24} {plan.about}" in result.output.splitlines()


def test_run_writes_one_result_per_experiment(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    reasons: list[str] = []
    monkeypatch.setitem(
        RUN_KINDS, "none", RunKind(Plan, lambda plan, log: RunResult(invalidity_reasons=reasons))
    )
    paths = [tmp_path / "one.toml", tmp_path / "other.toml"]
    for path in paths:
        path.write_text('run = "none"\nabout = "An empty run."\nseed = 1\nsizes = [1, 2]\n')
    command = ["run", *map(str, paths), "--out", str(tmp_path / "results")]
    for is_valid, exit_code in ((True, 0), (False, 3)):
        if not is_valid:
            reasons.append("requests were sent late")
        assert CliRunner().invoke(app, command).exit_code == exit_code
        for path in paths:
            stored = json.loads((tmp_path / "results" / f"{path.stem}.json").read_text())
            assert (stored["experiment"], stored["valid"]) == (path.stem, is_valid)
            assert stored["doubts"] == reasons
            assert stored["plan"]["about"] == "An empty run."


def test_errors_are_reported_in_one_line(tmp_path: Path) -> None:
    missing_experiment = CliRunner().invoke(app, ["run", str(tmp_path / "no.toml")])
    assert missing_experiment.exit_code == 2
    assert missing_experiment.output.startswith("testbed: no.toml: ")
    missing_result = CliRunner().invoke(app, ["show", str(tmp_path / "no.json")])
    assert missing_result.exit_code == 2
    assert missing_result.output.count("\n") == 1
