"""What a run found: rows, slopes fitted to them, and whether the machine kept up."""

from __future__ import annotations

import json
import math
import platform
import subprocess
from dataclasses import asdict, dataclass, field
from importlib.metadata import version
from pathlib import Path
from typing import Any

import numpy as np
import psutil

LIBRARIES = ("uvloop", "httptools", "typer", "structlog", "hdrhistogram", "psutil", "numpy", "pydantic")


@dataclass(frozen=True, slots=True)
class Fit:
    """A line through points by least squares: y = slope * x + intercept.

    Errors are standard errors, in the units of what they belong to; they are 0 where two points leave none.
    """

    y: str
    x: str
    slope: float
    slope_error: float
    intercept: float
    intercept_error: float
    points: int

    def at(self, x: float) -> float:
        """The line's value at x, which may lie outside the points: then it is derived, not measured."""
        return self.slope * x + self.intercept


def fit_line(rows: list[dict[str, Any]], y: str, x: str) -> Fit:
    """The line through two columns of rows; ValueError with fewer than two different x."""
    xs = np.array([float(row[x]) for row in rows])
    ys = np.array([float(row[y]) for row in rows])
    spread = float(((xs - xs.mean()) ** 2).sum()) if len(xs) else 0.0
    if spread == 0:
        raise ValueError(f"{y} over {x}: a slope needs two sizes or more")
    slope = float(((xs - xs.mean()) * (ys - ys.mean())).sum()) / spread
    intercept = float(ys.mean() - slope * xs.mean())
    free = len(xs) - 2
    noise = float(((ys - slope * xs - intercept) ** 2).sum()) / free if free else 0.0
    slope_error = math.sqrt(noise / spread)
    intercept_error = math.sqrt(noise * (1 / len(xs) + float(xs.mean()) ** 2 / spread))
    return Fit(y, x, slope, slope_error, intercept, intercept_error, len(xs))


@dataclass(slots=True)
class Findings:
    """What a run hands in; figures of a run with `doubts` are withheld when it is written."""

    rows: list[dict[str, Any]] = field(default_factory=list)
    fits: list[Fit] = field(default_factory=list)
    doubts: list[str] = field(default_factory=list)
    """Why the figures say nothing: the load was late, the cores were full."""


def machine() -> dict[str, Any]:
    """The machine that measured: processor, cores and memory in GiB."""
    model = next(
        (
            line.partition(":")[2].strip()
            for line in Path("/proc/cpuinfo").read_text().splitlines()
            if line.startswith("model name")
        ),
        platform.machine(),
    )
    return {
        "processor": model,
        "cores": psutil.cpu_count(),
        "memory_gib": round(psutil.virtual_memory().total / 2**30, 1),
        "system": f"{platform.system()} {platform.release()}",
    }


def versions() -> dict[str, str]:
    """The program's commit and the versions of Python and the libraries."""
    told = subprocess.run(
        ["git", "describe", "--always", "--dirty", "--abbrev=8"],
        cwd=Path(__file__).parent,
        capture_output=True,
        text=True,
        check=False,
    )
    commit = told.stdout.strip() or "unknown"
    return {
        "program": commit,
        "python": platform.python_version(),
        **{name: version(name) for name in LIBRARIES},
    }


def write(path: Path, name: str, plan: dict[str, Any], findings: Findings) -> None:
    """One result as a JSON file: experiment, machine, versions and figures, or why there are none."""
    valid = not findings.doubts
    result = {
        "experiment": name,
        "plan": plan,
        "machine": machine(),
        "versions": versions(),
        "valid": valid,
        "doubts": findings.doubts,
        "rows": findings.rows if valid else [],
        "fits": [asdict(fit) for fit in findings.fits] if valid else [],
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")


def table(result: dict[str, Any]) -> str:
    """A result's rows and fits as plain text."""
    lines = [f"{result['experiment']}: {result['plan']['about']}"]
    lines += [f"no figures: {doubt}" for doubt in result["doubts"]]
    rows: list[dict[str, Any]] = result["rows"]
    columns = list(dict.fromkeys(name for row in rows for name in row))
    cells = [columns, *([_plain(row.get(name, "")) for name in columns] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    if rows:
        lines += ["  ".join(c.rjust(w) for c, w in zip(row, widths, strict=True)) for row in cells]
    for fit in result["fits"]:
        lines.append(
            f"{fit['y']} = {fit['slope']:.4g} (+- {fit['slope_error']:.2g}) x {fit['x']}"
            f" + {fit['intercept']:.4g} (+- {fit['intercept_error']:.2g}), {fit['points']} points"
        )
    return "\n".join(lines)


def _plain(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
