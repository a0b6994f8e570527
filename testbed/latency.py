"""Latencies as HdrHistograms: nothing is averaged away, and quantiles are right to three digits."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

_LONGEST_US = 120_000_000
_DIGITS = 3


class Latencies:
    """Spans of time, kept in microseconds and told in milliseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _LONGEST_US, _DIGITS)

    def record(self, seconds: float) -> None:
        """Add a span in seconds; what is below a microsecond counts as one, what is above 120 s as that."""
        self._histogram.record_value(min(max(round(seconds * 1e6), 1), _LONGEST_US))

    @property
    def count(self) -> int:
        """How many there are."""
        return int(self._histogram.get_total_count())

    def quantile_ms(self, part: float) -> float:
        """The milliseconds that `part` (0 to 1) of them do not exceed; ValueError if there are none."""
        if not self.count:
            raise ValueError("no latencies")
        return float(self._histogram.get_value_at_percentile(part * 100)) / 1000


def added(direct: Latencies, through: Latencies) -> dict[str, float]:
    """What the way through a balancer adds, in milliseconds; both must come from one run.

    `added_50_ms` and `added_99_ms` are the quantile through less the same quantile direct. The columns
    `over_median_..._ms` are quantiles of the way through less the median direct: the whole tail counts
    against the balancer there.
    """
    median = direct.quantile_ms(0.5)
    return {
        "direct_50_ms": median,
        "direct_99_ms": direct.quantile_ms(0.99),
        "through_50_ms": through.quantile_ms(0.5),
        "through_99_ms": through.quantile_ms(0.99),
        "added_50_ms": through.quantile_ms(0.5) - median,
        "added_99_ms": through.quantile_ms(0.99) - direct.quantile_ms(0.99),
        "over_median_90_ms": through.quantile_ms(0.9) - median,
        "over_median_99_ms": through.quantile_ms(0.99) - median,
        "over_median_999_ms": through.quantile_ms(0.999) - median,
    }
