"""A simulated clock, and a function that sends one request, for the tests of the load and the upstreams."""

from __future__ import annotations

import asyncio

from testbed.http.client import Client, compose_request, request_ids

REQUEST_IDS = request_ids(1)


class SteppingClock:
    """A clock that advances by the duration of each sleep, and by `step_s` on each reading.

    The first sleep takes `stall_s` longer.
    """

    def __init__(self, step_s: float = 0.0, stall_s: float = 0.0) -> None:
        self.now, self._step_s, self._stall_s = 0.0, step_s, stall_s

    def __call__(self) -> float:
        self.now += self._step_s
        return self.now

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(0)  # lets the event loop run the callbacks that are ready
        self.now += max(seconds, 1e-4) + self._stall_s
        self._stall_s = 0.0


async def send_request(client: Client, deadline_ms: float = 5_000.0, key: str = "") -> int:
    request = compose_request("read", next(REQUEST_IDS), deadline_ms, key)
    response = await client.send(request, deadline_ms / 1000)
    return response.status
