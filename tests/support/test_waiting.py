"""`wait_until`, and the event loop and time limit of asynchronous tests."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from tests.conftest import with_time_limit
from tests.support.waiting import wait_until


async def test_asynchronous_tests_run_on_uvloop() -> None:
    assert isinstance(asyncio.get_running_loop(), uvloop.Loop)


async def test_first_truthy_result_is_returned() -> None:
    results = iter([0, None, 7, 8])
    assert await wait_until(lambda: next(results), "a number is returned") == 7


async def test_true_condition_returns_without_waiting() -> None:
    loop = asyncio.get_running_loop()
    iterations = list[str]()
    loop.call_soon(iterations.append, "an iteration")
    await wait_until(lambda: True, "the condition is true", timeout_s=0.0)
    assert not iterations, "the event loop ran before the result was returned"


async def test_failure_contains_description_and_state() -> None:
    with pytest.raises(
        pytest.fail.Exception, match=r"waited 0\.01 s until a client connects; state: \['s0'\]"
    ):
        await wait_until(lambda: False, "a client connects", state=lambda: ["s0"], timeout_s=0.01)


async def test_hanging_test_fails_at_time_limit() -> None:
    async def hang() -> None:
        await asyncio.Event().wait()

    with pytest.raises(TimeoutError):
        await with_time_limit(hang, timeout_s=0.01)()
