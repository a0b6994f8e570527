"""Rows, fits and result files of the testbed."""

import json
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from testbed.results import (
    OMITTED_IF_NONE,
    Row,
    RunResult,
    fit_columns,
    fit_line,
    format_result,
    write_result,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Point(Row):
    n: int
    ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class InnerRow(Row):
    a: int | None = None
    b: int | None = field(default=None, metadata=OMITTED_IF_NONE)


@dataclass(frozen=True, slots=True, kw_only=True)
class OuterRow(Row):
    first: int
    part: InnerRow | None = field(default=None, metadata=OMITTED_IF_NONE)
    last: int


def points(*pairs: tuple[int, float]) -> list[Point]:
    return [Point(n=n, ms=ms) for n, ms in pairs]


def test_columns_of_nested_rows_are_in_field_order() -> None:
    row = OuterRow(first=1, part=InnerRow(a=2, b=3), last=4)
    assert list(row.columns().items()) == [("first", 1), ("a", 2), ("b", 3), ("last", 4)]
    assert OuterRow(first=1, part=InnerRow(), last=4).columns() == {"first": 1, "a": None, "last": 4}
    assert OuterRow(first=1, last=4).columns() == {"first": 1, "last": 4}


def test_fit_has_slope_and_standard_error() -> None:
    exact = fit_columns(points(*((n, 3.0 * n + 2.0) for n in (1, 2, 4, 8))), "ms", "n")
    assert (exact.y, exact.x, exact.points) == ("ms", "n", 4)
    assert (exact.slope, exact.intercept) == pytest.approx((3.0, 2.0))
    assert exact.slope_error == pytest.approx(0.0, abs=1e-9)
    # Calculated by hand: residuals -0.5, 1, -0.5, one degree of freedom, squared deviations of x sum to 2.
    noisy = fit_columns(points((0, 0.0), (1, 2.0), (2, 1.0)), "ms", "n", label="ms (noisy)")
    assert noisy == fit_line([0, 1, 2], [0.0, 2.0, 1.0], x="n", y="ms (noisy)")
    assert (noisy.slope, noisy.intercept) == pytest.approx((0.5, 0.5))
    assert noisy.slope_error == pytest.approx((1.5 / 2) ** 0.5)
    with pytest.raises(ValueError, match="at least two different sizes"):
        fit_columns(points((1, 1.0)), "ms", "n")


def test_invalid_result_has_no_rows_or_fits(tmp_path: Path) -> None:
    result = RunResult(points((1, 2.0), (2, 4.0)))
    result.fits.append(fit_columns(result.rows, "ms", "n"))
    write_result(tmp_path / "good.json", "good", {"about": "Points on a line."}, result)
    good = json.loads((tmp_path / "good.json").read_text())
    assert good["valid"]
    assert good["rows"] == [{"n": 1, "ms": 2.0}, {"n": 2, "ms": 4.0}]
    assert good["fits"][0]["slope"] == pytest.approx(2.0)
    assert {"program", "python", "numpy"} <= good["versions"].keys()
    assert good["machine"]["cores"] > 0
    assert "2 (+- 0) x n" in format_result(good)
    result.invalidity_reasons.append("requests were sent late")
    write_result(tmp_path / "late.json", "late", {"about": "Points on a line."}, result)
    late = json.loads((tmp_path / "late.json").read_text())
    assert not late["valid"]
    assert late["rows"] == []
    assert late["fits"] == []
    assert "no figures: requests were sent late" in format_result(late)
