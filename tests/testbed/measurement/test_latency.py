"""Latency histograms and the time that a balancer adds."""

import pytest

from testbed.measurement.latency import Latencies, compare_latencies


def test_quantile_differences_and_excess_over_direct_median() -> None:
    direct, through = Latencies(), Latencies()
    for latency_us in range(1, 1_001):
        direct.record(latency_us / 1e6)
        through.record(3 * latency_us / 1e6)
    columns = compare_latencies(direct, through)
    assert columns["added_50_ms"] == pytest.approx(1.0, rel=0.01)
    assert columns["added_99_ms"] == pytest.approx(1.98, rel=0.01)
    assert columns["over_median_99_ms"] == pytest.approx(2.97 - 0.5, rel=0.01)
    with pytest.raises(ValueError, match="no latencies have been recorded"):
        Latencies().quantile_ms(0.5)
