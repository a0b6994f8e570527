"""Waiting for a condition, with a time limit and a message that says what did not happen."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import pytest

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

TEST_TIMEOUT_S = 10.0
"""Time limit of an asynchronous test; only a test that hangs comes near it."""

WAIT_TIMEOUT_S = 8.0
"""How long a condition may take: less than the time limit of a test, so that this message comes first."""

POLL_INTERVAL_S = 0.001
"""How long to sleep between two checks: short beside any timeout that a test sets."""


async def wait_until(
    condition: Callable[[], T | None],
    description: str,
    *,
    state: Callable[[], object] | None = None,
    timeout_s: float = WAIT_TIMEOUT_S,
    poll_interval_s: float = POLL_INTERVAL_S,
) -> T:
    """Wait until a condition holds, and fail the test if it does not in time.

    Args:
        condition: Checked at once and then after each poll interval, until its result is true.
        description: Completes the sentence "waited until ..." in the failure.
        state: Returns what the failure shows besides, as it is when the time is up.
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
