"""The policy receives the endpoint list in time after failures of discovery.

Most tests simulate discovery and the clock (`simulated_discovery`).
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import pytest

from loadbalancer.network.discovery import connection as discovery_connection
from loadbalancer.network.discovery import retry_schedule
from loadbalancer.network.discovery import watch as endpoint_watch
from loadbalancer.policy import poll_backoff
from tests.support.configurations import config_text, configuration, entry
from tests.support.http_messages import read_message, response
from tests.support.scripted_upstream import Upstream
from tests.support.simulated_discovery import (
    FAULTS,
    SimulatedDiscovery,
    SimulatedLoop,
    WatchingProxy,
    run_simulated,
)
from tests.support.waiting import wait_until

if TYPE_CHECKING:
    from tests.support.fixture_types import StartProxy

# Time limit from when discovery has a list or change and can be reached until the policy receives it.
MAX_LIST_DELAY_S = 6.0
# If a watch request gets no response: time limit from the end of its wait time until the policy receives the
# change that the request missed. The later of this limit and `MAX_LIST_DELAY_S` applies.
MAX_UNRESPONSIVE_WATCH_DELAY_S = 2.0
# Time limit from a switch to another discovery service (SIGHUP) until the policy receives the list of that
# service.
MAX_SWITCH_DELAY_S = 4.0
# Safety margin: worst-case delays must be below `MAX_LIST_DELAY_S` by this time.
MARGIN_S = 1.0
# Time to connect, and to receive and parse a list of 7,000 entries (930 kB).
LIST_TRANSFER_S = 0.35
# Maximum random factor by which a retry delay is multiplied.
MAX_DELAY_JITTER = 1.5


@dataclass(frozen=True)
class Outage:
    """An outage of discovery.

    Attributes:
        poll_deadline_ms: The `askWithin` setting of the balancer.
        min_duration_s: Minimum duration of the outage.
        seed: The balancer's seed.
        recovery_delay_s: Time from a failed attempt to reach discovery until the end of the outage.
    """

    poll_deadline_ms: float
    min_duration_s: float
    seed: int
    recovery_delay_s: float


async def measure_delay_after_outage(
    loop: SimulatedLoop, fault: str, discovery_mode: str, outage: Outage
) -> float:
    """Return the time in seconds from the end of an outage until the policy receives a change of the list.

    The list changes at the end of the outage.
    """
    discovery = SimulatedDiscovery(loop, 1)
    proxy = WatchingProxy(discovery, outage.seed, outage.poll_deadline_ms, discovery_mode)
    await asyncio.sleep(1.0)
    discovery.begin_outage(fault)
    started_at = loop.time()
    recovered = loop.create_future()

    def recover() -> None:
        if not recovered.done():
            discovery.fault = ""
            discovery.drain_upstream()
            recovered.set_result(loop.time())

    def recover_after_failed_attempt() -> None:
        if loop.time() >= started_at + outage.min_duration_s and discovery.fault:
            discovery.on_attempt = lambda: None
            loop.call_later(outage.recovery_delay_s, recover)

    discovery.on_attempt = recover_after_failed_attempt
    recovered_at: float = await asyncio.wait_for(recovered, outage.min_duration_s + 60)
    return await proxy.wait_for_drain() - recovered_at


@pytest.mark.parametrize("discovery_mode", ["ask", "push"])
@pytest.mark.parametrize("fault", FAULTS)
def test_change_during_outage_is_received_in_time(fault: str, discovery_mode: str) -> None:
    """A retry delay of a minute (`askWithin` is 120 s) or a request timeout of 11 s would be too long."""
    polling_values = ((3_000.0, 10_000.0, 120_000.0), (0.0, 4.0, 20.0, 300.0), (1, 2, 3))
    push_values = ((10_000.0,), (0.0, 4.0, 60.0), (1,))  # only the wait time is random
    for values in itertools.product(
        *(polling_values if discovery_mode == "ask" else push_values), (0.0, 0.3, 2.0)
    ):
        outage = Outage(*values)
        delay_s = run_simulated(
            partial(measure_delay_after_outage, fault=fault, discovery_mode=discovery_mode, outage=outage)
        )
        assert delay_s + LIST_TRANSFER_S < MAX_LIST_DELAY_S - MARGIN_S, outage


async def check_missed_change(
    loop: SimulatedLoop, *, discovery_mode: str, seed: int, watch_count: int
) -> None:
    """Make the connection unresponsive during a watch request, change the list, and check the delay."""
    discovery = SimulatedDiscovery(loop, 1)
    proxy = WatchingProxy(discovery, seed, 10_000.0, discovery_mode)
    for _ in range(watch_count):
        started_at, wait_s = await asyncio.wait_for(discovery.watches.get(), 60)
    discovery.begin_outage("silent")
    discovery.fault = ""  # only the existing connections are unresponsive
    discovery.drain_upstream()
    deadline = max(started_at + wait_s + MAX_UNRESPONSIVE_WATCH_DELAY_S, loop.time() + MAX_LIST_DELAY_S)
    assert await proxy.wait_for_drain() + LIST_TRANSFER_S < deadline


@pytest.mark.parametrize("discovery_mode", ["ask", "push"])
def test_change_missed_by_open_watch_is_received_in_time(discovery_mode: str) -> None:
    """The failure must be detected, and the request retried, early enough to transfer the list."""
    for seed, watch_count in itertools.product(range(1, 30), (1, 3)):
        run_simulated(
            partial(check_missed_change, discovery_mode=discovery_mode, seed=seed, watch_count=watch_count)
        )


async def check_switch_after_failures(
    loop: SimulatedLoop, *, fault: str, discovery_mode: str, seed: int, delay_before_switch_s: float
) -> None:
    """During an outage, switch to another discovery service, which at first has a fault; check the delay."""
    old_discovery, new_discovery = SimulatedDiscovery(loop, 1), SimulatedDiscovery(loop, 2)
    proxy = WatchingProxy(old_discovery, seed, 120_000.0, discovery_mode)
    await asyncio.sleep(1.0)
    old_discovery.begin_outage("refuses")
    await asyncio.sleep(40.0)
    attempts = len(old_discovery.attempts)
    # Wait for the next attempt to reach discovery, after which the policy sets its timer again.
    await wait_until(
        lambda: len(old_discovery.attempts) > attempts,
        "the balancer has tried again to reach discovery",
        poll_interval_s=0.01,
    )
    await asyncio.sleep(delay_before_switch_s)
    new_discovery.fault = fault
    switched_at = loop.time()

    def recover() -> None:
        new_discovery.fault = ""
        new_discovery.on_attempt = lambda: None
        new_discovery.drain_upstream()

    # The new service recovers once its first request has been received or has failed.
    new_discovery.on_attempt = lambda: loop.call_soon(recover)
    proxy.switch_to(new_discovery)
    learned_at = await proxy.wait_for_drain()
    assert new_discovery.attempts[0] == switched_at
    # If a connection is established late, the connect timeout and the response timeout add up.
    max_delay_s = MAX_LIST_DELAY_S if fault == "connects late" else MAX_SWITCH_DELAY_S
    assert learned_at + LIST_TRANSFER_S < switched_at + max_delay_s


@pytest.mark.parametrize("discovery_mode", ["ask", "push"])
@pytest.mark.parametrize("fault", FAULTS)
def test_failures_before_switch_do_not_delay_new_list(fault: str, discovery_mode: str) -> None:
    """The backoff from the outage of the old discovery service must not apply to the new one."""
    for seed, delay_before_switch_s in itertools.product(range(1, 6), (0.0, 0.4, 0.9)):
        run_simulated(
            partial(
                check_switch_after_failures,
                fault=fault,
                discovery_mode=discovery_mode,
                seed=seed,
                delay_before_switch_s=delay_before_switch_s,
            )
        )


async def check_switches_during_outage(loop: SimulatedLoop) -> None:
    """Switch seven times while all discovery services refuse connections; finally the last one recovers."""
    discovery_services = [SimulatedDiscovery(loop, port) for port in range(1, 9)]
    proxy = WatchingProxy(discovery_services[0], 1, 120_000.0, "ask")
    await asyncio.sleep(1.0)
    for discovery in discovery_services:
        discovery.begin_outage("refuses")
    await asyncio.sleep(30.0)
    for discovery in discovery_services[1:]:
        proxy.switch_to(discovery)
        await asyncio.sleep(0.2)
    await asyncio.sleep(10.0)
    last_discovery = discovery_services[-1]
    attempts_before = len(last_discovery.attempts)
    await asyncio.sleep(60.0)
    shortest_delay_s = poll_backoff.MAX_BACKOFF_MS / 1000 * 0.5
    assert 60.0 / MAX_LIST_DELAY_S < len(last_discovery.attempts) - attempts_before <= 60.0 / shortest_delay_s
    earlier_attempts = sum(len(discovery.attempts) for discovery in discovery_services[1:-1])
    assert earlier_attempts == len(discovery_services) - 2, (
        "each service must be tried once, and not again after the switch to the next service"
    )
    last_discovery.fault = ""
    last_discovery.drain_upstream()
    learned_at = await proxy.wait_for_drain()
    requests_before = len(last_discovery.requests)
    await asyncio.sleep(30.0)  # no timer from an earlier switch may interrupt the watch
    assert loop.time() >= learned_at + 30.0
    assert [connection.watched_version for connection in last_discovery.connections] == [
        last_discovery.version
    ]
    shortest_wait_s = retry_schedule.WATCH_WAIT_MS / 1000 * (1 - retry_schedule.WAIT_JITTER)
    assert len(last_discovery.requests) - requests_before <= 30.0 / shortest_wait_s + 1


def test_switches_during_outage_leave_one_watch() -> None:
    """No switch may add a second poll timer, which would be set again each time it fires."""
    run_simulated(check_switches_during_outage)


async def test_first_watch_after_failure_has_short_wait(start_proxy: StartProxy) -> None:
    harness = await start_proxy(Upstream())
    await harness.send_request()

    async def wait_ms() -> float:
        return float((await harness.discovery.requests.get()).partition("wait_ms=")[2].split(" ")[0])

    assert await wait_ms() > retry_schedule.RECOVERY_WAIT_MS
    harness.discovery.responses.put_nowait(response(500, b"sorry"))
    assert 0 < await wait_ms() <= retry_schedule.RECOVERY_WAIT_MS
    harness.discovery.publish(8)
    assert await wait_ms() > retry_schedule.RECOVERY_WAIT_MS


async def connect_times_in_outage(
    loop: SimulatedLoop, *, fault: str, balancer_count: int, duration_s: float
) -> list[float]:
    """Return the times at which several balancers tried to reach discovery during an outage."""
    discovery = SimulatedDiscovery(loop, 1)
    proxies = [WatchingProxy(discovery, seed, 120_000.0, "ask") for seed in range(1, balancer_count + 1)]
    await asyncio.sleep(1.0)
    discovery.begin_outage(fault)
    await asyncio.sleep(20.0)
    discovery.attempts.clear()
    await asyncio.sleep(duration_s)
    for proxy in proxies:
        proxy.stop()
    return discovery.attempts


def test_retries_in_outage_are_spread_and_limited() -> None:
    """Simultaneous retries would overload discovery as it recovers."""
    duration_s, balancer_count = 60.0, 20
    for fault in FAULTS:
        attempts = run_simulated(
            partial(
                connect_times_in_outage, fault=fault, balancer_count=balancer_count, duration_s=duration_s
            )
        )
        mean_delay_s = poll_backoff.MAX_BACKOFF_MS / 1000
        assert len(attempts) / (balancer_count * duration_s) < 1.1 / mean_delay_s, fault
        slots = [int(at * 10) for at in attempts]
        assert max(map(slots.count, set(slots))) < balancer_count / 3, (
            "within a tenth of a second, fewer than a third of the balancers try to reach discovery"
        )
    repeated_attempts = run_simulated(
        partial(connect_times_in_outage, fault=fault, balancer_count=balancer_count, duration_s=duration_s)
    )
    assert attempts == pytest.approx(repeated_attempts), "the same seeds give the same delays"


def test_sum_of_delays_is_below_limits() -> None:
    connect_s = endpoint_watch.CONNECT_TIMEOUT_S
    response_s = endpoint_watch.RESPONSE_TIMEOUT_S
    timeout_margin_s = endpoint_watch.WATCH_TIMEOUT_MARGIN_S
    poll_delay_s = poll_backoff.MIN_DELAY_MS / 1000 * MAX_DELAY_JITTER
    max_backoff_s = poll_backoff.MAX_BACKOFF_MS / 1000 * MAX_DELAY_JITTER
    recovery_s = retry_schedule.RECOVERY_WAIT_MS / 1000 + timeout_margin_s
    limit_s = MAX_LIST_DELAY_S - MARGIN_S
    # Worst case: discovery recovers, or receives the change, just after the start of a request that fails.
    assert max_backoff_s + LIST_TRANSFER_S < limit_s, (
        "the request fails at once, and the next one starts after a backoff period"
    )
    max_request_s = max(recovery_s, response_s)
    assert connect_s + max_request_s + poll_delay_s + LIST_TRANSFER_S < limit_s, (
        "the request fails after the connect timeout and the response timeout"
    )
    push_delay_s = retry_schedule.PUSH_RETRY_DELAY_S
    assert connect_s + max_request_s + push_delay_s + LIST_TRANSFER_S < limit_s, (
        "if lists are pushed, the request fails after both timeouts, and the retry follows a fixed delay"
    )
    # The connection of an open watch request becomes unresponsive.
    assert timeout_margin_s + poll_delay_s + LIST_TRANSFER_S < MAX_UNRESPONSIVE_WATCH_DELAY_S
    assert limit_s > retry_schedule.PUSH_WATCH_WAIT_MS / 1000 + timeout_margin_s + LIST_TRANSFER_S
    # After SIGHUP the first request to the new discovery service fails.
    retry_delay_s = retry_schedule.SWITCH_RETRY_DELAY_S * MAX_DELAY_JITTER
    assert retry_schedule.SWITCH_PERIOD_S <= MAX_SWITCH_DELAY_S
    assert max(response_s, connect_s) + retry_delay_s + LIST_TRANSFER_S < MAX_SWITCH_DELAY_S
    assert connect_s + response_s + retry_delay_s + LIST_TRANSFER_S < limit_s
    assert max_backoff_s < retry_schedule.SWITCH_PERIOD_S, (
        "a timer set before the switch fires while the watch itself retries"
    )
    assert max_request_s >= discovery_connection.STALL_TIMEOUT_S, (
        "a truncated response must not fail later than a missing one"
    )
    assert discovery_connection.BODY_TIMEOUT_S + discovery_connection.STALL_TIMEOUT_S < MAX_LIST_DELAY_S, (
        "a list that takes longer would be received too late"
    )


async def test_connection_close_from_discovery_is_respected() -> None:
    """Discovery leaves each connection open; if the watch did not close it, each response would leak one."""
    open_connection_count, version, all_served = 0, 7, asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal open_connection_count, version
        open_connection_count += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await read_message(reader)
            version += 1
            if version == 40:
                all_served.set()
                return
            body = json.dumps({"index": version, "snapshot": False, "endpoints": []}).encode()
            writer.write(response(200, body, "Connection: close"))
            await reader.read()
        open_connection_count -= 1
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    config = configuration(config_text(f"{host}:{port}", [entry("s0", "127.0.0.1:9")]))
    watch = endpoint_watch.EndpointWatch(config, lambda endpoint_list: None, lambda: None)
    watch.start_watch()
    await all_served.wait()
    assert open_connection_count < 10, (
        "of 33 connections, only the one in use and those being closed are open"
    )
