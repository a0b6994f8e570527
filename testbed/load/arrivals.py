"""Arrival times of a Poisson process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator


def arrival_times(rate_per_s: float, duration_s: float, rng: random.Random) -> Iterator[float]:
    """Yield the arrival times of a Poisson process, in seconds from its start.

    Args:
        rate_per_s: The mean rate.
        duration_s: The duration of the process; all arrival times are below it.
        rng: Draws the exponentially distributed gaps; it draws one gap more than there are arrivals.
    """
    time_s = rng.expovariate(rate_per_s)
    while time_s < duration_s:
        yield time_s
        time_s += rng.expovariate(rate_per_s)
