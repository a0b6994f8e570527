"""The kinds of runs by name; the `run` field of an experiment file names one."""

from __future__ import annotations

from testbed.experiment import RunKind
from testbed.runs import added_time, hostile_clients
from testbed.runs.control import change as control_change
from testbed.runs.control import idle as control_idle
from testbed.runs.depth import run as depth_run
from testbed.runs.list_size import run as list_size_run
from testbed.runs.real_depth import run as real_depth_run

RUN_KINDS: dict[str, RunKind] = {
    "added_time": RunKind(added_time.Plan, added_time.measure),
    "control_change": RunKind(control_change.Plan, control_change.measure),
    "control_rest": RunKind(control_idle.Plan, control_idle.measure),
    "depth": RunKind(depth_run.Plan, depth_run.measure),
    "hostile_clients": RunKind(hostile_clients.Plan, hostile_clients.measure),
    "list_size": RunKind(list_size_run.Plan, list_size_run.measure),
    "real_depth": RunKind(real_depth_run.Plan, real_depth_run.measure),
}
