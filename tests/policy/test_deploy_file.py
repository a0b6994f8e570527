"""What the deploy file and the entry module say about the modules of the policy."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
MODULES = sorted((ROOT / "loadbalancer" / "policy").glob("*.py"))


def test_entry_module_names_events_module() -> None:
    """Readers begin at the entry module and have to find the interface from there."""
    first_line = (ROOT / "loadbalancer/policy/balancer.py").read_text(encoding="utf-8").splitlines()[0]
    assert "loadbalancer/events.py" in first_line


def test_deploy_file_lists_every_module() -> None:
    """The operators count the lines of the listed files; a module that is not listed would not count."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
    assert deploy["policy"] == [str(module.relative_to(ROOT)) for module in MODULES]
