"""The delays from a change of the list until each balancer has the change."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import numpy as np
from numpy.typing import NDArray

if TYPE_CHECKING:
    from collections.abc import Iterable

DelayTable = NDArray[np.float64]


class VersionObservation(NamedTuple):
    """The version of the list that a balancer was observed to have, and when."""

    balancer: int
    version: int
    at_s: float
    """In seconds of the system's monotonic clock."""


@dataclass(frozen=True, slots=True)
class DelayQuantiles:
    """Quantiles of delays in milliseconds; None if the list did not change."""

    median: float | None = None
    p99: float | None = None
    maximum: float | None = None


def delays_ms(
    observations: Iterable[VersionObservation],
    balancers: range,
    first_version: int,
    change_times_s: NDArray[np.float64],
) -> DelayTable:
    """Compute the delay of each change at each balancer.

    A balancer has a change once it is observed with the version of that change or with a later one.

    Args:
        observations: The observations, in chronological order for each balancer; other balancers are ignored.
        balancers: The numbers of the balancers.
        first_version: The version of the first change.
        change_times_s: The times of the changes in seconds, one for each version from `first_version` on.

    Returns:
        The delays in milliseconds, with a row for each balancer and a column for each change; infinite if the
        balancer was not observed to have the change.
    """
    change_versions = np.arange(first_version, first_version + len(change_times_s))
    delays = np.full((len(balancers), len(change_times_s)), np.inf)
    by_balancer: dict[int, list[tuple[int, float]]] = {number: [] for number in balancers}
    for number, version, at_s in observations:
        if number in by_balancer:
            by_balancer[int(number)].append((int(version), at_s))
    for row, number in enumerate(balancers):
        versions = np.array([version for version, _ in by_balancer[number]])
        times_s = np.array([*(at_s for _, at_s in by_balancer[number]), np.inf])
        delays[row] = (times_s[np.searchsorted(versions, change_versions)] - change_times_s) * 1000
    return delays


def delay_quantiles(delays: DelayTable) -> DelayQuantiles:
    """Compute the median, the 99th percentile and the maximum of a table of delays."""
    if not delays.size:
        return DelayQuantiles()
    return DelayQuantiles(float(np.median(delays)), float(np.percentile(delays, 99)), float(delays.max()))
