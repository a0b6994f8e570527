"""Waits for a condition, with a time limit and a failure message that describes the condition."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import pytest

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

# Time limit of an asynchronous test; only a test that hangs reaches it.
TEST_TIMEOUT_S = 10.0

# Time limit of `wait_until`: shorter than that of a test, so that the failure describes the condition.
WAIT_TIMEOUT_S = 8.0

# Sleep between two checks: short compared to any timeout that a test sets.
POLL_INTERVAL_S = 0.001


async def wait_until(
    condition: Callable[[], T | None],
    description: str,
    *,
    state: Callable[[], object] | None = None,
    timeout_s: float = WAIT_TIMEOUT_S,
    poll_interval_s: float = POLL_INTERVAL_S,
) -> T:
    """Wait until a condition is true, and fail the test if the time limit passes first.

    Args:
        condition: Called at once and then after each poll interval, until its result is true.
        description: The end of the sentence "waited until ..." in the failure message.
        state: Returns an object that is added to the failure message.
        timeout_s: The time limit, on the clock of the running event loop.
        poll_interval_s: The sleep between two checks; 0 checks in each iteration of the event loop.

    Returns:
        The first true result of the condition.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not (result := condition()):
        if loop.time() >= deadline:
            state_text = "" if state is None else f"; state: {state()!r}"
            pytest.fail(f"waited {timeout_s:g} s until {description}{state_text}")
        await asyncio.sleep(poll_interval_s)
    return result
