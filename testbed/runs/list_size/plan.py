"""The plan of the run on list sizes, and the configurations of the balancers that it measures."""

from __future__ import annotations

import gc
from typing import Annotated, Literal

from pydantic import Field

from loadbalancer.configuration import Configuration, read_configuration
from testbed import experiment, settings

Keeps = Literal["part", "all"]
"""Whether a balancer keeps to a part of the endpoints, as one of many, or to all, as the only balancer."""


class Plan(experiment.Plan):
    """Sizes count the entries of the list."""

    tiers: tuple[int, ...] = (0, 1)
    """The tiers sent to; the first one sheds load."""
    calls_per_s: Annotated[float, Field(gt=0)]
    """Calls that a balancer gets, on its virtual clock."""
    service_ms: Annotated[float, Field(gt=0)]
    """Mean time of a call at its server (exponential)."""
    warm_calls: Annotated[int, Field(ge=0)]
    """Calls before those that are measured."""
    calls: Annotated[int, Field(gt=0)]
    """Calls in a round."""
    deltas: Annotated[int, Field(gt=0)]
    """Changes of one entry in a round."""
    lists: Annotated[int, Field(gt=0)]
    """Whole lists in a round."""
    rounds: Annotated[int, Field(gt=0)]
    """Rounds of each cell that have to be beside a quick reference."""
    rounds_max: Annotated[int, Field(gt=0), experiment.formerly("rounds_max", "rounds_most")]
    """Rounds of each cell that are played at the most to get them."""


def configuration(plan: Plan, entries: int, keeps: Keeps, tier: int) -> Configuration:
    """Read the configuration of a balancer in one cell, as the program does.

    Args:
        plan: The plan of the run.
        entries: The length of the list.
        keeps: Whether it keeps to a part of the endpoints or to all of them.
        tier: The tier that it sends to.
    """
    return read_configuration(configuration_text(plan, entries, keeps, tier), ignore_message)


def configuration_text(plan: Plan, entries: int, keeps: Keeps, tier: int) -> str:
    """Write the text of the file that `LB_CONFIG` would name; the arguments are those of `configuration`."""
    known = settings.endpoint_entries(entries, seed=plan.seed)
    balancers = entries if keeps == "part" else 1
    site = settings.balancer_settings(balancers=balancers, tier=tier, zone=known[0]["zone"])
    return settings.configuration_text(
        "n0", "127.0.0.1:0", "127.0.0.1:1", known, site, seed=plan.seed, index=1
    )


def ignore_message(text: str) -> None:
    """Drop what the program says of settings, which are generated here."""


def freeze_collector() -> None:
    """Exempt all present objects from later garbage collections, as the program does after its start."""
    gc.unfreeze()
    gc.collect()
    gc.freeze()
