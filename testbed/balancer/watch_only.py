"""Watch-only balancers: the real proxy with its policy and endpoint watch, but without clients.

A watch-only balancer does the same control-plane work as a real one, and many fit into one process. Its
connection pools exist and stay empty, since no request arrives.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from loadbalancer.network.proxy import Proxy

if TYPE_CHECKING:
    import asyncio

    from loadbalancer.configuration import Configuration, EndpointList

OnListApplied = Callable[[int, float], None]
"""Called with the version of an applied list and the time, in seconds of the monotonic clock."""


class WatchOnlyBalancer:
    """A balancer without clients.

    `on_list_applied(version, at_s)` is called once the policy has applied a list.

    Attributes:
        proxy: The same proxy that a real balancer uses.
    """

    def __init__(
        self, configuration: Configuration, loop: asyncio.AbstractEventLoop, on_list_applied: OnListApplied
    ) -> None:
        self.proxy = Proxy(configuration, loop, self._report_applied)
        self._on_list_applied = on_list_applied
        self.proxy.listener.close()  # closed before it listens, so that no client can connect

    def start(self) -> None:
        """Apply the cached endpoint list and start the watch, as a real balancer does."""
        self.proxy.start(accepts_clients=False)

    def _report_applied(self, endpoint_list: EndpointList) -> None:
        self._on_list_applied(endpoint_list.version, time.monotonic())
