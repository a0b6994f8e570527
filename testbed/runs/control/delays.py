"""The delays from a change of the list until each balancer has it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import numpy as np
from numpy.typing import NDArray

if TYPE_CHECKING:
    from collections.abc import Iterable

Table = NDArray[np.float64]


class VersionSeen(NamedTuple):
    """An observation: a balancer had a version of the list at a time."""

    balancer: int
    version: int
    at_s: float
    """In seconds of the system's monotonic clock."""


@dataclass(frozen=True, slots=True)
class Spread:
    """The distribution of delays in milliseconds; None if nothing changed."""

    median: float | None = None
    p99: float | None = None
    maximum: float | None = None


def delays_ms(
    seen: Iterable[VersionSeen], balancers: range, first: int, changed_at: NDArray[np.float64]
) -> Table:
    """Compute the delay of each change at each balancer.

    A balancer has a change from the first observation of that version or a later one.

    Args:
        seen: The observations in the order of time; those of other balancers are ignored.
        balancers: The numbers of the balancers.
        first: The version of the first change.
        changed_at: The times of the changes in seconds, one for each version from `first` on.

    Returns:
        Milliseconds by balancer (rows) and change (columns); infinite if the change was never observed.
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
    """Compute the median, the 99th percentile and the maximum of a table of delays."""
    if not delays.size:
        return Spread()
    return Spread(float(np.median(delays)), float(np.percentile(delays, 99)), float(delays.max()))
