"""The runs by name; an experiment's file says which one plays it."""

from __future__ import annotations

from testbed.experiment import Run
from testbed.runs import control, depth, list_size

RUNS: dict[str, Run] = {
    "control_change": Run(control.ChangePlan, control.play_change),
    "control_rest": Run(control.RestPlan, control.play_rest),
    "depth": Run(depth.Plan, depth.play),
    "list_size": Run(list_size.Plan, list_size.play),
}
