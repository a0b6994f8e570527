"""Groups of stub upstreams, each on its own loopback address, in this process or in a child process."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, cast

from testbed.child_process import ChildProcess, run_child, serve_pipe
from testbed.settings import loopback_host
from testbed.upstream.behaviour import Behaviour, UpstreamCounts
from testbed.upstream.upstream import Upstream

if TYPE_CHECKING:
    from multiprocessing.connection import Connection

    from loadbalancer.configuration import Address
    from testbed.http.client import Clock

DEFAULT_SECOND_OCTET = 72
"""By default, upstreams listen on the hosts from 127.72.0.1 upwards."""


class UpstreamGroup:
    """Stub upstreams in this process, whose random numbers are derived from one seed.

    Attributes:
        upstreams: The upstreams in the order of their start.
    """

    def __init__(self, seed: int, clock: Clock = time.perf_counter) -> None:
        self._seed = seed
        self._clock = clock
        self.upstreams: list[Upstream] = []

    async def start(self, count: int, second_octet: int = DEFAULT_SECOND_OCTET) -> list[Upstream]:
        """Start and return `count` more upstreams, each on its own host from 127.`second_octet`.0.1 on."""
        first_number = len(self.upstreams)
        for number in range(first_number, first_number + count):
            rng = random.Random(f"{self._seed}/{number}")
            upstream = Upstream(loopback_host(number, second_octet), rng, self._clock)
            await upstream.listen()
            self.upstreams.append(upstream)
        return self.upstreams[first_number:]

    def counts(self) -> UpstreamCounts:
        """Return the sum of the upstreams' counts."""
        total = UpstreamCounts()
        for upstream in self.upstreams:
            total += upstream.counts
        return total

    def close(self) -> None:
        """Close all upstreams."""
        for upstream in self.upstreams:
            upstream.close()


class UpstreamProcess:
    """Stub upstreams in a child process, so that they do not delay the event loop that sends the load.

    Attributes:
        pid: The child's process id.
        addresses: Where the upstreams listen.
    """

    def __init__(
        self, count: int, service_ms: float, seed: int, second_octet: int = DEFAULT_SECOND_OCTET
    ) -> None:
        self._child = ChildProcess(_run, count, service_ms, seed, second_octet)
        self.pid = self._child.pid
        self.addresses: list[Address] = self._child.receive()

    def counts(self) -> UpstreamCounts:
        """Return the sum of the upstreams' counts."""
        return cast("UpstreamCounts", self._child.request("counts"))

    def stop(self) -> None:
        """Stop the process."""
        self._child.stop()


def _run(pipe: Connection, count: int, service_ms: float, seed: int, second_octet: int) -> None:
    """Entry point of the child process."""
    run_child(_serve(pipe, count, service_ms, seed, second_octet))


async def _serve(pipe: Connection, count: int, service_ms: float, seed: int, second_octet: int) -> None:
    group = UpstreamGroup(seed)
    for upstream in await group.start(count, second_octet):
        upstream.behaviour = Behaviour(service_ms=service_ms)
    pipe.send([upstream.address for upstream in group.upstreams])
    await serve_pipe(pipe, group.counts)
    group.close()
