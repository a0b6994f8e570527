"""Latency histograms (HdrHistogram), with quantiles exact to three significant digits."""

from __future__ import annotations

from typing import TypedDict

from hdrh.histogram import HdrHistogram

from testbed.errors import TestbedError

_MAX_US = 120_000_000
"""The upper bound of recorded latencies, in microseconds: longer latencies are recorded as this value."""

_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1e6
_US_PER_MS = 1000


class NoLatenciesError(TestbedError, ValueError):
    """A quantile was requested before any latency was recorded."""

    def __init__(self) -> None:
        super().__init__("no latencies have been recorded")


class Latencies:
    """A histogram of latencies, recorded in microseconds and reported in milliseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Record a latency, limited to the range from 1 microsecond to 120 s."""
        self._histogram.record_value(min(max(round(seconds * _US_PER_S), 1), _MAX_US))

    @property
    def count(self) -> int:
        """The number of recorded latencies."""
        return int(self._histogram.get_total_count())

    def quantile_ms(self, fraction: float) -> float:
        """Return the quantile for a fraction from 0 to 1, in milliseconds.

        Raises:
            NoLatenciesError: No latency has been recorded.
        """
        if not self.count:
            raise NoLatenciesError
        return float(self._histogram.get_value_at_percentile(fraction * 100)) / _US_PER_MS


class AddedTimeColumns(TypedDict):
    """Columns that compare latencies through a balancer with direct ones, in milliseconds.

    `direct` is for requests sent directly to the upstreams, `through` for requests through the balancer; the
    number in a name is the percentile (999 means 99.9). `added` is the percentile through the balancer minus
    the same percentile of direct requests. `over_median` is the percentile through the balancer minus the
    median of direct requests, which attributes the complete tail to the balancer.
    """

    direct_50_ms: float
    direct_99_ms: float
    through_50_ms: float
    through_99_ms: float
    added_50_ms: float
    added_99_ms: float
    over_median_90_ms: float
    over_median_99_ms: float
    over_median_999_ms: float


def compare_latencies(direct: Latencies, through: Latencies) -> AddedTimeColumns:
    """Compare latencies through a balancer with latencies of direct requests of the same run."""
    median_ms = direct.quantile_ms(0.5)
    return {
        "direct_50_ms": median_ms,
        "direct_99_ms": direct.quantile_ms(0.99),
        "through_50_ms": through.quantile_ms(0.5),
        "through_99_ms": through.quantile_ms(0.99),
        "added_50_ms": through.quantile_ms(0.5) - median_ms,
        "added_99_ms": through.quantile_ms(0.99) - direct.quantile_ms(0.99),
        "over_median_90_ms": through.quantile_ms(0.9) - median_ms,
        "over_median_99_ms": through.quantile_ms(0.99) - median_ms,
        "over_median_999_ms": through.quantile_ms(0.999) - median_ms,
    }
