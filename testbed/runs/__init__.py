"""The runs by name; an experiment's file says which one plays it."""

from __future__ import annotations

from testbed.experiment import Run
from testbed.runs import list_size

RUNS: dict[str, Run] = {
    "list_size": Run(list_size.Plan, list_size.play),
}
