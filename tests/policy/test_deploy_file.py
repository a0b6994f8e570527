"""References to the policy's modules in the deploy file and in the entry module."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
MODULES = sorted((ROOT / "loadbalancer" / "policy").glob("*.py"))


def test_entry_module_names_events_module() -> None:
    """Readers begin at the entry module, which must refer them to the module that defines the interface."""
    first_line = (ROOT / "loadbalancer/policy/balancer.py").read_text(encoding="utf-8").splitlines()[0]
    assert "loadbalancer/events.py" in first_line


def test_deploy_file_lists_every_module() -> None:
    """The operators count the lines of the listed files, and would not count those of an unlisted module."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
    assert deploy["policy"] == [str(module.relative_to(ROOT)) for module in MODULES]
