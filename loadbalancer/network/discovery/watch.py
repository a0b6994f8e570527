"""Watches the endpoint list of discovery by long polling.

The watch sends one HTTP request after another. Until a list from the current discovery service is known, it
requests the complete list, which discovery returns immediately. After that it sends watch requests, which
state the version of the known list and a wait time: discovery responds when the list changes, or when the
wait time has passed. A list in the configuration counts as a list from the first discovery service.
"""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

from loadbalancer.network.discovery.connection import DiscoveryConnection, DiscoveryStatusError
from loadbalancer.network.discovery.list_reader import EndpointListReader
from loadbalancer.network.discovery.retry_schedule import RetrySchedule

if TYPE_CHECKING:
    from collections.abc import Callable

    from loadbalancer.configuration import Address, Configuration, EndpointList

WATCH_TIMEOUT_MARGIN_S = 1.0
"""Time by which the timeout of a watch request exceeds its wait time.

After the timeout, the list that the request should have returned must be received within one second.
"""

RESPONSE_TIMEOUT_S = 2.5
"""Timeout of a request for the complete list, which discovery returns immediately.

After a switch to another discovery service, the list of that service must be received within 4 s.
"""

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout; shorter than the timeout of a request.

An attempt to connect to a host that is down may end only after this time.
"""

_NO_VERSION = -1  # until a list from the discovery service is known


class EndpointWatch:
    """Watches the endpoint list of discovery.

    Once started, the watch sends the next request after each response. After a failed request, the retry
    schedule decides whether the watch sends a retry or ends; `start_watch` restarts a watch that has ended.
    """

    def __init__(
        self,
        configuration: Configuration,
        on_update: Callable[[EndpointList], None],
        on_failed: Callable[[], None],
    ) -> None:
        """Prepare the watch; no request is sent before `start_if_lists_are_pushed` or `start_watch`.

        Args:
            configuration: Contains the address of discovery, and the endpoint list that is known at startup.
            on_update: Called with the list in each response: a snapshot or a delta.
            on_failed: Called when the watch has ended because a request failed.
        """
        self._on_update = on_update
        self._on_failed = on_failed
        self._address = configuration.discovery
        self._polls_discovery = configuration.settings.polls_discovery
        self._version = (
            configuration.known_endpoints.version if configuration.known_endpoints.endpoints else _NO_VERSION
        )
        self._reader = EndpointListReader(configuration.known_endpoints)
        self._schedule = RetrySchedule(
            random.Random(configuration.seed).random, polls_discovery=self._polls_discovery
        )
        self._task: asyncio.Task[None] | None = None
        self._connection: DiscoveryConnection | None = None
        self._consecutive_failures = 0
        self._switched_at_s = -math.inf

    @property
    def connection(self) -> DiscoveryConnection | None:
        """The last connection to the current discovery service; None if none has been established."""
        return self._connection

    def start_if_lists_are_pushed(self) -> None:
        """Start the watch if lists are pushed; otherwise the policy starts it (`WatchEndpoints`)."""
        if not self._polls_discovery:
            self.start_watch()

    def start_watch(self) -> None:
        """Start the watch, unless it is running already."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._watch())

    def switch_to(self, address: Address) -> None:
        """Switch to another discovery service immediately.

        The list versions of the old service have no meaning for the new one, so the first request to the new
        one asks for the complete list. The watch is restarted, so that a list that still arrives from the old
        service is ignored, and a pending retry delay is cancelled.
        """
        if self._task is not None:
            self._task.cancel()
        if self._connection is not None:
            self._connection.close()
        self._connection = None
        self._task = None
        self._address = address
        self._version = _NO_VERSION
        self._switched_at_s = asyncio.get_running_loop().time()
        self.start_watch()

    async def _watch(self) -> None:
        while True:
            started_at_s = asyncio.get_running_loop().time()
            try:
                endpoint_list = await self._fetch()
            except Exception:  # noqa: BLE001  a request may raise any exception
                # Any exception counts as a failed request: the watch must not end unnoticed.
                retry_delay_s = self._record_failure(started_at_s)
                if retry_delay_s is None:
                    self._task = None
                    self._on_failed()
                    return
                await asyncio.sleep(retry_delay_s)
                continue
            self._consecutive_failures = 0
            self._version = endpoint_list.version
            self._on_update(endpoint_list)

    def _record_failure(self, started_at_s: float) -> float | None:
        """Count a failed request and close its connection.

        Args:
            started_at_s: When the request started, on the event loop's clock.

        Returns:
            The delay in seconds before the retry; None if the policy decides when to retry.
        """
        self._consecutive_failures += 1
        if self._connection is not None:
            self._connection.close()
        return self._schedule.retry_delay_s(self._consecutive_failures, started_at_s, self._switched_at_s)

    async def _fetch(self) -> EndpointList:
        """Request the complete list, or the entries that changed after the known version."""
        path, timeout_s = "/v1/servers", RESPONSE_TIMEOUT_S
        if self._version >= 0:
            wait_s = self._schedule.watch_wait_s(self._consecutive_failures)
            path += f"?after={self._version}&wait_ms={wait_s * 1000:.0f}"
            timeout_s = wait_s + WATCH_TIMEOUT_MARGIN_S
        host, port = self._address
        connection = await self._connect()
        request = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
        response = await connection.send_request(request, timeout_s)
        if response.status != 200:
            raise DiscoveryStatusError(response.status)
        return self._reader.read(response.body)

    async def _connect(self) -> DiscoveryConnection:
        """Return the open connection, or open one."""
        if self._connection is not None and not self._connection.is_closed:
            return self._connection
        if self._connection is not None:
            # Discovery may announce in each response that it closes the connection, but leave it open; such
            # connections must not accumulate.
            self._connection.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, self._connection = await asyncio.get_running_loop().create_connection(
                DiscoveryConnection, *self._address
            )
        return self._connection
