"""Latencies as HdrHistograms: every value counts, and quantiles are right to three digits."""

from __future__ import annotations

from typing import TypedDict

from hdrh.histogram import HdrHistogram

_MAX_US = 120_000_000
"""Longer latencies count as this one."""

_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1e6
_US_PER_MS = 1000


class Latencies:
    """Spans of time, stored in microseconds and reported in milliseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Add a span; one below a microsecond counts as one, one above 120 s as 120 s."""
        self._histogram.record_value(min(max(round(seconds * _US_PER_S), 1), _MAX_US))

    @property
    def count(self) -> int:
        """The number of spans."""
        return int(self._histogram.get_total_count())

    def quantile_ms(self, fraction: float) -> float:
        """Return the milliseconds that a fraction (0 to 1) of the spans does not exceed.

        Raises:
            ValueError: There are no spans.
        """
        if not self.count:
            raise ValueError("no latencies")
        return float(self._histogram.get_value_at_percentile(fraction * 100)) / _US_PER_MS


class AddedTime(TypedDict):
    """Columns of a result, all in milliseconds.

    `added_50_ms` and `added_99_ms` are the quantile through the balancer less the same quantile direct. The
    columns `over_median_..._ms` are quantiles through the balancer less the median direct: the whole tail
    counts against the balancer there.
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


def added(direct: Latencies, through: Latencies) -> AddedTime:
    """Return what a balancer adds to latencies; both have to come from one run."""
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
