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

import pytest

from loadbalancer.actions import SetTimer
from loadbalancer.events import EndpointListKind, EndpointListUpdate
from loadbalancer.network.discovery import connection as discovery_connection
from loadbalancer.network.discovery import retry_schedule
from loadbalancer.network.discovery import watch as endpoint_watch
from loadbalancer.policy import poll_backoff
from tests.policy.helpers import PolicyHarness, of_type
from tests.support.configurations import config_text, configuration
from tests.support.loopback import Rig, Upstream, entry, read_message, response
from tests.support.simulated_discovery import (
    FAULTS,
    SimulatedDiscovery,
    SimulatedLoop,
    WatchingProxy,
    run_simulated,
)
from tests.support.waiting import wait_until

# A list, or a change of it, is due this long after discovery had it and could be reached, and a call failed.
LIST_DUE_S = 6.0
# The same after the wait of a watch that fell silent, if that is later.
SILENT_WATCH_DUE_S = 2.0
# The same after SIGHUP.
MOVE_DUE_S = 4.0
MARGIN_S = 1.0
# To connect, and to get and read a list of 7,000 entries (930 kB).
LIST_TRANSFER_S = 0.35
# The largest factor of a retry delay.
MAX_DELAY_JITTER = 1.5


@dataclass(frozen=True)
class Outage:
    """An outage of discovery.

    Attributes:
        poll_deadline_ms: The balancer's `askWithin`.
        min_duration_s: How long it lasts at the least.
        seed: The balancer's seed.
        end_delay_s: How long after a try that met it the outage ends.
    """

    poll_deadline_ms: float
    min_duration_s: float
    seed: int
    end_delay_s: float


async def delay_after_outage(loop: SimulatedLoop, fault: str, how: str, outage: Outage) -> float:
    """How long the policy takes to learn of a change that is there as the outage ends, in seconds."""
    discovery = SimulatedDiscovery(loop, 1)
    proxy = WatchingProxy(discovery, outage.seed, outage.poll_deadline_ms, how)
    await asyncio.sleep(1.0)
    discovery.fail(fault)
    began = loop.time()
    ended = loop.create_future()

    def end() -> None:
        if not ended.done():
            discovery.fault = ""
            discovery.change()
            ended.set_result(loop.time())

    def end_after_try() -> None:
        if loop.time() >= began + outage.min_duration_s and discovery.fault:
            discovery.on_try = lambda: None
            loop.call_later(outage.end_delay_s, end)

    discovery.on_try = end_after_try
    ended_at: float = await asyncio.wait_for(ended, outage.min_duration_s + 60)
    return await proxy.learns_of_drain() - ended_at


@pytest.mark.parametrize("how", ["ask", "push"])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_change_is_learned_in_time_after_an_outage_of_any_kind(fault: str, how: str) -> None:
    """With `askWithin` at 120 s the delay grew to a minute, and a silent call was waited for for 11 s."""
    polled = ((3_000.0, 10_000.0, 120_000.0), (0.0, 4.0, 20.0, 300.0), (1, 2, 3))
    pushed = ((10_000.0,), (0.0, 4.0, 60.0), (1,))  # only the length of a wait is random there
    for values in itertools.product(*(polled if how == "ask" else pushed), (0.0, 0.3, 2.0)):
        outage = Outage(*values)
        delay_s = run_simulated(partial(delay_after_outage, fault=fault, how=how, outage=outage))
        assert delay_s + LIST_TRANSFER_S < LIST_DUE_S - MARGIN_S, outage


@pytest.mark.parametrize("how", ["ask", "push"])
def test_a_change_missed_by_a_silent_watch_is_learned_in_time(how: str) -> None:
    """A second to notice and three quarters of a retry delay left no time for the list itself."""

    async def scenario(loop: SimulatedLoop, seed: int, calls: int) -> None:
        discovery = SimulatedDiscovery(loop, 1)
        proxy = WatchingProxy(discovery, seed, 10_000.0, how)
        for _ in range(calls):
            began, wait_s = await asyncio.wait_for(discovery.watches.get(), 60)
        discovery.fail("silent")
        discovery.fault = ""  # only the connections that were up are dead
        discovery.change()
        due_at = max(began + wait_s + SILENT_WATCH_DUE_S, loop.time() + LIST_DUE_S)
        assert await proxy.learns_of_drain() + LIST_TRANSFER_S < due_at

    for seed, calls in itertools.product(range(1, 30), (1, 3)):
        run_simulated(partial(scenario, seed=seed, calls=calls))


@pytest.mark.parametrize("how", ["ask", "push"])
@pytest.mark.parametrize("fault", FAULTS)
def test_after_a_move_earlier_failures_do_not_lengthen_the_delay(fault: str, how: str) -> None:
    """The new discovery's first call failed, and it was asked again after the delay of a long outage."""

    async def scenario(loop: SimulatedLoop, seed: int, phase: float) -> None:
        old, new = SimulatedDiscovery(loop, 1), SimulatedDiscovery(loop, 2)
        proxy = WatchingProxy(old, seed, 120_000.0, how)
        await asyncio.sleep(1.0)
        old.fail("refuses")
        await asyncio.sleep(40.0)
        tries = len(old.tries)
        # The policy's timer is set again with the next try.
        await wait_until(lambda: len(old.tries) > tries, "discovery is called again", poll_interval_s=0.01)
        await asyncio.sleep(phase)
        new.fault = fault
        moved_at = loop.time()

        def recover() -> None:
            new.fault = ""
            new.on_try = lambda: None
            new.change()

        new.on_try = lambda: loop.call_soon(recover)  # once the first call has been received or has failed
        proxy.move(new)
        learned_at = await proxy.learns_of_drain()
        assert new.tries[0] == moved_at
        # A late one costs both: the wait for a connection, and that for a response.
        allowed = LIST_DUE_S if fault == "late" else MOVE_DUE_S
        assert learned_at + LIST_TRANSFER_S < moved_at + allowed

    for seed, phase in itertools.product(range(1, 6), (0.0, 0.4, 0.9)):
        run_simulated(partial(scenario, seed=seed, phase=phase))


def test_moves_during_an_outage_leave_one_call_at_a_time() -> None:
    """Each move's failed call set a timer beside the one that ran, and all of them went on for ever."""

    async def scenario(loop: SimulatedLoop) -> None:
        discoveries = [SimulatedDiscovery(loop, port) for port in range(1, 9)]
        proxy = WatchingProxy(discoveries[0], 1, 120_000.0, "ask")
        await asyncio.sleep(1.0)
        for discovery in discoveries:
            discovery.fail("refuses")
        await asyncio.sleep(30.0)
        for discovery in discoveries[1:]:
            proxy.move(discovery)
            await asyncio.sleep(0.2)
        await asyncio.sleep(10.0)
        last = discoveries[-1]
        before = len(last.tries)
        await asyncio.sleep(60.0)
        shortest_delay_s = poll_backoff.MAX_BACKOFF_MS / 1000 * 0.5
        assert 60.0 / LIST_DUE_S < len(last.tries) - before <= 60.0 / shortest_delay_s
        earlier_tries = sum(len(discovery.tries) for discovery in discoveries[1:-1])
        assert earlier_tries == len(discoveries) - 2, "none is called after the next move"
        last.fault = ""
        last.change()
        learned_at = await proxy.learns_of_drain()
        calls = len(last.calls)
        await asyncio.sleep(30.0)  # a timer that is left over does not disturb the watch
        assert loop.time() >= learned_at + 30.0
        assert [connection.after for connection in last.connections] == [last.index]
        shortest_wait_s = retry_schedule.WATCH_WAIT_MS / 1000 * (1 - retry_schedule.WAIT_JITTER)
        assert len(last.calls) - calls <= 30.0 / shortest_wait_s + 1

    run_simulated(scenario)


async def test_the_first_watch_after_a_failure_does_not_wait_long() -> None:
    async with Rig(Upstream()) as rig:
        await rig.send_request()

        async def wait_ms() -> float:
            return float((await rig.discovery.calls.get()).partition("wait_ms=")[2].split(" ")[0])

        assert await wait_ms() > retry_schedule.RECOVERY_WAIT_MS
        rig.discovery.responses.put_nowait(response(500, b"sorry"))
        assert 0 < await wait_ms() <= retry_schedule.RECOVERY_WAIT_MS
        rig.discovery.publish(8)
        assert await wait_ms() > retry_schedule.RECOVERY_WAIT_MS


def test_balancers_poll_neither_together_nor_too_often_in_an_outage() -> None:
    """Calls that fail cost discovery work just when it recovers."""
    span_s, seeds = 60.0, 20

    async def scenario(loop: SimulatedLoop, fault: str) -> list[float]:
        discovery = SimulatedDiscovery(loop, 1)
        proxies = [WatchingProxy(discovery, seed, 120_000.0, "ask") for seed in range(1, seeds + 1)]
        await asyncio.sleep(1.0)
        discovery.fail(fault)
        await asyncio.sleep(20.0)
        discovery.tries.clear()
        await asyncio.sleep(span_s)
        for proxy in proxies:
            proxy.stop()
        return discovery.tries

    for fault in FAULTS:
        tries = run_simulated(partial(scenario, fault=fault))
        mean_s = poll_backoff.MAX_BACKOFF_MS / 1000
        assert len(tries) / (seeds * span_s) < 1.1 / mean_s, fault
        slots = [int(at * 10) for at in tries]
        assert max(map(slots.count, set(slots))) < seeds / 3, "no tenth of a second gets a third of them"
    again = run_simulated(partial(scenario, fault=fault))
    assert tries == pytest.approx(again), "the same seeds, the same delays"


def test_the_longest_delays_leave_a_second_before_a_list_is_due() -> None:
    connect_s = endpoint_watch.CONNECT_TIMEOUT_S
    response_s = endpoint_watch.RESPONSE_TIMEOUT_S
    overdue_s = endpoint_watch.WATCH_OVERDUE_S
    rest_s = poll_backoff.MIN_DELAY_MS / 1000 * MAX_DELAY_JITTER
    period_s = poll_backoff.MAX_BACKOFF_MS / 1000 * MAX_DELAY_JITTER
    recovery_s = retry_schedule.RECOVERY_WAIT_MS / 1000 + overdue_s
    limit_s = LIST_DUE_S - MARGIN_S
    # Discovery is back, or the change there, just after a try began that is bound to fail.
    assert period_s + LIST_TRANSFER_S < limit_s, "it failed at once: the next one is due by its beginning"
    call_s = max(recovery_s, response_s)
    assert connect_s + call_s + rest_s + LIST_TRANSFER_S < limit_s, "it waited for connection and response"
    push_delay_s = retry_schedule.PUSH_RETRY_DELAY_S
    assert connect_s + call_s + push_delay_s + LIST_TRANSFER_S < limit_s, "the same where lists are pushed"
    # A watch that was open falls silent.
    assert overdue_s + rest_s + LIST_TRANSFER_S < SILENT_WATCH_DUE_S
    assert limit_s > retry_schedule.PUSH_WATCH_WAIT_MS / 1000 + overdue_s + LIST_TRANSFER_S
    # SIGHUP, and the new one's first call fails.
    retry_delay_s = retry_schedule.MOVE_RETRY_DELAY_S * MAX_DELAY_JITTER
    assert retry_schedule.MOVE_PERIOD_S <= MOVE_DUE_S
    assert max(response_s, connect_s) + retry_delay_s + LIST_TRANSFER_S < MOVE_DUE_S
    assert connect_s + response_s + retry_delay_s + LIST_TRANSFER_S < limit_s
    assert period_s < retry_schedule.MOVE_PERIOD_S, "an earlier timer fires while the watch itself retries"
    assert call_s >= discovery_connection.BODY_TIMEOUT_S, "a response that stops short ends no later"


def test_failures_that_nobody_asked_for_do_not_add_up_to_a_long_pause() -> None:
    harness = PolicyHarness(2, polls_discovery=True)
    for _ in range(100):
        timer = of_type(harness.handle(EndpointListUpdate(EndpointListKind.FAILED)), SetTimer)[0]
    assert isinstance(timer, SetTimer)
    assert harness.now < timer.at_ms <= harness.now + poll_backoff.MAX_BACKOFF_MS * MAX_DELAY_JITTER


async def test_connections_that_discovery_says_it_closes_are_closed() -> None:
    """It says `Connection: close` and does not close; each call left one connection behind."""
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
