"""The kinds of runs by name; each experiment file names one."""

from __future__ import annotations

from testbed.experiment import Run
from testbed.runs import added_time
from testbed.runs.control import change as control_change
from testbed.runs.control import rest as control_rest
from testbed.runs.depth import run as depth_run
from testbed.runs.list_size import run as list_size_run
from testbed.runs.real_depth import run as real_depth_run

RUNS: dict[str, Run] = {
    "added_time": Run(added_time.Plan, added_time.measure),
    "control_change": Run(control_change.Plan, control_change.measure),
    "control_rest": Run(control_rest.Plan, control_rest.measure),
    "depth": Run(depth_run.Plan, depth_run.measure),
    "list_size": Run(list_size_run.Plan, list_size_run.measure),
    "real_depth": Run(real_depth_run.Plan, real_depth_run.measure),
}
