"""Runs a coroutine on the event loop that the program uses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import uvloop

from tests.support.waiting import TEST_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


def run(scenario: Coroutine[Any, Any, T]) -> T:
    """Run a scenario on the event loop that the program uses, for `TEST_TIMEOUT_S` at most."""

    async def bounded() -> T:
        return await asyncio.wait_for(scenario, TEST_TIMEOUT_S)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())
