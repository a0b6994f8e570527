"""The command-line interface: lists, runs and shows experiments."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import structlog
import typer

from testbed import results
from testbed.experiment import EXPERIMENTS_FOLDER, ExperimentError, read_plan
from testbed.runs import RUN_KINDS

_EXIT_USAGE = 2
"""The exit status if a file can't be read, or is not a valid experiment or result."""
_EXIT_INVALID = 3
"""The exit status if the results of a run are invalid."""

app = typer.Typer(
    help="Run load and scale experiments on loadbalancer, and show their results.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


def _configure_logs() -> None:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        # Evaluated for each logger, since tests replace standard error.
        logger_factory=lambda *_: structlog.PrintLogger(sys.stderr),
    )


def _usage_error(text: str) -> typer.Exit:
    typer.echo(f"testbed: {text}", err=True)
    return typer.Exit(_EXIT_USAGE)


def _experiment_path(name: str) -> Path:
    """Return the path of an experiment, given as a TOML file or as the name of one in the package."""
    path = Path(name)
    return path if path.suffix == ".toml" else EXPERIMENTS_FOLDER / f"{name}.toml"


@app.command("list")
def list_experiments() -> None:
    """List the experiments in the package, one per line."""
    for path in sorted(EXPERIMENTS_FOLDER.glob("*.toml")):
        try:
            typer.echo(f"{path.stem:24} {read_plan(path, RUN_KINDS).about}")
        except ExperimentError as error:
            raise _usage_error(str(error)) from None


@app.command()
def run(
    names: Annotated[list[str], typer.Argument(help="Names of experiments in the package, or TOML files.")],
    out: Annotated[Path, typer.Option(help="The folder to write results to.")] = Path("docs/capacity"),
) -> None:
    """Run experiments one after another and write a JSON result for each.

    The exit status is 3 if the results of a run are invalid, for example because requests were sent late.
    """
    _configure_logs()
    log = structlog.get_logger()
    try:
        plans = [(_experiment_path(name), read_plan(_experiment_path(name), RUN_KINDS)) for name in names]
    except ExperimentError as error:
        raise _usage_error(str(error)) from None
    all_valid = True
    for path, plan in plans:
        log.info("begins", experiment=path.stem, run=plan.run, seed=plan.seed)
        result = RUN_KINDS[plan.run].measure(plan, log)
        results.write_result(out / f"{path.stem}.json", path.stem, plan.model_dump(mode="json"), result)
        log.info("ended", experiment=path.stem, rows=len(result.rows), doubts=result.invalidity_reasons)
        all_valid = all_valid and result.is_valid
    if not all_valid:
        raise typer.Exit(_EXIT_INVALID)


@app.command()
def show(
    paths: Annotated[list[Path], typer.Argument(help="Result files.")],
) -> None:
    """Print results as tables, with the fitted slopes."""
    for path in paths:
        try:
            stored = json.loads(path.read_text(encoding="utf-8"))
            typer.echo(results.format_result(stored) + "\n")
        except (OSError, ValueError, KeyError, TypeError) as error:
            problem = " ".join(str(error).split())
            message = f"{path}: can't read the result: {problem}"
            raise _usage_error(message) from None
