"""The documentation agrees with the code: links, paths, names, lists of modules, and log messages."""

from __future__ import annotations

import ast
import os
import re
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").glob("*.md"))]
DECISIONS = sorted((ROOT / "docs" / "decisions").glob("*.md"))
INCIDENTS = sorted((ROOT / "docs" / "incidents").glob("*.md"))
# In two parts, since this file must not contain the name.
OLD_PACKAGE_NAME = "basalt" + "spindle"
MAY_CONTAIN_OLD_NAME = ("journal", "docs/incidents", "docs/capacity", "docs/ARCHITECTURE.md")
IGNORED_FOLDERS = {".git", ".venv", "__pycache__", "found", "journal", "logs"}
IGNORED_FOLDER_PREFIXES = (
    ".venv-",
    ".mypy_cache",
    ".ruff_cache",
    ".import_linter_cache",
    ".pytest_cache",
    ".hypothesis",
)
LOGGING_FUNCTIONS = {
    "LogMessage",
    "write",
    "exception",
    "log_exception",
    "note",
    "_note",
    "warn",
    "_warn",
    "print",
}
FILE_NAME = re.compile(r"\.(py|toml|md|json|txt)$")
# Snake case, upper case with underscores, or camel case.
CODE_IDENTIFIER = re.compile(r"_|[a-z][A-Z]")
# Shorter texts are separators, not messages.
MIN_TEXT_LENGTH = 8


def relative_path(path: Path) -> str:
    return str(path.relative_to(ROOT))


def repository_files() -> Iterator[Path]:
    """Yield the files of the repository, except for those that tools create."""
    for folder, folders, names in os.walk(ROOT):
        folders[:] = [
            name
            for name in folders
            if name not in IGNORED_FOLDERS
            and not name.startswith(IGNORED_FOLDER_PREFIXES)
            and not name.endswith(".egg-info")
        ]
        yield from (Path(folder, name) for name in names)


def test_old_package_name_is_unused() -> None:
    found = [
        relative_path(path)
        for path in repository_files()
        if not relative_path(path).startswith(MAY_CONTAIN_OLD_NAME)
        and (OLD_PACKAGE_NAME in relative_path(path) or OLD_PACKAGE_NAME.encode() in path.read_bytes())
    ]
    assert found == []


@pytest.mark.parametrize("page", PAGES + DECISIONS + INCIDENTS, ids=relative_path)
def test_link_targets_exist(page: Path) -> None:
    links = re.findall(r"\]\(([^)#\s]*)(?:#([^)\s]+))?[^)]*\)", page.read_text(encoding="utf-8"))
    assert [link for link in links if "://" not in link[0] and not link_target_exists(page, *link)] == []


def link_target_exists(page: Path, target: str, anchor: str) -> bool:
    """Return whether the target of a link exists, with the heading that the anchor refers to, if any."""
    path = page.parent / target if target else page
    return path.exists() and (not anchor or anchor in heading_anchors(path))


def heading_anchors(page: Path) -> set[str]:
    """Return the anchors that code hosting sites derive from the text of a page's headings."""
    headings = re.findall(r"^#+ (.*)$", page.read_text(encoding="utf-8"), re.MULTILINE)
    return {re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-") for heading in headings}


@pytest.mark.parametrize("page", PAGES + DECISIONS, ids=relative_path)
def test_paths_exist(page: Path) -> None:
    paths = re.findall(
        r"`((?:loadbalancer|testbed|tests|docs|deploy|\.ci)/[\w./-]*)`", page.read_text(encoding="utf-8")
    )
    missing = [path for path in paths if not (ROOT / path).exists()]
    assert missing == []


def identifiers_of(page: Path) -> set[str]:
    """Return the code identifiers in backquotes on a page, except for the glossary of older names."""
    lines = page.read_text(encoding="utf-8").partition("| older word or name |")[0].splitlines()
    quoted = re.findall(r"`([A-Za-z_][\w.]*)`", "\n".join(lines))
    names = {name for text in quoted if not FILE_NAME.search(text) for name in text.split(".")}
    return {name for name in names if CODE_IDENTIFIER.search(name)}


@pytest.mark.parametrize("page", PAGES + DECISIONS, ids=relative_path)
def test_names_exist(page: Path) -> None:
    sources = [
        path for folder in ("loadbalancer", "testbed", "tests") for path in (ROOT / folder).rglob("*.py")
    ]
    known = {name for path in sources for name in re.findall(r"\w+", path.read_text(encoding="utf-8"))}
    known |= {path.stem for path in (ROOT / "testbed" / "experiments").glob("*.toml")}
    assert identifiers_of(page) - known == set()


def test_decision_index_lists_every_record() -> None:
    index = (ROOT / "docs" / "decisions" / "README.md").read_text(encoding="utf-8")
    records = [path.name for path in DECISIONS if path.name != "README.md"]
    assert records
    assert [name for name in records if f"]({name})" not in index] == []


@pytest.mark.parametrize(
    ("page", "packages"),
    [("ARCHITECTURE.md", ("loadbalancer", "testbed")), ("POLICY.md", ("loadbalancer/policy",))],
)
def test_page_names_every_module(page: str, packages: tuple[str, ...]) -> None:
    text = (ROOT / "docs" / page).read_text(encoding="utf-8")
    modules = [
        path
        for package in packages
        for path in sorted((ROOT / package).rglob("*.py"))
        if path.name not in ("__init__.py", "__main__.py")
    ]
    assert modules
    missing = [relative_path(path) for path in modules if not re.search(rf"\b{re.escape(path.name)}\b", text)]
    assert missing == []


def message_texts(path: Path) -> Iterator[str]:
    """Yield the constant texts that a module passes to logging functions."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Call) and node.args:
            function = node.func
            name = function.attr if isinstance(function, ast.Attribute) else getattr(function, "id", "")
            if name in LOGGING_FUNCTIONS:
                yield from constant_texts(node.args[0])


def constant_texts(node: ast.AST) -> Iterator[str]:
    """Yield the text of a string, or the constant parts of an f-string."""
    for part in node.values if isinstance(node, ast.JoinedStr) else [node]:
        if isinstance(part, ast.Constant) and isinstance(part.value, str):
            yield part.value.strip()


def test_on_call_page_quotes_every_message() -> None:
    page = (ROOT / "docs" / "ONCALL.md").read_text(encoding="utf-8")
    texts = [text for path in (ROOT / "loadbalancer").rglob("*.py") for text in message_texts(path)]
    long_texts = {text for text in texts if len(text) >= MIN_TEXT_LENGTH}
    assert long_texts, "no message found: LOGGING_FUNCTIONS must name the functions that write log lines"
    assert {text for text in long_texts if text not in page} == set()
