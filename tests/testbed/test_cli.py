"""The testbed's files, fits and command line."""

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import pytest
from typer.testing import CliRunner

from testbed.cli import app
from testbed.experiment import FOLDER, ExperimentError, Plan, Run, formerly, read_plan
from testbed.results import OMITTED_IF_NONE, Findings, Row, fit_columns, fit_line, table, write
from testbed.runs import RUNS

GOOD = 'run = "none"\nabout = "Nothing."\nseed = 1\nsizes = [1, 2]\n'
NONE = {"none": Run(Plan, lambda plan, log: Findings())}


@dataclass(frozen=True, slots=True, kw_only=True)
class Point(Row):
    n: int
    ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PartRow(Row):
    a: int | None = None
    b: int | None = field(default=None, metadata=OMITTED_IF_NONE)


@dataclass(frozen=True, slots=True, kw_only=True)
class WholeRow(Row):
    first: int
    part: PartRow | None = field(default=None, metadata=OMITTED_IF_NONE)
    last: int


def points(*pairs: tuple[int, float]) -> list[Point]:
    return [Point(n=n, ms=ms) for n, ms in pairs]


def test_a_row_s_columns_are_its_fields_and_those_of_its_parts_in_their_order() -> None:
    whole = WholeRow(first=1, part=PartRow(a=2, b=3), last=4)
    assert list(whole.columns().items()) == [("first", 1), ("a", 2), ("b", 3), ("last", 4)]
    assert WholeRow(first=1, part=PartRow(), last=4).columns() == {"first": 1, "a": None, "last": 4}
    assert WholeRow(first=1, last=4).columns() == {"first": 1, "last": 4}


def test_a_fit_gives_the_slope_and_its_error() -> None:
    exact = fit_columns(points(*((n, 3.0 * n + 2.0) for n in (1, 2, 4, 8))), "ms", "n")
    assert (exact.y, exact.x, exact.points) == ("ms", "n", 4)
    assert (exact.slope, exact.intercept) == pytest.approx((3.0, 2.0))
    assert exact.slope_error == pytest.approx(0.0, abs=1e-9)
    # By hand: residuals -0.5, 1, -0.5 of one degree of freedom, over a spread of 2.
    noisy = fit_columns(points((0, 0.0), (1, 2.0), (2, 1.0)), "ms", "n", label="ms (noisy)")
    assert noisy == fit_line([0, 1, 2], [0.0, 2.0, 1.0], x="n", y="ms (noisy)")
    assert (noisy.slope, noisy.intercept) == pytest.approx((0.5, 0.5))
    assert noisy.slope_error == pytest.approx((1.5 / 2) ** 0.5)
    with pytest.raises(ValueError, match="two sizes"):
        fit_columns(points((1, 1.0)), "ms", "n")


@pytest.mark.parametrize(
    ("text", "says"),
    [
        (GOOD.replace("none", "other"), "run is 'other'"),
        (GOOD.replace("seed = 1", ""), "seed: Field required"),
        (GOOD.replace("[1, 2]", "[]"), "sizes"),
        (GOOD + "colour = 1\n", "colour"),
        ("run = ", "Invalid value"),
    ],
)
def test_a_bad_experiment_gets_one_plain_line(tmp_path: Path, text: str, says: str) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(ExperimentError, match=r"bad\.toml") as caught:
        read_plan(path, NONE)
    assert says in str(caught.value)
    assert "\n" not in str(caught.value)


def test_a_run_that_doubts_itself_gives_no_figures(tmp_path: Path) -> None:
    findings = Findings(points((1, 2.0), (2, 4.0)))
    findings.fits.append(fit_columns(findings.rows, "ms", "n"))
    write(tmp_path / "good.json", "good", {"about": "A line."}, findings)
    good = json.loads((tmp_path / "good.json").read_text())
    assert good["valid"]
    assert good["rows"] == [{"n": 1, "ms": 2.0}, {"n": 2, "ms": 4.0}]
    assert good["fits"][0]["slope"] == pytest.approx(2.0)
    assert {"program", "python", "numpy"} <= good["versions"].keys()
    assert good["machine"]["cores"] > 0
    assert "2 (+- 0) x n" in table(good)
    findings.doubts.append("the load was late")
    write(tmp_path / "late.json", "late", {"about": "A line."}, findings)
    late = json.loads((tmp_path / "late.json").read_text())
    assert not late["valid"]
    assert late["rows"] == []
    assert late["fits"] == []
    assert "no figures: the load was late" in table(late)


def test_every_experiment_that_comes_along_can_be_read() -> None:
    plans = [read_plan(path, RUNS) for path in FOLDER.glob("*.toml")]
    assert {plan.run for plan in plans} == RUNS.keys()


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.toml")), ids=lambda path: path.stem)
def test_an_experiment_that_comes_along_is_listed_with_its_question(path: Path) -> None:
    plan = read_plan(path, RUNS)
    listed = CliRunner().invoke(app, ["list"])
    assert listed.exit_code == 0
    assert f"{path.stem:24} {plan.about}" in listed.output.splitlines()


def test_a_renamed_field_is_read_by_both_names_and_written_by_the_new_one(tmp_path: Path) -> None:
    class RenamedPlan(Plan):
        new_s: Annotated[float, formerly("new_s", "old_s")] = 0.0

    runs = {"none": Run(RenamedPlan, lambda plan, log: Findings())}
    path = tmp_path / "renamed.toml"
    for name in ("new_s", "old_s"):
        path.write_text(f"{GOOD}{name} = 2.5\n")
        written = read_plan(path, runs).model_dump()
        assert written["new_s"] == 2.5
        assert "old_s" not in written


def test_the_command_line_says_what_is_wrong_in_one_line(tmp_path: Path) -> None:
    missing = CliRunner().invoke(app, ["run", str(tmp_path / "no.toml")])
    assert missing.exit_code == 2
    assert missing.output.startswith("testbed: no.toml: ")
    broken = CliRunner().invoke(app, ["show", str(tmp_path / "no.json")])
    assert broken.exit_code == 2
    assert broken.output.count("\n") == 1
