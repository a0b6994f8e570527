"""Hollow balancers: many in a process, each with the real policy and the real watch, but without clients.

They run the program's own proxy: list events reach the policy, and its actions are carried out, as in a real
balancer. The pools of connections to upstreams are kept and stay empty, since no request comes.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from loadbalancer.configuration import Configuration, EndpointList
from loadbalancer.events import EndpointListKind
from loadbalancer.network.proxy import Proxy

OnForce = Callable[[int, float], None]
"""Takes the version of a list that is in force, and since when in seconds of the monotonic clock."""


class Hollow(Proxy):
    """A balancer without callers; `on_force(index, at)` hears of each list once the module has taken it in.

    `at` is in seconds of the system's monotonic clock, which all processes share.
    """

    def __init__(self, config: Configuration, loop: asyncio.AbstractEventLoop, on_force: OnForce) -> None:
        super().__init__(config, loop)
        self._on_force = on_force
        self.listener._listener.close()  # bound and not listening yet: nobody is to call

    def start(self) -> None:
        """Tell what was known and begin the watch, as a real balancer does."""
        self._update_endpoints(EndpointListKind.CACHED, self._known)
        self._discovery.start()
        self._sweep()

    def _update_endpoints(self, kind: EndpointListKind, news: EndpointList) -> None:
        super()._update_endpoints(kind, news)
        self._on_force(news.index, time.monotonic())
