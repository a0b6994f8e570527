"""The runs by name; an experiment's file says which one plays it."""

from __future__ import annotations

from testbed.experiment import Run
from testbed.runs import added_time, control, depth, list_size, real_depth

RUNS: dict[str, Run] = {
    "added_time": Run(added_time.Plan, added_time.play),
    "control_change": Run(control.ChangePlan, control.play_change),
    "control_rest": Run(control.RestPlan, control.play_rest),
    "depth": Run(depth.Plan, depth.play),
    "list_size": Run(list_size.Plan, list_size.play),
    "real_depth": Run(real_depth.Plan, real_depth.play),
}
