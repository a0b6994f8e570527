"""Slow start under the load of all balancers together, simulated with many instances of the policy.

`TIGHT_LIMITS` allows 3 requests per window at an endpoint that has just started, which hardly exceeds random
variation. `LOOSE_LIMITS` allows 50.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from loadbalancer.events import Outcome
from tests.policy.slow_start_simulation import SlowStartSimulation

LOOSE_LIMITS = {
    "slow_start_ms": 8_900.0,
    "slow_start_initial_fraction": 0.31,
    "slow_start_overload_factor": 4.0,
    "slow_start_window_ms": 1_000.0,
}
TIGHT_LIMITS = {
    "slow_start_ms": 20_000.0,
    "slow_start_initial_fraction": 0.1,
    "slow_start_overload_factor": 1.5,
    "slow_start_window_ms": 500.0,
}
# Capacity of a warm endpoint, in requests of mean work per second.
RATE_PER_S = 40.0
LEARNING_MS = 8_000.0
OBSERVATION_MS = 5_000.0


def add_one_endpoint(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.add_endpoints(1)
    simulation.run(OBSERVATION_MS)


def add_tenth_of_endpoints(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.add_endpoints(simulation.batch_size)
    simulation.run(OBSERVATION_MS)


def add_tenth_during_burst(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.scale_request_rate(1.5)
    simulation.add_endpoints(simulation.batch_size)
    simulation.run(OBSERVATION_MS)


def replace_half_in_steps(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.replace_endpoints(steps=5, interval_ms=2_000.0)
    simulation.run(OBSERVATION_MS)


def replace_six_tenths_quickly(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.replace_endpoints(steps=6, interval_ms=7_000.0 / 6)
    simulation.run(OBSERVATION_MS)


def restart_third_of_endpoints(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    removed = list(simulation.endpoints)[: len(simulation.endpoints) // 3]
    simulation.remove_endpoints(removed)
    simulation.run(5_000.0)
    simulation.restart_endpoints(removed)
    simulation.run(OBSERVATION_MS)


def restart_balancers_and_add_tenth(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.restart_balancers()
    simulation.add_endpoints(simulation.batch_size)
    simulation.run(OBSERVATION_MS)


def restart_all_endpoints(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.restart_endpoints(list(simulation.endpoints))
    simulation.run(OBSERVATION_MS)


def restart_balancers_and_all_endpoints(simulation: SlowStartSimulation) -> None:
    simulation.restart_endpoints(list(simulation.endpoints))
    simulation.restart_balancers()
    simulation.run(OBSERVATION_MS)


def set_half_to_reject(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.set_outcome(list(simulation.endpoints)[::2], Outcome.REJECTED)
    simulation.add_endpoints(simulation.batch_size)
    simulation.run(OBSERVATION_MS)


def set_half_unreachable(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.set_outcome(list(simulation.endpoints)[::2], Outcome.CONNECT_FAILED)
    simulation.add_endpoints(simulation.batch_size)
    simulation.run(OBSERVATION_MS)


Scenario = Callable[[SlowStartSimulation], None]
SCENARIOS: tuple[Scenario, ...] = (
    add_one_endpoint,
    add_tenth_of_endpoints,
    add_tenth_during_burst,
    replace_half_in_steps,
    replace_six_tenths_quickly,
    restart_third_of_endpoints,
    restart_balancers_and_add_tenth,
    restart_all_endpoints,
    restart_balancers_and_all_endpoints,
    set_half_to_reject,
    set_half_unreachable,
)

# Without slow-start limits, six balancers are enough to overload a warming endpoint in these scenarios.
SCENARIOS_FOR_SIX_BALANCERS: tuple[Scenario, ...] = (
    replace_half_in_steps,
    replace_six_tenths_quickly,
    restart_third_of_endpoints,
    set_half_to_reject,
    set_half_unreachable,
)


@pytest.mark.parametrize(
    ("balancers", "scenario"),
    [(6, scenario) for scenario in SCENARIOS_FOR_SIX_BALANCERS] + [(30, scenario) for scenario in SCENARIOS],
)
def test_no_warming_endpoint_is_overloaded(balancers: int, scenario: Scenario) -> None:
    simulation = SlowStartSimulation(balancers, 12, RATE_PER_S, 0.9, 1, TIGHT_LIMITS, skewed=balancers == 30)
    scenario(simulation)
    assert simulation.warming_attempts, "no warming endpoint was used"
    assert simulation.max_excess <= 1


@pytest.mark.parametrize(
    ("balancers", "scenario"),
    [
        (20, restart_balancers_and_all_endpoints),
        (30, restart_balancers_and_all_endpoints),
        (300, restart_balancers_and_all_endpoints),
        (300, restart_all_endpoints),
        (300, set_half_unreachable),
    ],
)
def test_sum_of_minimum_budgets_is_limited(balancers: int, scenario: Scenario) -> None:
    """If hundreds of balancers each sent one request per window, an endpoint would get twice its limit."""
    simulation = SlowStartSimulation(balancers, 20, RATE_PER_S, 0.9, 2, TIGHT_LIMITS)
    scenario(simulation)
    assert simulation.warming_attempts
    assert simulation.max_excess <= 1


@pytest.mark.parametrize(
    ("balancers", "endpoints", "scenario", "min_attempts"),
    [
        (6, 12, add_tenth_of_endpoints, 60),
        (300, 20, add_tenth_of_endpoints, 120),
        (300, 30, restart_third_of_endpoints, 600),
        (30, 12, restart_all_endpoints, 800),
        (30, 12, restart_balancers_and_all_endpoints, 800),
    ],
)
def test_warming_endpoints_with_spare_capacity_are_used(
    balancers: int, endpoints: int, scenario: Scenario, min_attempts: int
) -> None:
    simulation = SlowStartSimulation(balancers, endpoints, RATE_PER_S, 0.9, 1, LOOSE_LIMITS)
    scenario(simulation)
    assert simulation.warming_attempts >= min_attempts
    assert simulation.max_excess <= 1


@pytest.mark.parametrize("scenario", [add_one_endpoint, restart_third_of_endpoints, restart_all_endpoints])
@pytest.mark.parametrize("balancers", [30, 300])
def test_light_traffic_reaches_warming_endpoints(scenario: Scenario, balancers: int) -> None:
    """Balancers that get a request every few seconds must reject at most 2% if endpoints have capacity."""
    simulation = SlowStartSimulation(balancers, 20, RATE_PER_S, 0.05, 1, LOOSE_LIMITS)
    scenario(simulation)
    assert simulation.warming_attempts
    assert simulation.rejected <= 0.02 * simulation.requests
    assert simulation.max_excess <= 1


def test_retries_count_toward_slow_start_limit() -> None:
    """If the limit did not cover retries, a warming endpoint would get twelve of them in one window."""
    simulation = SlowStartSimulation(300, 20, RATE_PER_S, 0.9, 22, TIGHT_LIMITS)
    set_half_to_reject(simulation)
    assert simulation.warming_attempts
    assert simulation.max_excess <= 1
