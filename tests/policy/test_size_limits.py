"""The size limits of the decision modules."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
MODULES = sorted((ROOT / "loadbalancer" / "policy").glob("*.py"))
MAX_MODULES = 21
MAX_MODULE_LINES = 300
MAX_CLASS_LINES = 180
MAX_FUNCTION_LINES = 40
MAX_LINE_LENGTH = 110


def lines_of(module: Path) -> list[str]:
    return module.read_text(encoding="utf-8").splitlines()


def test_the_first_line_of_the_policy_names_the_module_of_its_events() -> None:
    """A reader begins there, and has to find the interface."""
    assert "loadbalancer/events.py" in lines_of(ROOT / "loadbalancer/policy/balancer.py")[0]


def test_the_policy_has_few_modules() -> None:
    assert len(MODULES) <= MAX_MODULES


@pytest.mark.parametrize("module", MODULES, ids=lambda module: module.stem)
def test_each_module_class_and_function_is_readable(module: Path) -> None:
    lines = lines_of(module)
    assert len(lines) <= MAX_MODULE_LINES
    assert max(map(len, lines)) <= MAX_LINE_LENGTH
    for node in ast.walk(ast.parse("\n".join(lines))):
        if isinstance(node, ast.ClassDef):
            assert node.end_lineno is not None
            assert node.end_lineno - node.lineno < MAX_CLASS_LINES, node.name
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            assert node.end_lineno is not None
            assert node.end_lineno - node.lineno < MAX_FUNCTION_LINES, node.name


def test_the_deploy_file_names_every_module() -> None:
    """The operators count the lines of the files named there: a missing module would not count."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
    assert deploy["policy"] == [str(module.relative_to(ROOT)) for module in MODULES]
