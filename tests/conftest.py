"""The event loop and the time limit of asynchronous tests."""

from __future__ import annotations

import asyncio
import functools
import inspect
from typing import TYPE_CHECKING

import pytest
import uvloop

from tests.support.waiting import TEST_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping


def pytest_asyncio_loop_factories() -> Mapping[str, Callable[[], asyncio.AbstractEventLoop]]:
    """Run asynchronous tests on the event loop that the program uses."""
    return {"uvloop": uvloop.new_event_loop}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Apply a time limit to each asynchronous test.

    pytest-timeout cannot replace this: its signal method does not interrupt uvloop while the loop waits, and
    its thread method ends the complete test run.
    """
    for item in items:
        if isinstance(item, pytest.Function) and inspect.iscoroutinefunction(item.obj):
            item.obj = with_time_limit(item.obj)


def with_time_limit(
    test: Callable[..., Awaitable[None]], timeout_s: float = TEST_TIMEOUT_S
) -> Callable[..., Awaitable[None]]:
    """Return a test that fails with `TimeoutError` once the time limit has passed."""

    @functools.wraps(test)
    async def limited_test(*args: object, **kwargs: object) -> None:
        async with asyncio.timeout(timeout_s):
            await test(*args, **kwargs)

    return limited_test
