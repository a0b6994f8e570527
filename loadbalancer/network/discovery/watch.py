"""The watch on discovery's endpoint list, which keeps it current.

A watch is a chain of calls: each waits at discovery until the list changes or its wait is over.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
from collections.abc import Callable

from loadbalancer.configuration import Address, Configuration, EndpointList, read_endpoint_list
from loadbalancer.network.discovery.connection import DiscoveryConnection, DiscoveryStatusError

# The wait of one watch call; a change ends it at once.
# Guards against a watch that went silent without a sign of it, as one does that was open while discovery was
# cut off: until its wait is over, no endpoint's start or end is seen. Each call costs discovery work, though,
# and much shorter waits of many balancers would overload it.
WATCH_WAIT_MS = 10_000
# The same where lists are pushed: what a silent agent has is due 6 s after it has it.
PUSH_WATCH_WAIT_MS = 3_000
# The wait of the first watch call after a failed call: if it gets no response, that has to show soon.
RECOVERY_WAIT_MS = 1_500
# A watch call has failed this long after its wait: what it would have brought is due a second later.
WATCH_OVERDUE_S = 1.0
# The part by which waits differ, so that balancers that started together do not call together.
WAIT_JITTER = 0.2
# A call without a wait has failed after this long: after a move to another discovery, its list is due in 4 s.
RESPONSE_TIMEOUT_S = 2.5
# A host that is down does not respond: a wait that has not begun must not be waited out.
CONNECT_TIMEOUT_S = 1.0
# Where lists are pushed: the delay before a call after two or more failed ones in a row.
PUSH_RETRY_DELAY_S = 0.1
# After a move (SIGHUP), until the list of the new discovery is due.
MOVE_PERIOD_S = 4.0
# The mean delay between calls that fail in that time; the policy decides on all other delays.
MOVE_RETRY_DELAY_S = 0.5

_NO_INDEX = -1  # before the first list of a discovery


class EndpointWatch:
    """Watches the endpoint list from `start_watch` on, until a call fails.

    The policy decides when to start again, except after a move, and where lists are pushed.
    """

    def __init__(
        self,
        config: Configuration,
        on_update: Callable[[EndpointList], None],
        on_failed: Callable[[], None],
    ) -> None:
        """Prepares the watch; no call is made before `start` or `start_watch`.

        Args:
            config: Names discovery's address, and the list that is known already.
            on_update: Called for each list or change of it.
            on_failed: Called as the watch ends by a failed call.
        """
        self._on_update = on_update
        self._on_failed = on_failed
        self._address = config.discovery
        self._polls_discovery = config.settings.polls_discovery
        self._index = config.known_endpoints.index if config.known_endpoints.endpoints else _NO_INDEX
        self._random = random.Random(config.seed)
        self._task: asyncio.Task[None] | None = None
        self._connection: DiscoveryConnection | None = None
        self._consecutive_failures = 0
        self._moved_at_s = -math.inf

    @property
    def connection(self) -> DiscoveryConnection | None:
        """The connection of the latest call; None before the first one is established."""
        return self._connection

    def start(self) -> None:
        """Start the watch where lists are pushed: the policy does not ask for it there."""
        if not self._polls_discovery:
            self.start_watch()

    def start_watch(self) -> None:
        """Start the watch, unless it is running already."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._watch())

    def move_to(self, address: Address) -> None:
        """Turn to another discovery at once, and get its whole list: the old index means nothing there.

        Guards against a late list of the old discovery, and against a retry delay that was meant for it.
        """
        if self._task is not None:
            self._task.cancel()
        if self._connection is not None:
            self._connection.close()
        self._connection = None
        self._task = None
        self._address = address
        self._index = _NO_INDEX
        self._moved_at_s = asyncio.get_running_loop().time()
        self.start_watch()

    async def _watch(self) -> None:
        while True:
            started_at_s = asyncio.get_running_loop().time()
            try:
                endpoint_list = await self._fetch()
            except Exception:
                # Guards against a watch that ends unseen: whatever was wrong with a call, it has failed.
                retry_delay_s = self._record_failure(started_at_s)
                if retry_delay_s is None:
                    self._task = None
                    self._on_failed()
                    return
                await asyncio.sleep(retry_delay_s)
                continue
            self._consecutive_failures = 0
            self._index = endpoint_list.index
            self._on_update(endpoint_list)

    def _record_failure(self, started_at_s: float) -> float | None:
        """Count a failed call and close its connection.

        Args:
            started_at_s: When the call started, on the loop's clock.

        Returns:
            The delay before the next call in seconds; None if the policy is to decide when to call again.
        """
        self._consecutive_failures += 1
        if self._connection is not None:
            self._connection.close()
        if not self._polls_discovery:
            # The agent's list goes on being due meanwhile: one that breaks is no reason to wait.
            return PUSH_RETRY_DELAY_S if self._consecutive_failures > 1 else 0.0
        if started_at_s < self._moved_at_s + MOVE_PERIOD_S:
            # Guards against a delay by failures before the move, and against the policy's timer from before
            # it beside a new one, each with its own calls: that timer has fired by the end of this time.
            return MOVE_RETRY_DELAY_S * (0.5 + self._random.random())
        return None

    async def _fetch(self) -> EndpointList:
        """Make one call: at once for the whole list, or waiting for what changes after the known index."""
        path, timeout_s = "/v1/servers", RESPONSE_TIMEOUT_S
        if self._index >= 0:
            wait_s = self._choose_wait_s()
            path += f"?after={self._index}&wait_ms={wait_s * 1000:.0f}"
            timeout_s = wait_s + WATCH_OVERDUE_S
        host, port = self._address
        connection = await self._connect()
        request = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
        response = await connection.call(request, timeout_s)
        if response.status != 200:
            raise DiscoveryStatusError(response.status)
        return read_endpoint_list(json.loads(response.body))

    def _choose_wait_s(self) -> float:
        wait_ms = WATCH_WAIT_MS if self._polls_discovery else PUSH_WATCH_WAIT_MS
        if self._consecutive_failures:
            # Guards against a discovery that accepts calls and does not respond: a call that was sent just
            # before it recovered must not be waited for until its list is overdue.
            wait_ms = min(wait_ms, RECOVERY_WAIT_MS)
        return wait_ms / 1000 * (1 - WAIT_JITTER * self._random.random())

    async def _connect(self) -> DiscoveryConnection:
        """The connection that is up, or a new one."""
        if self._connection is not None and not self._connection.is_closed:
            return self._connection
        if self._connection is not None:
            # Guards against a discovery that says it ends the connection and leaves it open, on each call.
            self._connection.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, self._connection = await asyncio.get_running_loop().create_connection(
                DiscoveryConnection, *self._address
            )
        return self._connection
