"""The runs by name; an experiment's file says which one plays it."""

from __future__ import annotations

from testbed.experiment import Run
from testbed.runs import depth

RUNS: dict[str, Run] = {
    "depth": Run(depth.Plan, depth.play),
}
