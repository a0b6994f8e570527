"""Size limits on the modules, classes, functions and folders of the program and the testbed."""

from __future__ import annotations

import ast
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parent.parent
MAX_MODULE_LINES = 300
MAX_CLASS_LINES = 180
MAX_FUNCTION_LINES = 40
MAX_FOLDER_MODULES = 21
FunctionNode = ast.FunctionDef | ast.AsyncFunctionDef


@dataclass(frozen=True, slots=True)
class Module:
    """One parsed module."""

    location: str
    """The path relative to the root of the repository."""

    source: str
    tree: ast.Module


@pytest.fixture(scope="module")
def modules() -> list[Module]:
    """All modules of the program and the testbed."""
    paths = [path for package in ("loadbalancer", "testbed") for path in (ROOT / package).rglob("*.py")]
    return [read_module(path) for path in sorted(paths)]


def read_module(path: Path) -> Module:
    source = path.read_text(encoding="utf-8")
    return Module(str(path.relative_to(ROOT)), source, ast.parse(source))


def assert_no_violations(violations: list[str]) -> None:
    assert not violations, "\n" + "\n".join(violations)


def test_modules_are_small(modules: list[Module]) -> None:
    sizes = [(module.location, len(module.source.splitlines())) for module in modules]
    assert_no_violations(
        [f"{path}: {n} lines, limit {MAX_MODULE_LINES}" for path, n in sizes if n > MAX_MODULE_LINES]
    )


def test_classes_are_small(modules: list[Module]) -> None:
    assert_no_violations([*definitions_over_limit(modules, (ast.ClassDef,), MAX_CLASS_LINES)])


def test_functions_are_small(modules: list[Module]) -> None:
    assert_no_violations(
        [*definitions_over_limit(modules, (ast.FunctionDef, ast.AsyncFunctionDef), MAX_FUNCTION_LINES)]
    )


def test_folders_are_small(modules: list[Module]) -> None:
    sizes = Counter(str(Path(module.location).parent) for module in modules).items()
    assert_no_violations(
        [f"{path}: {n} modules, limit {MAX_FOLDER_MODULES}" for path, n in sizes if n > MAX_FOLDER_MODULES]
    )


def definitions_over_limit(
    modules: list[Module], node_types: tuple[type[ast.ClassDef | FunctionNode], ...], limit: int
) -> Iterator[str]:
    """Yield a message for each definition with more lines than the limit; decorators do not count."""
    for module in modules:
        for node in ast.walk(module.tree):
            if isinstance(node, node_types):
                lines = (node.end_lineno or node.lineno) - node.lineno + 1
                if lines > limit:
                    yield f"{module.location}:{node.lineno}: {node.name}: {lines} lines, limit {limit}"


def test_long_definition_is_reported() -> None:
    source = "def long():\n" + "    pass\n" * MAX_FUNCTION_LINES
    module = Module("long.py", source, ast.parse(source))
    found = [*definitions_over_limit([module], (ast.FunctionDef,), MAX_FUNCTION_LINES)]
    assert found == [f"long.py:1: long: {MAX_FUNCTION_LINES + 1} lines, limit {MAX_FUNCTION_LINES}"]
