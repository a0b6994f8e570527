"""Each turn of the event loop is shared between the connections that have work to do."""

from __future__ import annotations

import asyncio
import time

from loadbalancer.network.turn_scheduler import SHARES_PER_TURN, TurnScheduler
from tests.support.waiting import wait_until


class CountingWorker:
    """A worker with a number of shares of work, which it records in a common list."""

    def __init__(self, name: str, share_count: int, record: list[str]) -> None:
        self.name = name
        self.remaining = share_count
        self.record = record

    def run_share(self) -> bool:
        self.remaining -= 1
        self.record.append(self.name)
        return self.remaining > 0


class FailingWorker:
    def run_share(self) -> bool:
        raise ValueError


async def test_worker_with_backlog_waits_for_workers_without_one() -> None:
    turns, record = TurnScheduler(asyncio.get_running_loop()), list[str]()
    turns.request_share(CountingWorker("flood", 1_000, record))
    assert record == ["flood"]
    for number in range(SHARES_PER_TURN):
        turns.request_share(CountingWorker(f"w{number}", 1, record))
    await asyncio.sleep(0)
    assert {f"w{number}" for number in range(SHARES_PER_TURN)} <= set(record)
    assert record.count("flood") <= 2


async def test_shares_of_a_turn_are_limited() -> None:
    turns, record = TurnScheduler(asyncio.get_running_loop()), list[str]()
    for number in range(10 * SHARES_PER_TURN):
        turns.request_share(CountingWorker(f"w{number}", 1, record))
    assert len(record) == SHARES_PER_TURN
    while len(record) < 10 * SHARES_PER_TURN:
        before = len(record)
        await asyncio.sleep(0)
        assert before < len(record) <= before + SHARES_PER_TURN
    assert len(set(record)) == 10 * SHARES_PER_TURN


async def test_failure_of_one_worker_does_not_stop_the_others() -> None:
    loop = asyncio.get_running_loop()
    errors = list[object]()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    turns, record = TurnScheduler(loop), list[str]()
    for number in range(SHARES_PER_TURN):
        turns.request_share(CountingWorker(f"w{number}", 2, record))
    turns.request_share(FailingWorker())
    turns.request_share(CountingWorker("last", 1, record))
    await wait_until(lambda: "last" in record, "the last worker has run", poll_interval_s=0)
    assert len(errors) == 1


class SlowWorker(CountingWorker):
    """A worker whose share takes longer than the resolution of the loop's clock."""

    def run_share(self) -> bool:
        ends_at = time.monotonic() + 0.002
        while time.monotonic() < ends_at:
            pass
        return super().run_share()


async def test_limit_applies_when_the_clock_moves() -> None:
    """Guards against each reading of a clock that moves within an iteration being taken for a new turn."""
    turns, record = TurnScheduler(asyncio.get_running_loop()), list[str]()
    for number in range(3 * SHARES_PER_TURN):
        turns.request_share(SlowWorker(f"w{number}", 1, record))
    assert len(record) == SHARES_PER_TURN


async def test_limit_applies_to_each_iteration() -> None:
    """A worker that requests once in each iteration gets its share at once, also after many iterations."""
    turns, record = TurnScheduler(asyncio.get_running_loop()), list[str]()
    for number in range(5 * SHARES_PER_TURN):
        turns.request_share(CountingWorker(f"w{number}", 1, record))
        assert len(record) == number + 1
        await asyncio.sleep(0)
