"""Moments of independent arrivals."""

from __future__ import annotations

import random
from collections.abc import Iterator


def arrival_times(rate_per_s: float, span_s: float, source: random.Random) -> Iterator[float]:
    """Yield arrivals with exponentially distributed gaps, in seconds from the start of a span.

    Args:
        rate_per_s: The mean rate.
        span_s: The length of the span; all arrivals lie within it, ascending.
        source: The gaps are drawn from it, one more than there are arrivals.
    """
    time_s = source.expovariate(rate_per_s)
    while time_s < span_s:
        yield time_s
        time_s += source.expovariate(rate_per_s)
