"""The plan of a list-size run, and the configurations of the balancers that it measures."""

from __future__ import annotations

import gc
from typing import Annotated, Literal

from pydantic import Field

from loadbalancer.configuration import Configuration, read_configuration
from testbed import experiment, settings

EndpointUse = Literal["part", "all"]
"""The endpoints that a balancer uses: a subset ("part") if there are many balancers, else all."""


class Plan(experiment.Plan):
    """The load, the updates and the rounds; `sizes` are lengths of the endpoint list."""

    tiers: tuple[int, ...] = (0, 1)
    """The tiers of the measured balancers; only a balancer in tier 0 sheds load."""
    calls_per_s: Annotated[float, Field(gt=0)]
    """The rate of requests on the balancer's virtual clock."""
    service_ms: Annotated[float, Field(gt=0)]
    """The mean service time; service times are exponentially distributed."""
    warm_calls: Annotated[int, Field(ge=0)]
    """The number of requests in the warm-up, before the measured requests."""
    calls: Annotated[int, Field(gt=0)]
    """The number of requests in a round."""
    deltas: Annotated[int, Field(gt=0)]
    """The number of deltas in a round, each of one entry."""
    lists: Annotated[int, Field(gt=0)]
    """The number of snapshots in a round."""
    rounds: Annotated[int, Field(gt=0)]
    """The number of undisturbed rounds that a benchmark needs."""
    rounds_max: Annotated[int, Field(gt=0), experiment.renamed_field("rounds_max", "rounds_most")]
    """The limit on all rounds of a benchmark, including disturbed rounds."""


def configuration(plan: Plan, entries: int, endpoint_use: EndpointUse, tier: int) -> Configuration:
    """Return the configuration of the balancer in one benchmark, as the program reads it.

    Args:
        plan: The plan of the run.
        entries: The length of the list.
        endpoint_use: Whether the balancer uses a subset of the endpoints or all of them.
        tier: The tier of the balancer.
    """
    return read_configuration(configuration_text(plan, entries, endpoint_use, tier), ignore_message)


def configuration_text(plan: Plan, entries: int, endpoint_use: EndpointUse, tier: int) -> str:
    """Return the text of the configuration file; see `configuration` for the arguments."""
    cached_entries = settings.endpoint_entries(entries, seed=plan.seed)
    balancers = entries if endpoint_use == "part" else 1
    balancer_settings = settings.balancer_settings(
        balancers=balancers, tier=tier, zone=cached_entries[0]["zone"]
    )
    return settings.configuration_text(
        "n0", "127.0.0.1:0", "127.0.0.1:1", cached_entries, balancer_settings, seed=plan.seed, list_version=1
    )


def ignore_message(text: str) -> None:
    """Ignore a warning about the configuration, which is generated, so the warning needs no action."""


def freeze_live_objects() -> None:
    """Exempt all live objects from later garbage collections, as the program does after its start."""
    gc.unfreeze()
    gc.collect()
    gc.freeze()
