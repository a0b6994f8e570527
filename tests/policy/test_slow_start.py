"""Cold servers under the sum of all balancers, counted: many instances of the decision module on one clock.

`TIGHT` leaves a cold server hardly more than what chance brings: N is 3 calls at the start. `ROOMY`: 50.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from loadbalancer.events import Outcome
from tests.policy.slow_start_simulation import Fleet

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
RATE = 40.0  # calls of mean work a second that a warm server takes
LEARN_MS, WATCH_MS = 8_000.0, 5_000.0


def one_joins(fleet: Fleet) -> None:
    fleet.run(LEARN_MS)
    fleet.join(1)
    fleet.run(WATCH_MS)


def a_tenth_joins(fleet: Fleet) -> None:
    fleet.run(LEARN_MS)
    fleet.join(fleet.tenth)
    fleet.run(WATCH_MS)


def a_tenth_joins_under_a_burst(fleet: Fleet) -> None:
    fleet.run(LEARN_MS)
    fleet.quicken(1.5)
    fleet.join(fleet.tenth)
    fleet.run(WATCH_MS)


def half_are_replaced_in_steps(fleet: Fleet) -> None:
    fleet.run(LEARN_MS)
    fleet.replace(steps=5, pause_ms=2_000.0)
    fleet.run(WATCH_MS)


def six_in_ten_are_replaced_within_seconds(fleet: Fleet) -> None:
    fleet.run(LEARN_MS)
    fleet.replace(steps=6, pause_ms=7_000.0 / 6)
    fleet.run(WATCH_MS)


def a_third_returns_cold(fleet: Fleet) -> None:
    fleet.run(LEARN_MS)
    zone = list(fleet.servers)[: len(fleet.servers) // 3]
    fleet.leave(zone)
    fleet.run(5_000.0)
    fleet.come_back(zone)
    fleet.run(WATCH_MS)


def all_balancers_are_new_as_a_tenth_joins(fleet: Fleet) -> None:
    fleet.run(LEARN_MS)
    fleet.restart_balancers()
    fleet.join(fleet.tenth)
    fleet.run(WATCH_MS)


def all_servers_come_back_cold(fleet: Fleet) -> None:
    fleet.run(LEARN_MS)
    fleet.come_back(list(fleet.servers))
    fleet.run(WATCH_MS)


def all_is_new(fleet: Fleet) -> None:
    fleet.come_back(list(fleet.servers))
    fleet.restart_balancers()
    fleet.run(WATCH_MS)


def half_of_the_warm_turn_calls_away(fleet: Fleet) -> None:
    fleet.run(LEARN_MS)
    fleet.spoil(list(fleet.servers)[::2], Outcome.REJECTED)
    fleet.join(fleet.tenth)
    fleet.run(WATCH_MS)


def half_of_the_warm_are_away(fleet: Fleet) -> None:
    fleet.run(LEARN_MS)
    fleet.spoil(list(fleet.servers)[::2], Outcome.CONNECT_FAILED)
    fleet.join(fleet.tenth)
    fleet.run(WATCH_MS)


Story = Callable[[Fleet], None]
STORIES: tuple[Story, ...] = (
    one_joins,
    a_tenth_joins,
    a_tenth_joins_under_a_burst,
    half_are_replaced_in_steps,
    six_in_ten_are_replaced_within_seconds,
    a_third_returns_cold,
    all_balancers_are_new_as_a_tenth_joins,
    all_servers_come_back_cold,
    all_is_new,
    half_of_the_warm_turn_calls_away,
    half_of_the_warm_are_away,
)

# Without warmth and room in the choice, six balancers are enough to push a server over here.
FEW_SUFFICE: tuple[Story, ...] = (
    half_are_replaced_in_steps,
    six_in_ten_are_replaced_within_seconds,
    a_third_returns_cold,
    half_of_the_warm_turn_calls_away,
    half_of_the_warm_are_away,
)


@pytest.mark.parametrize(
    ("balancers", "story"), [(6, story) for story in FEW_SUFFICE] + [(30, story) for story in STORIES]
)
def test_no_cold_server_falls_under_the_sum(balancers: int, story: Story) -> None:
    fleet = Fleet(balancers, 12, RATE, 0.9, 1, TIGHT, skewed=balancers == 30)
    story(fleet)
    assert fleet.cold_calls, "a day on which no cold server is called checks nothing"
    assert fleet.worst <= 1


@pytest.mark.parametrize(
    ("balancers", "story"),
    [
        (20, all_is_new),
        (30, all_is_new),
        (300, all_is_new),
        (300, all_servers_come_back_cold),
        (300, half_of_the_warm_are_away),
    ],
)
def test_the_one_call_that_each_may_send_does_not_add_up(balancers: int, story: Story) -> None:
    """Each sent a cold server one call a window: of hundreds that was twice what it can bear."""
    fleet = Fleet(balancers, 20, RATE, 0.9, 2, TIGHT)
    story(fleet)
    assert fleet.cold_calls
    assert fleet.worst <= 1


@pytest.mark.parametrize(
    ("balancers", "servers", "story", "least"),
    [
        (6, 12, a_tenth_joins, 60),
        (300, 20, a_tenth_joins, 120),
        (300, 30, a_third_returns_cold, 600),
        (30, 12, all_servers_come_back_cold, 800),
        (30, 12, all_is_new, 800),
    ],
)
def test_cold_servers_with_room_are_not_starved(
    balancers: int, servers: int, story: Story, least: int
) -> None:
    fleet = Fleet(balancers, servers, RATE, 0.9, 1, ROOMY)
    story(fleet)
    assert fleet.cold_calls >= least
    assert fleet.worst <= 1


@pytest.mark.parametrize("story", [one_joins, a_third_returns_cold, all_servers_come_back_cold])
@pytest.mark.parametrize("balancers", [30, 300])
def test_light_traffic_reaches_cold_servers(story: Story, balancers: int) -> None:
    """Balancers that see a call in seconds: nothing of it is refused where the servers have room."""
    fleet = Fleet(balancers, 20, RATE, 0.05, 1, ROOMY)
    story(fleet)
    assert fleet.cold_calls
    assert fleet.refused <= 0.02 * fleet.asked
    assert fleet.worst <= 1


def test_further_attempts_do_not_come_on_top() -> None:
    """Warm servers that turn calls away: calls were sent on, and twelve in a window met one cold server."""
    fleet = Fleet(300, 20, RATE, 0.9, 22, TIGHT)
    half_of_the_warm_turn_calls_away(fleet)
    assert fleet.cold_calls
    assert fleet.worst <= 1
