"""What the tests of the testbed's stand-ins share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from testbed.settings import EndpointEntry, endpoint_entry


async def until(true: Callable[[], object]) -> None:
    """Let the loop run until something is true; `run` bounds it."""
    while not true():
        await asyncio.sleep(0)


def three() -> list[EndpointEntry]:
    return [endpoint_entry(f"s{i}", f"127.0.0.1:{5000 + i}") for i in range(3)]
