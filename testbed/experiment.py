"""Experiment files: TOML files that are validated before the run starts."""

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

EXPERIMENTS_FOLDER = Path(__file__).parent / "experiments"


class ExperimentError(TestbedError, ValueError):
    """An experiment file can't be used; the message is one line that begins with the file's name."""

    def __init__(self, path: Path, problem: object) -> None:
        super().__init__(f"{path.name}: {' '.join(str(problem).split())}")


def renamed_field(name: str, old_name: str) -> Any:
    """Define a plan field that has been renamed, for use in `Annotated`.

    Args:
        name: The field's current name.
        old_name: Its earlier name, which experiment files and stored results may still use.

    Returns:
        A pydantic field that is parsed under either name and serialized under the current one.
    """
    return Field(validation_alias=AliasChoices(name, old_name))


class Plan(BaseModel):
    """The fields that all experiments have; each kind of run adds its own in a subclass."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    run: str
    """The kind of run: a name in `testbed.runs.RUN_KINDS`."""
    about: str
    """The question that the experiment answers, in one sentence."""
    seed: Annotated[int, Field(ge=0)]
    """The seed of all random numbers."""
    sizes: Annotated[tuple[int, ...], Field(min_length=1)]
    """The sizes to compare, ascending; each kind of run defines their meaning.

    A useful fit needs at least four sizes.
    """


@dataclass(frozen=True, slots=True)
class RunKind:
    """A kind of run: the model of its experiment files, and the function that measures it."""

    plan_type: type[Plan]
    measure: Callable[[Any, FilteringBoundLogger], RunResult[Any]]


def read_plan(path: Path, run_kinds: dict[str, RunKind]) -> Plan:
    """Read and validate the plan in a file.

    Raises:
        ExperimentError: The file can't be read, or is not a valid plan.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ExperimentError(path, error) from None
    run_kind = run_kinds.get(str(raw.get("run")))
    if run_kind is None:
        problem = f"run is {raw.get('run')!r}: it must be one of {', '.join(run_kinds)}"
        raise ExperimentError(path, problem)
    try:
        return run_kind.plan_type.model_validate(raw)
    except ValidationError as error:
        first_error = error.errors()[0]
        field_path = ".".join(map(str, first_error["loc"]))
        raise ExperimentError(path, f"{field_path}: {first_error['msg']}") from None
