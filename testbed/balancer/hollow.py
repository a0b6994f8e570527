"""Hollow balancers: the real proxy with its policy and endpoint watch, but without clients.

A hollow balancer costs as much control work as a real one and opens no connection to an upstream. The pools
of connections to upstreams are there and stay empty.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from loadbalancer.configuration import Configuration, EndpointList
from loadbalancer.network.proxy import Proxy

OnForce = Callable[[int, float], None]
"""Takes the version of a list that is in force, and since when in seconds of the monotonic clock."""


class Hollow:
    """A balancer without clients; `on_force(index, at)` is called once the policy has applied a list."""

    def __init__(self, config: Configuration, loop: asyncio.AbstractEventLoop, on_force: OnForce) -> None:
        self.proxy = Proxy(config, loop, self._report)
        self._on_force = on_force
        self.proxy.listener.close()  # bound and not listening yet: no client is to connect

    def start(self) -> None:
        """Apply the cached endpoint list and begin the watch, as a real balancer does."""
        self.proxy.start(accepts_clients=False)

    def _report(self, endpoint_list: EndpointList) -> None:
        self._on_force(endpoint_list.index, time.monotonic())
