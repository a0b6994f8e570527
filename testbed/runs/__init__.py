"""The runs by name; an experiment's file says which one plays it."""

from __future__ import annotations

from testbed.experiment import Run

RUNS: dict[str, Run] = {}
