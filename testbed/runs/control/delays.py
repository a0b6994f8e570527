"""How long after a change of the list each balancer had it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

Table = NDArray[np.float64]


class VersionSeen(NamedTuple):
    """A balancer had a version of the list at a moment."""

    balancer: int
    version: int
    at_s: float
    """In seconds of the system's monotonic clock."""


@dataclass(frozen=True, slots=True)
class Spread:
    """How delays are spread, in milliseconds; None where nothing changed."""

    median: float | None = None
    p99: float | None = None
    longest: float | None = None


def delays_ms(
    seen: Iterable[VersionSeen], balancers: range, first: int, changed_at: NDArray[np.float64]
) -> Table:
    """Compute how long after each change each balancer had it.

    A balancer has a change with the first version seen there that is as new.

    Args:
        seen: The versions seen at balancers, by time; other balancers may be among them.
        balancers: The numbers of the balancers.
        first: The version of the first change.
        changed_at: The moments of the changes, in seconds: one a version, from the first one on.

    Returns:
        Milliseconds by balancer (rows) and change (columns); infinite where no version as new was seen.
    """
    wanted = np.arange(first, first + len(changed_at))
    delays = np.full((len(balancers), len(changed_at)), np.inf)
    by_balancer: dict[int, list[tuple[int, float]]] = {number: [] for number in balancers}
    for number, version, at_s in seen:
        if number in by_balancer:
            by_balancer[int(number)].append((int(version), at_s))
    for row, number in enumerate(balancers):
        versions = np.array([version for version, _ in by_balancer[number]])
        moments = np.array([*(at_s for _, at_s in by_balancer[number]), np.inf])
        delays[row] = (moments[np.searchsorted(versions, wanted)] - changed_at) * 1000
    return delays


def spread(delays: Table) -> Spread:
    """Compute the median, the 99th percentile and the longest of a table of delays."""
    if not delays.size:
        return Spread()
    return Spread(float(np.median(delays)), float(np.percentile(delays, 99)), float(delays.max()))
