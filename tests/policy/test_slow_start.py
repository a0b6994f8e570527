"""Warming endpoints under the load of all balancers together: many instances of the policy on one clock.

`TIGHT` leaves a warming endpoint hardly more than what chance brings: 3 requests a window at its start.
`ROOMY` leaves it 50.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from loadbalancer.events import Outcome
from tests.policy.slow_start_simulation import SlowStartSimulation

ROOMY = {
    "slow_start_ms": 8_900.0,
    "slow_start_initial_fraction": 0.31,
    "slow_start_overload_factor": 4.0,
    "slow_start_window_ms": 1_000.0,
}
TIGHT = {
    "slow_start_ms": 20_000.0,
    "slow_start_initial_fraction": 0.1,
    "slow_start_overload_factor": 1.5,
    "slow_start_window_ms": 500.0,
}
RATE_PER_S = 40.0  # requests of mean work that a warm endpoint can serve
LEARNING_MS = 8_000.0
OBSERVED_MS = 5_000.0


def one_is_added(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.add_endpoints(1)
    simulation.run(OBSERVED_MS)


def a_tenth_is_added(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.add_endpoints(simulation.tenth)
    simulation.run(OBSERVED_MS)


def a_tenth_is_added_during_a_burst(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.scale_request_rate(1.5)
    simulation.add_endpoints(simulation.tenth)
    simulation.run(OBSERVED_MS)


def half_are_replaced_in_steps(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.replace_endpoints(steps=5, interval_ms=2_000.0)
    simulation.run(OBSERVED_MS)


def six_in_ten_are_replaced_within_seconds(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.replace_endpoints(steps=6, interval_ms=7_000.0 / 6)
    simulation.run(OBSERVED_MS)


def a_third_restarts(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    third = list(simulation.endpoints)[: len(simulation.endpoints) // 3]
    simulation.remove_endpoints(third)
    simulation.run(5_000.0)
    simulation.restart_endpoints(third)
    simulation.run(OBSERVED_MS)


def all_balancers_restart_as_a_tenth_is_added(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.restart_balancers()
    simulation.add_endpoints(simulation.tenth)
    simulation.run(OBSERVED_MS)


def all_endpoints_restart(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.restart_endpoints(list(simulation.endpoints))
    simulation.run(OBSERVED_MS)


def everything_restarts(simulation: SlowStartSimulation) -> None:
    simulation.restart_endpoints(list(simulation.endpoints))
    simulation.restart_balancers()
    simulation.run(OBSERVED_MS)


def half_of_the_warm_reject_requests(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.set_outcome(list(simulation.endpoints)[::2], Outcome.REJECTED)
    simulation.add_endpoints(simulation.tenth)
    simulation.run(OBSERVED_MS)


def half_of_the_warm_are_unreachable(simulation: SlowStartSimulation) -> None:
    simulation.run(LEARNING_MS)
    simulation.set_outcome(list(simulation.endpoints)[::2], Outcome.CONNECT_FAILED)
    simulation.add_endpoints(simulation.tenth)
    simulation.run(OBSERVED_MS)


Scenario = Callable[[SlowStartSimulation], None]
SCENARIOS: tuple[Scenario, ...] = (
    one_is_added,
    a_tenth_is_added,
    a_tenth_is_added_during_a_burst,
    half_are_replaced_in_steps,
    six_in_ten_are_replaced_within_seconds,
    a_third_restarts,
    all_balancers_restart_as_a_tenth_is_added,
    all_endpoints_restart,
    everything_restarts,
    half_of_the_warm_reject_requests,
    half_of_the_warm_are_unreachable,
)

# Without a limit on warming endpoints, six balancers are enough to overload one here.
OVERLOADED_BY_SIX_BALANCERS: tuple[Scenario, ...] = (
    half_are_replaced_in_steps,
    six_in_ten_are_replaced_within_seconds,
    a_third_restarts,
    half_of_the_warm_reject_requests,
    half_of_the_warm_are_unreachable,
)


@pytest.mark.parametrize(
    ("balancers", "scenario"),
    [(6, scenario) for scenario in OVERLOADED_BY_SIX_BALANCERS] + [(30, scenario) for scenario in SCENARIOS],
)
def test_no_warming_endpoint_is_overloaded_by_all_balancers_together(
    balancers: int, scenario: Scenario
) -> None:
    simulation = SlowStartSimulation(balancers, 12, RATE_PER_S, 0.9, 1, TIGHT, skewed=balancers == 30)
    scenario(simulation)
    assert simulation.warming_attempts, "a run in which no warming endpoint is used checks nothing"
    assert simulation.worst_excess <= 1


@pytest.mark.parametrize(
    ("balancers", "scenario"),
    [
        (20, everything_restarts),
        (30, everything_restarts),
        (300, everything_restarts),
        (300, all_endpoints_restart),
        (300, half_of_the_warm_are_unreachable),
    ],
)
def test_the_one_request_a_window_that_each_may_send_does_not_add_up(
    balancers: int, scenario: Scenario
) -> None:
    """Each balancer sent a warming endpoint one request a window: hundreds sent twice what it can handle."""
    simulation = SlowStartSimulation(balancers, 20, RATE_PER_S, 0.9, 2, TIGHT)
    scenario(simulation)
    assert simulation.warming_attempts
    assert simulation.worst_excess <= 1


@pytest.mark.parametrize(
    ("balancers", "endpoints", "scenario", "min_attempts"),
    [
        (6, 12, a_tenth_is_added, 60),
        (300, 20, a_tenth_is_added, 120),
        (300, 30, a_third_restarts, 600),
        (30, 12, all_endpoints_restart, 800),
        (30, 12, everything_restarts, 800),
    ],
)
def test_warming_endpoints_with_spare_capacity_are_used(
    balancers: int, endpoints: int, scenario: Scenario, min_attempts: int
) -> None:
    simulation = SlowStartSimulation(balancers, endpoints, RATE_PER_S, 0.9, 1, ROOMY)
    scenario(simulation)
    assert simulation.warming_attempts >= min_attempts
    assert simulation.worst_excess <= 1


@pytest.mark.parametrize("scenario", [one_is_added, a_third_restarts, all_endpoints_restart])
@pytest.mark.parametrize("balancers", [30, 300])
def test_light_traffic_reaches_warming_endpoints(scenario: Scenario, balancers: int) -> None:
    """Balancers that get one request in seconds reject hardly any, where the endpoints have capacity."""
    simulation = SlowStartSimulation(balancers, 20, RATE_PER_S, 0.05, 1, ROOMY)
    scenario(simulation)
    assert simulation.warming_attempts
    assert simulation.rejected <= 0.02 * simulation.requests
    assert simulation.worst_excess <= 1


def test_retries_count_against_the_limit_of_warming_endpoints() -> None:
    """Requests that warm endpoints rejected were retried: twelve in a window met one warming endpoint."""
    simulation = SlowStartSimulation(300, 20, RATE_PER_S, 0.9, 22, TIGHT)
    half_of_the_warm_reject_requests(simulation)
    assert simulation.warming_attempts
    assert simulation.worst_excess <= 1
