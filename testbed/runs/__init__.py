"""The runs by name; an experiment's file says which one plays it."""

from __future__ import annotations

from testbed.experiment import Run
from testbed.runs import added_time, real_depth

RUNS: dict[str, Run] = {
    "added_time": Run(added_time.Plan, added_time.play),
    "real_depth": Run(real_depth.Plan, real_depth.play),
}
