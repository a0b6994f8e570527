"""The runs by name; an experiment's file says which one plays it."""

from __future__ import annotations

from testbed.experiment import Run
from testbed.runs import added_time, control_change, control_rest, depth, list_size, real_depth

RUNS: dict[str, Run] = {
    "added_time": Run(added_time.Plan, added_time.play),
    "control_change": Run(control_change.Plan, control_change.play),
    "control_rest": Run(control_rest.Plan, control_rest.play),
    "depth": Run(depth.Plan, depth.play),
    "list_size": Run(list_size.Plan, list_size.play),
    "real_depth": Run(real_depth.Plan, real_depth.play),
}
