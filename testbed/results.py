"""Results of a run: rows, linear fits, and the reasons why the results are invalid, if any.

A run returns typed rows, which are converted to JSON objects when a result is written. The names of stored
columns do not change, so that old and new results can be compared: a column has the name of its field, or
the one given by `stored_as` if the field has been renamed.
"""

from __future__ import annotations

import json
import math
import platform
import subprocess
from dataclasses import Field, asdict, dataclass, field, fields
from importlib.metadata import version
from pathlib import Path
from typing import TYPE_CHECKING, Any, Generic, TypeVar

import numpy as np
import psutil

from testbed.errors import TestbedError

if TYPE_CHECKING:
    from collections.abc import Sequence

LIBRARIES = ("uvloop", "httptools", "typer", "structlog", "hdrhistogram", "psutil", "numpy", "pydantic")
"""The libraries whose versions are stored with each result."""
OMITTED_IF_NONE = {"omitted_if_none": True}
"""Metadata of a field that is omitted from the stored row if it is None, instead of stored as null."""


def stored_as(column_name: str) -> Any:
    """Define a field of a row whose column has another name in stored results."""
    return field(metadata={"column_name": column_name})


def column_name(column: Field[Any]) -> str:
    """Return the name of a field's stored column: the one given by `stored_as`, or else the field's name."""
    return str(column.metadata.get("column_name", column.name))


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of a result; each kind of run defines its columns as the fields of a subclass.

    A field that holds another row contributes the columns of that row.
    """

    def columns(self) -> dict[str, Any]:
        """Return the values by column name, in the order of the fields; nested rows are flattened."""
        columns: dict[str, Any] = {}
        for column in fields(self):
            value = getattr(self, column.name)
            if isinstance(value, Row):
                columns |= value.columns()
            elif value is not None or column.metadata != OMITTED_IF_NONE:
                columns[column_name(column)] = value
        return columns


RowT = TypeVar("RowT", bound=Row)


@dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line: y = slope * x + intercept.

    The errors are the standard errors of slope and intercept, in the same units; with two points they are 0.
    """

    y: str
    x: str
    slope: float
    slope_error: float
    intercept: float
    intercept_error: float
    points: int

    def predict(self, x: float) -> float:
        """Return the line's value at x; outside the range of the points it is an extrapolation."""
        return self.slope * x + self.intercept


class UndeterminedSlopeError(TestbedError, ValueError):
    """The points have fewer than two different values of x, so they do not determine a slope."""

    def __init__(self, x: str, y: str) -> None:
        super().__init__(f"{y} over {x}: a slope needs at least two different sizes")


def fit_line(x_values: Sequence[float], y_values: Sequence[float], *, x: str, y: str) -> Fit:
    """Fit a line through points by least squares.

    Args:
        x_values: The x of each point.
        y_values: The y of each point.
        x: The name of x.
        y: The name of y.

    Raises:
        UndeterminedSlopeError: There are fewer than two different values of x.
    """
    xs = np.array([float(value) for value in x_values])
    ys = np.array([float(value) for value in y_values])
    squared_deviations = float(((xs - xs.mean()) ** 2).sum()) if len(xs) else 0.0
    if squared_deviations == 0:
        raise UndeterminedSlopeError(x, y)
    slope = float(((xs - xs.mean()) * (ys - ys.mean())).sum()) / squared_deviations
    intercept = float(ys.mean() - slope * xs.mean())
    degrees_of_freedom = len(xs) - 2
    residual_variance = (
        float(((ys - slope * xs - intercept) ** 2).sum()) / degrees_of_freedom if degrees_of_freedom else 0.0
    )
    slope_error = math.sqrt(residual_variance / squared_deviations)
    intercept_error = math.sqrt(
        residual_variance * (1 / len(xs) + float(xs.mean()) ** 2 / squared_deviations)
    )
    return Fit(y, x, slope, slope_error, intercept, intercept_error, len(xs))


def fit_columns(rows: Sequence[Row], y: str, x: str, *, label: str | None = None) -> Fit:
    """Fit a line through two columns of rows.

    Args:
        rows: The rows.
        y: The column of the dependent variable.
        x: The column of the independent variable.
        label: The name of y in the fit; by default the name of the column.

    Raises:
        UndeterminedSlopeError: There are fewer than two different values of x.
    """
    table = [row.columns() for row in rows]
    return fit_line([row[x] for row in table], [row[y] for row in table], x=x, y=label or y)


@dataclass(frozen=True, slots=True)
class MeasuredRow(Generic[RowT]):
    """One row, and the reasons why its values are invalid, if any."""

    row: RowT
    invalidity_reasons: list[str]


@dataclass(slots=True)
class RunResult(Generic[RowT]):
    """The results of a run; if they are invalid, rows and fits are not written."""

    rows: list[RowT] = field(default_factory=list)
    fits: list[Fit] = field(default_factory=list)
    invalidity_reasons: list[str] = field(default_factory=list)
    """Why the results are invalid, such as late load or saturated cores; empty if they are valid."""

    @property
    def is_valid(self) -> bool:
        """Whether `invalidity_reasons` is empty."""
        return not self.invalidity_reasons

    def add(self, measured: MeasuredRow[RowT]) -> None:
        """Add a row and the reasons why its values are invalid."""
        self.rows.append(measured.row)
        self.invalidity_reasons += measured.invalidity_reasons


def describe_machine() -> dict[str, Any]:
    """Describe the machine: processor, cores, memory in GiB and operating system."""
    return {
        "processor": _processor_model(),
        "cores": psutil.cpu_count(),
        "memory_gib": round(psutil.virtual_memory().total / 2**30, 1),
        "system": f"{platform.system()} {platform.release()}",
    }


def _processor_model() -> str:
    """Return the first processor's model name, or the architecture if the system reports none."""
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            return line.partition(":")[2].strip()
    return platform.machine()


def versions() -> dict[str, str]:
    """Return the program's commit and the versions of Python and the libraries."""
    git_describe = subprocess.run(
        ["git", "describe", "--always", "--dirty", "--abbrev=8"],
        cwd=Path(__file__).parent,
        capture_output=True,
        text=True,
        check=False,
    )
    return {
        "program": git_describe.stdout.strip() or "unknown",
        "python": platform.python_version(),
        **{name: version(name) for name in LIBRARIES},
    }


def write_result(path: Path, name: str, plan: dict[str, Any], result: RunResult[Any]) -> None:
    """Write a result as a JSON file, with rows and fits only if it is valid.

    Args:
        path: The file; missing parent folders are created.
        name: The experiment's name.
        plan: The experiment's plan as a JSON object.
        result: The result of the run.
    """
    valid = result.is_valid
    stored = {
        "experiment": name,
        "plan": plan,
        "machine": describe_machine(),
        "versions": versions(),
        "valid": valid,
        "doubts": result.invalidity_reasons,
        "rows": [row.columns() for row in result.rows] if valid else [],
        "fits": [asdict(fit) for fit in result.fits] if valid else [],
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(stored, indent=1) + "\n", encoding="utf-8")


def format_result(stored: dict[str, Any]) -> str:
    """Format a stored result's rows and fits as plain text.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has an unexpected type.
    """
    lines = [f"{stored['experiment']}: {stored['plan']['about']}"]
    lines += [f"no figures: {reason}" for reason in stored["doubts"]]
    lines += _table_lines(stored["rows"])
    for fit in stored["fits"]:
        lines.append(
            f"{fit['y']} = {fit['slope']:.4g} (+- {fit['slope_error']:.2g}) x {fit['x']}"
            f" + {fit['intercept']:.4g} (+- {fit['intercept_error']:.2g}), {fit['points']} points"
        )
    return "\n".join(lines)


def _table_lines(rows: list[dict[str, Any]]) -> list[str]:
    """Format rows as right-aligned columns below a header line; return no lines if there are no rows."""
    if not rows:
        return []
    columns = list(dict.fromkeys(name for row in rows for name in row))
    cells = [columns, *([_cell_text(row.get(name, "")) for name in columns] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return ["  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True)) for line in cells]


def _cell_text(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
