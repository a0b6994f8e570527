"""Experiments as files: one TOML file each, checked before anything starts."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

from pydantic import AliasChoices, BaseModel, ConfigDict, Field, ValidationError

from testbed.errors import TestbedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from structlog.typing import FilteringBoundLogger

    from testbed.results import RunResult

FOLDER = Path(__file__).parent / "experiments"


class ExperimentError(TestbedError, ValueError):
    """An experiment's file can't be used; the text is one line that begins with the file's name."""

    def __init__(self, path: Path, problem: object) -> None:
        super().__init__(f"{path.name}: {' '.join(str(problem).split())}")


def formerly(name: str, old_name: str) -> Any:
    """Define a field that has been renamed, for use within `Annotated`.

    Args:
        name: The field's present name.
        old_name: Its earlier name, which files of experiments may still use.

    Returns:
        A pydantic field that is read under either name and written under its present one.
    """
    return Field(validation_alias=AliasChoices(name, old_name))


class Plan(BaseModel):
    """What every experiment says; each run adds fields of its own by a subclass."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    run: str
    """Which run plays it: a name in `testbed.runs.RUNS`."""
    about: str
    """The question, in one sentence."""
    seed: Annotated[int, Field(ge=0)]
    """All random numbers come from it."""
    sizes: Annotated[tuple[int, ...], Field(min_length=1)]
    """The sizes that are compared, ascending; what they count, the run says. Slopes want four or more."""


@dataclass(frozen=True, slots=True)
class Run:
    """A kind of experiment: the form of its file, and what plays it."""

    plan: type[Plan]
    play: Callable[[Any, FilteringBoundLogger], RunResult[Any]]


def read_plan(path: Path, runs: dict[str, Run]) -> Plan:
    """The plan in a file; ExperimentError says in one line what is wrong with it."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ExperimentError(path, error) from None
    run = runs.get(str(raw.get("run")))
    if run is None:
        problem = f"run is {raw.get('run')!r}: it must be one of {', '.join(runs)}"
        raise ExperimentError(path, problem)
    try:
        return run.plan.model_validate(raw)
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(map(str, first["loc"]))
        raise ExperimentError(path, f"{where}: {first['msg']}") from None
