"""The endpoint list is learned in time after failures of discovery.

Discovery and the time are stand-ins in most tests (`simulated_discovery`).
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

# The policy learns of a list, or of a change, within this time after discovery has it and is reachable.
MAX_LIST_DELAY_S = 6.0
# The same from the end of the wait time of a watch that became unresponsive, if that is later.
MAX_UNRESPONSIVE_WATCH_DELAY_S = 2.0
# The same from a SIGHUP.
MAX_SWITCH_DELAY_S = 4.0
MARGIN_S = 1.0
# Time to connect, and to receive and parse a list of 7,000 entries (930 kB).
LIST_TRANSFER_S = 0.35
# Largest random factor of a retry delay.
MAX_DELAY_JITTER = 1.5


@dataclass(frozen=True)
class Outage:
    """An outage of discovery.

    Attributes:
        poll_deadline_ms: The balancer's `askWithin`.
        min_duration_s: Minimum duration.
        seed: The balancer's seed.
        end_delay_s: How long after a call that failed by it the outage ends.
    """

    poll_deadline_ms: float
    min_duration_s: float
    seed: int
    end_delay_s: float


async def delay_after_outage(loop: SimulatedLoop, fault: str, how: str, outage: Outage) -> float:
    """Return how long after an outage, in seconds, the policy learns of a change that was made in it."""
    discovery = SimulatedDiscovery(loop, 1)
    proxy = WatchingProxy(discovery, outage.seed, outage.poll_deadline_ms, how)
    await asyncio.sleep(1.0)
    discovery.begin_outage(fault)
    began = loop.time()
    recovered = loop.create_future()

    def end() -> None:
        if not recovered.done():
            discovery.fault = ""
            discovery.drain_upstream()
            recovered.set_result(loop.time())

    def end_after_attempt() -> None:
        if loop.time() >= began + outage.min_duration_s and discovery.fault:
            discovery.on_attempt = lambda: None
            loop.call_later(outage.end_delay_s, end)

    discovery.on_attempt = end_after_attempt
    recovered_at: float = await asyncio.wait_for(recovered, outage.min_duration_s + 60)
    return await proxy.wait_for_drain() - recovered_at


@pytest.mark.parametrize("how", ["ask", "push"])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_change_is_learned_in_time_after_an_outage_of_any_kind(fault: str, how: str) -> None:
    """Guards against a retry delay of a minute with `askWithin` at 120 s, and a call timeout of 11 s."""
    polled = ((3_000.0, 10_000.0, 120_000.0), (0.0, 4.0, 20.0, 300.0), (1, 2, 3))
    pushed = ((10_000.0,), (0.0, 4.0, 60.0), (1,))  # only the wait time is random there
    for values in itertools.product(*(polled if how == "ask" else pushed), (0.0, 0.3, 2.0)):
        outage = Outage(*values)
        delay_s = run_simulated(partial(delay_after_outage, fault=fault, how=how, outage=outage))
        assert delay_s + LIST_TRANSFER_S < MAX_LIST_DELAY_S - MARGIN_S, outage


async def check_missed_change(loop: SimulatedLoop, *, how: str, seed: int, calls: int) -> None:
    """Change the list after some watch calls whose connections have become unresponsive."""
    discovery = SimulatedDiscovery(loop, 1)
    proxy = WatchingProxy(discovery, seed, 10_000.0, how)
    for _ in range(calls):
        began, wait_s = await asyncio.wait_for(discovery.watches.get(), 60)
    discovery.begin_outage("silent")
    discovery.fault = ""  # only the connections established before are unresponsive
    discovery.drain_upstream()
    deadline = max(began + wait_s + MAX_UNRESPONSIVE_WATCH_DELAY_S, loop.time() + MAX_LIST_DELAY_S)
    assert await proxy.wait_for_drain() + LIST_TRANSFER_S < deadline


@pytest.mark.parametrize("how", ["ask", "push"])
def test_a_change_missed_by_an_unresponsive_watch_is_learned_in_time(how: str) -> None:
    """Guards against a detection time and retry delay that leave no time to transfer the list."""
    for seed, calls in itertools.product(range(1, 30), (1, 3)):
        run_simulated(partial(check_missed_change, how=how, seed=seed, calls=calls))


async def check_switch_after_failures(
    loop: SimulatedLoop, *, fault: str, how: str, seed: int, phase: float
) -> None:
    """Move to a discovery with a fault during an outage of the old one, and change its list."""
    old, new = SimulatedDiscovery(loop, 1), SimulatedDiscovery(loop, 2)
    proxy = WatchingProxy(old, seed, 120_000.0, how)
    await asyncio.sleep(1.0)
    old.begin_outage("refuses")
    await asyncio.sleep(40.0)
    attempts = len(old.attempts)
    # The policy sets its timer again with the next call.
    await wait_until(lambda: len(old.attempts) > attempts, "discovery is called again", poll_interval_s=0.01)
    await asyncio.sleep(phase)
    new.fault = fault
    switched_at = loop.time()

    def recover() -> None:
        new.fault = ""
        new.on_attempt = lambda: None
        new.drain_upstream()

    new.on_attempt = lambda: loop.call_soon(recover)  # once the first call has been received or has failed
    proxy.switch_to(new)
    learned_at = await proxy.wait_for_drain()
    assert new.attempts[0] == switched_at
    # A connection that is established late costs both timeouts: of the connect and of the response.
    allowed = MAX_LIST_DELAY_S if fault == "connects late" else MAX_SWITCH_DELAY_S
    assert learned_at + LIST_TRANSFER_S < switched_at + allowed


@pytest.mark.parametrize("how", ["ask", "push"])
@pytest.mark.parametrize("fault", FAULTS)
def test_earlier_failures_do_not_delay_a_change_after_a_move(fault: str, how: str) -> None:
    """Guards against polling the new discovery after the backoff of the old one's outage."""
    for seed, phase in itertools.product(range(1, 6), (0.0, 0.4, 0.9)):
        run_simulated(partial(check_switch_after_failures, fault=fault, how=how, seed=seed, phase=phase))


async def check_switches_during_outage(loop: SimulatedLoop) -> None:
    """Move seven times while all discoveries refuse connections; the last one recovers."""
    discoveries = [SimulatedDiscovery(loop, port) for port in range(1, 9)]
    proxy = WatchingProxy(discoveries[0], 1, 120_000.0, "ask")
    await asyncio.sleep(1.0)
    for discovery in discoveries:
        discovery.begin_outage("refuses")
    await asyncio.sleep(30.0)
    for discovery in discoveries[1:]:
        proxy.switch_to(discovery)
        await asyncio.sleep(0.2)
    await asyncio.sleep(10.0)
    last = discoveries[-1]
    before = len(last.attempts)
    await asyncio.sleep(60.0)
    shortest_delay_s = poll_backoff.MAX_BACKOFF_MS / 1000 * 0.5
    assert 60.0 / MAX_LIST_DELAY_S < len(last.attempts) - before <= 60.0 / shortest_delay_s
    earlier_attempts = sum(len(discovery.attempts) for discovery in discoveries[1:-1])
    assert earlier_attempts == len(discoveries) - 2, "no discovery is called after the next move"
    last.fault = ""
    last.drain_upstream()
    learned_at = await proxy.wait_for_drain()
    calls = len(last.calls)
    await asyncio.sleep(30.0)  # a leftover timer does not interrupt the watch
    assert loop.time() >= learned_at + 30.0
    assert [connection.after for connection in last.connections] == [last.index]
    shortest_wait_s = retry_schedule.WATCH_WAIT_MS / 1000 * (1 - retry_schedule.WAIT_JITTER)
    assert len(last.calls) - calls <= 30.0 / shortest_wait_s + 1


def test_moves_during_an_outage_leave_one_call_at_a_time() -> None:
    """Guards against a further poll timer for each move, all of which would be set again for ever."""
    run_simulated(check_switches_during_outage)


async def test_the_first_watch_after_a_failure_does_not_wait_long(start_proxy: StartProxy) -> None:
    harness = await start_proxy(Upstream())
    await harness.send_request()

    async def wait_ms() -> float:
        return float((await harness.discovery.calls.get()).partition("wait_ms=")[2].split(" ")[0])

    assert await wait_ms() > retry_schedule.RECOVERY_WAIT_MS
    harness.discovery.responses.put_nowait(response(500, b"sorry"))
    assert 0 < await wait_ms() <= retry_schedule.RECOVERY_WAIT_MS
    harness.discovery.publish(8)
    assert await wait_ms() > retry_schedule.RECOVERY_WAIT_MS


async def attempts_in_outage(loop: SimulatedLoop, *, fault: str, seeds: int, span_s: float) -> list[float]:
    """Return the times of the calls of several balancers while discovery has a fault."""
    discovery = SimulatedDiscovery(loop, 1)
    proxies = [WatchingProxy(discovery, seed, 120_000.0, "ask") for seed in range(1, seeds + 1)]
    await asyncio.sleep(1.0)
    discovery.begin_outage(fault)
    await asyncio.sleep(20.0)
    discovery.attempts.clear()
    await asyncio.sleep(span_s)
    for proxy in proxies:
        proxy.stop()
    return discovery.attempts


def test_balancers_poll_neither_together_nor_too_often_in_an_outage() -> None:
    """Guards against a load of retries on discovery as it recovers."""
    span_s, seeds = 60.0, 20
    for fault in FAULTS:
        attempts = run_simulated(partial(attempts_in_outage, fault=fault, seeds=seeds, span_s=span_s))
        mean_s = poll_backoff.MAX_BACKOFF_MS / 1000
        assert len(attempts) / (seeds * span_s) < 1.1 / mean_s, fault
        slots = [int(at * 10) for at in attempts]
        assert max(map(slots.count, set(slots))) < seeds / 3, "no tenth of a second gets a third of them"
    again = run_simulated(partial(attempts_in_outage, fault=fault, seeds=seeds, span_s=span_s))
    assert attempts == pytest.approx(again), "the same seeds, the same delays"


def test_the_max_delays_leave_a_second_before_the_deadline_of_a_list() -> None:
    connect_s = endpoint_watch.CONNECT_TIMEOUT_S
    response_s = endpoint_watch.RESPONSE_TIMEOUT_S
    timeout_margin_s = endpoint_watch.WATCH_TIMEOUT_MARGIN_S
    rest_s = poll_backoff.MIN_DELAY_MS / 1000 * MAX_DELAY_JITTER
    period_s = poll_backoff.MAX_BACKOFF_MS / 1000 * MAX_DELAY_JITTER
    recovery_s = retry_schedule.RECOVERY_WAIT_MS / 1000 + timeout_margin_s
    limit_s = MAX_LIST_DELAY_S - MARGIN_S
    # Discovery recovers, or has the change, just after the start of a call that fails.
    assert period_s + LIST_TRANSFER_S < limit_s, (
        "the call fails at once: the next one follows a period after its start"
    )
    call_s = max(recovery_s, response_s)
    assert connect_s + call_s + rest_s + LIST_TRANSFER_S < limit_s, (
        "the call waits for connection and response"
    )
    push_delay_s = retry_schedule.PUSH_RETRY_DELAY_S
    assert connect_s + call_s + push_delay_s + LIST_TRANSFER_S < limit_s, "the same where lists are pushed"
    # An open watch becomes unresponsive.
    assert timeout_margin_s + rest_s + LIST_TRANSFER_S < MAX_UNRESPONSIVE_WATCH_DELAY_S
    assert limit_s > retry_schedule.PUSH_WATCH_WAIT_MS / 1000 + timeout_margin_s + LIST_TRANSFER_S
    # After SIGHUP the first call to the new discovery fails.
    retry_delay_s = retry_schedule.SWITCH_RETRY_DELAY_S * MAX_DELAY_JITTER
    assert retry_schedule.SWITCH_PERIOD_S <= MAX_SWITCH_DELAY_S
    assert max(response_s, connect_s) + retry_delay_s + LIST_TRANSFER_S < MAX_SWITCH_DELAY_S
    assert connect_s + response_s + retry_delay_s + LIST_TRANSFER_S < limit_s
    assert period_s < retry_schedule.SWITCH_PERIOD_S, "an earlier timer fires while the watch itself retries"
    assert call_s >= discovery_connection.BODY_TIMEOUT_S, "a response that stops short ends no later"


async def test_connections_that_discovery_says_it_closes_are_closed() -> None:
    """Guards against a leaked connection for each response with `Connection: close` that is not closed."""
    open_now, index, served = 0, 7, asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal open_now, index
        open_now += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await read_message(reader)
            index += 1
            if index == 40:
                served.set()
                return
            body = json.dumps({"index": index, "snapshot": False, "endpoints": []}).encode()
            writer.write(response(200, body, "Connection: close"))
            await reader.read()
        open_now -= 1
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    config = configuration(config_text(f"{host}:{port}", [entry("s0", "127.0.0.1:9")]))
    watch = endpoint_watch.EndpointWatch(config, lambda endpoint_list: None, lambda: None)
    watch.start_watch()
    await served.wait()
    assert open_now < 10, "of 33: the one in use, and what is just closing"
