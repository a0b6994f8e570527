"""The policy as the deploy file and its own entry module present it."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
MODULES = sorted((ROOT / "loadbalancer" / "policy").glob("*.py"))


def test_the_entry_module_names_the_events_module() -> None:
    """A reader begins there, and has to find the interface."""
    first_line = (ROOT / "loadbalancer/policy/balancer.py").read_text(encoding="utf-8").splitlines()[0]
    assert "loadbalancer/events.py" in first_line


def test_the_deploy_file_names_every_module() -> None:
    """The operators count the lines of the files named there: a missing module would not count."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
    assert deploy["policy"] == [str(module.relative_to(ROOT)) for module in MODULES]
