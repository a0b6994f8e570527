"""The runs by name; an experiment's file says which one plays it."""

from __future__ import annotations

from testbed.experiment import Run
from testbed.runs import added_time, control, list_size, real_depth

RUNS: dict[str, Run] = {
    "control_change": Run(control.ChangePlan, control.play_change),
    "control_rest": Run(control.RestPlan, control.play_rest),
    "list_size": Run(list_size.Plan, list_size.play),
    "added_time": Run(added_time.Plan, added_time.play),
    "real_depth": Run(real_depth.Plan, real_depth.play),
}
