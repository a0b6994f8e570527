"""Arrival times of a Poisson process."""

import random

from testbed.load.arrivals import arrival_times


def test_arrivals_depend_on_seed_and_mean_rate() -> None:
    times = list(arrival_times(200.0, 20.0, random.Random(1)))
    assert times == sorted(times) == list(arrival_times(200.0, 20.0, random.Random(1)))
    assert times[0] > 0
    assert times[-1] < 20.0
    assert abs(len(times) - 4_000) < 5 * 4_000**0.5
