"""Groups of balancers with one simulated discovery service, for the runs that measure the control plane.

A group has watch-only balancers, spread over a few processes, and real ones, each in its own process.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import uvloop

from testbed import settings
from testbed.balancer.real import SOURCE_TREE_COMMAND, RealBalancer, find_free_address
from testbed.balancer.watch_only_process import WatchOnlyProcess
from testbed.discovery.agent_state import RequestCounts
from testbed.discovery.service import Discovery
from testbed.errors import TestbedError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from contextlib import AsyncExitStack

    from testbed.results import RowT, RunResult

MAX_LATENESS_S = 0.1
"""The limit in seconds on the 99th percentile of an event loop's lag, and on the lateness of a change.

The results are invalid if one of them reaches this limit.
"""
START_TIMEOUT_S = 60.0
"""The time in seconds within which all balancers of a group have to acknowledge the first list."""
FOLLOW_TIMEOUT_S = 10.0
"""The time in seconds within which all balancers have to acknowledge the last change."""
POLL_INTERVAL_S = 0.01
"""The interval in seconds between two checks of a condition."""
_REAL_BALANCER_HOST_FORMAT = "127.30.0.{}"


class ConditionTimeoutError(TestbedError, RuntimeError):
    """A condition that a run waits for did not hold in time."""

    def __init__(self, description: str, timeout_s: float) -> None:
        super().__init__(f"condition not met within {timeout_s:g} s: {description}")


def run_on_new_loop(main: Coroutine[Any, Any, RunResult[RowT]]) -> RunResult[RowT]:
    """Run a coroutine on a new uvloop event loop and return its result."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)


async def wait_until(condition: Callable[[], bool], timeout_s: float, description: str) -> None:
    """Wait until a condition holds.

    Raises:
        ConditionTimeoutError: The condition did not hold within the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise ConditionTimeoutError(description, timeout_s)
        await asyncio.sleep(POLL_INTERVAL_S)


def all_up_to_date(discovery: Discovery) -> bool:
    """Whether every balancer has acknowledged the current version."""
    return all(agent.acknowledged_version == discovery.version for agent in discovery.agents.values())


def sum_counts(discovery: Discovery, agent_numbers: range) -> RequestCounts:
    """Return the sum of the counts of the given agents."""
    total = RequestCounts()
    for agent_number in agent_numbers:
        total += discovery.agents[agent_number].counts
    return total


@dataclass(slots=True)
class BalancerGroup:
    """Balancers with one simulated discovery service.

    The first `watch_only_count` agents belong to the watch-only balancers, the others to the real ones.
    """

    discovery: Discovery
    processes: list[WatchOnlyProcess]
    real_balancers: list[RealBalancer]
    watch_only_count: int

    @property
    def watch_only_agents(self) -> range:
        """The numbers of the watch-only balancers' agents."""
        return range(self.watch_only_count)

    @property
    def real_agents(self) -> range:
        """The numbers of the real balancers' agents."""
        return range(self.watch_only_count, self.watch_only_count + len(self.real_balancers))


async def start_group(
    stack: AsyncExitStack,
    discovery: Discovery,
    *,
    watch_only_count: int,
    process_count: int,
    real_count: int,
    balancer_settings: dict[str, Any],
    seed: int,
) -> BalancerGroup:
    """Start watch-only balancers, spread evenly over processes, and real balancers.

    The function returns once all of them have acknowledged the current version of the list.
    """
    group = BalancerGroup(discovery, [], [], watch_only_count)

    def configuration_text(number: int, listen: str) -> str:
        agent = discovery.agent_address(number)
        return settings.configuration_text(
            f"n{number}", listen, agent, [], balancer_settings, seed=seed + number
        )

    for process_index in range(min(process_count, watch_only_count)):
        texts = {
            number: configuration_text(number, "127.0.0.1:0")
            for number in range(process_index, watch_only_count, process_count)
        }
        process = WatchOnlyProcess(texts)
        stack.callback(process.stop)
        group.processes.append(process)
    for number in range(watch_only_count, watch_only_count + real_count):
        listen = find_free_address(_REAL_BALANCER_HOST_FORMAT.format(number - watch_only_count + 1))
        balancer = await RealBalancer.start(configuration_text(number, listen), SOURCE_TREE_COMMAND)
        stack.push_async_callback(balancer.stop)
        group.real_balancers.append(balancer)
    for balancer in group.real_balancers:
        await balancer.wait_until_ready()
    await wait_until(lambda: all_up_to_date(discovery), START_TIMEOUT_S, "every balancer is up to date")
    return group


def create_discovery(stack: AsyncExitStack, *args: Any) -> Discovery:
    """Create a `Discovery` with the arguments `args`, and stop it when the stack is closed."""
    discovery = Discovery(*args)
    stack.push_async_callback(discovery.stop)
    return discovery
