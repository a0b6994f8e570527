"""Hollow upstreams: servers in the form of the PROTOCOL page that do no work, each at a loopback address.

They answer, fail and fall silent as told, count what came, and may call a next tier as servers of chains do.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import random
import socket
import struct
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import asdict, dataclass
from enum import Enum
from multiprocessing.connection import Connection
from typing import cast

import httptools
import uvloop

from loadbalancer.configuration import Address
from testbed.load import Client, Clock, compose
from testbed.settings import loopback_host

HOSTS = 72
"""Upstreams listen on 127.72.x.y and on."""
_BACKLOG = 512
_REASONS = {200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}
_NOT_RUN = ("X-Not-Run: 1",)
_LINGER_NONE = struct.pack("ii", 1, 0)
_UNIT_MS = {"m": 1.0, "u": 0.001}


class Way(Enum):
    """How an upstream meets requests."""

    SERVE = "serve"
    """200 and a body once the service time is over, or once the next tier has served."""
    FAIL = "fail"
    """500 once the service time is over."""
    TURN_AWAY = "turn away"
    """503 with `X-Not-Run: 1` at once, and 503 to probes."""
    HANG = "hang"
    """Nothing, to probes too."""
    RESET = "reset"
    """The connection breaks after the request's last byte."""
    REFUSE = "refuse"
    """Nobody listens, and what was open is reset."""


@dataclass(frozen=True, slots=True)
class Behaviour:
    """A way, and the part (0 to 1) of the requests it applies to; the others are served."""

    way: Way = Way.SERVE
    part: float = 1.0
    service_ms: float = 0.0


@dataclass(slots=True)
class Counts:
    """What came to an upstream and what became of it, since it began."""

    connections: int = 0
    asked: int = 0
    """Requests whose last byte came, probes left out."""
    served: int = 0
    failed: int = 0
    turned_away: int = 0
    hung: int = 0
    reset: int = 0
    given_up: int = 0
    """Requests whose connection their caller ended before the answer, hung ones too."""
    overlapping: int = 0
    """Requests on a connection that had one already; the protocol allows none."""
    probes: int = 0


@dataclass(frozen=True, slots=True)
class Asked:
    """A request as an upstream saw it; `arrived` is in seconds of the upstreams' clock."""

    class_name: str
    request_id: str
    deadline_ms: float
    key: str
    body: bytes
    arrived: float


Calls = Callable[[Asked, float], Awaitable[int]]
"""Calls the next tier for a request with the time in milliseconds that remains; the status that came back."""


def next_tier(client: Client, ids: Iterator[str]) -> Calls:
    """Calls through an upstream's own balancer: a new request with a new id and the time that remains."""

    async def call(asked: Asked, left_ms: float) -> int:
        request = compose(asked.class_name, next(ids), left_ms, asked.key, asked.body)
        return (await client.call(request, left_ms / 1000)).status

    return call


def read_deadline_ms(text: str) -> float:
    """`X-Deadline`, a number and a unit, in milliseconds; 0 where it is missing."""
    return float(text[:-1]) * _UNIT_MS[text[-1]] if text else 0.0


class _Connection(asyncio.Protocol):
    """One connection of a balancer, with one request at a time."""

    def __init__(self, upstream: Upstream) -> None:
        self._upstream = upstream
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._ended_here = False
        self.on_message_begin()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._upstream.connections.add(self)
        self._upstream.counts.connections += 1

    def on_message_begin(self) -> None:
        self._target, self._body = b"", b""
        self._headers: dict[str, str] = {}

    def on_url(self, part: bytes) -> None:
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        upstream, named = self._upstream, self._headers
        if self._target == b"/healthz":
            upstream.counts.probes += 1
            self._health(upstream.behaviour.way)
        elif "x-request-id" not in named:
            self.answer(404)
        elif self._task is not None:
            upstream.counts.overlapping += 1
            self.reset()
        else:
            asked = Asked(
                named.get("x-class", ""),
                named["x-request-id"],
                read_deadline_ms(named.get("x-deadline", "")),
                named.get("idempotency-key", ""),
                self._body,
                upstream.clock(),
            )
            self._task = asyncio.ensure_future(upstream.meet(asked, self))
            self._task.add_done_callback(self._met)

    def _met(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not task.cancelled() and (error := task.exception()) is not None:
            raise error

    def _health(self, way: Way) -> None:
        if way is Way.RESET:
            self.reset()
        elif way is not Way.HANG:
            self.answer(503 if way is Way.TURN_AWAY else 200)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        self._upstream.connections.discard(self)
        if self._task is not None:
            self._upstream.counts.given_up += not self._ended_here
            self._task.cancel()

    def answer(self, status: int, body: bytes = b"", headers: tuple[str, ...] = ()) -> None:
        """Answer the request that is open."""
        assert self._transport is not None
        lines = [f"HTTP/1.1 {status} {_REASONS[status]}", f"Content-Length: {len(body)}", *headers]
        self._transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def reset(self) -> None:
        """Break the connection as a process does that dies."""
        assert self._transport is not None
        self._ended_here = True
        wrapped = self._transport.get_extra_info("socket")
        wrapped.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
        self._transport.abort()


class Upstream:
    """One hollow upstream."""

    def __init__(self, host: str, chance: random.Random, clock: Clock) -> None:
        self._listener: asyncio.Server | None = None
        self._chance = chance
        self.address: Address = (host, 0)
        self.clock = clock
        self.behaviour = Behaviour()
        self.calls: Calls | None = None
        self.seen: Callable[[Asked], None] | None = None
        """Told of each request as it comes."""
        self.counts = Counts()
        self.connections: set[_Connection] = set()

    async def act(self, behaviour: Behaviour) -> None:
        """Meet requests that way from now on; one that refused listens again at the same address."""
        self.behaviour = behaviour
        if behaviour.way is Way.REFUSE:
            self.close()
        elif self._listener is None:
            await self.listen()

    async def listen(self) -> None:
        """Listen; the port is the system's choice the first time."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        self.address = listener.getsockname()
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: _Connection(self), sock=listener, backlog=_BACKLOG)

    def close(self) -> None:
        """Listen no more, and reset what is open."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.reset()

    async def meet(self, asked: Asked, connection: _Connection) -> None:
        """Do with a request what the behaviour says."""
        counts, behaviour = self.counts, self.behaviour
        counts.asked += 1
        if self.seen is not None:
            self.seen(asked)
        way = behaviour.way
        if behaviour.part < 1 and self._chance.random() >= behaviour.part:
            way = Way.SERVE
        if way is Way.TURN_AWAY:
            counts.turned_away += 1
            connection.answer(503, headers=_NOT_RUN)
            return
        if way is Way.RESET:
            counts.reset += 1
            connection.reset()
            return
        if way is Way.HANG:
            counts.hung += 1
            await asyncio.get_running_loop().create_future()  # until its caller gives up
        if behaviour.service_ms > 0:
            await asyncio.sleep(behaviour.service_ms / 1000)
        if way is Way.SERVE and self.calls is not None:
            left_ms = asked.deadline_ms - (self.clock() - asked.arrived) * 1000
            if left_ms <= 0 or await self.calls(asked, left_ms) != 200:
                way = Way.FAIL
        if way is Way.SERVE:
            counts.served += 1
            connection.answer(200, b"served")
        else:
            counts.failed += 1
            connection.answer(500)


class UpstreamPools:
    """Many hollow upstreams in this process, all random numbers from one seed."""

    def __init__(self, seed: int, clock: Clock = time.perf_counter) -> None:
        self._seed, self._clock = seed, clock
        self.all: list[Upstream] = []

    async def start(self, count: int, hosts: int = HOSTS) -> list[Upstream]:
        """Start `count` more that serve, on hosts of their own from 127.`hosts`.0.1 on."""
        first = len(self.all)
        for number in range(first, first + count):
            upstream = Upstream(
                loopback_host(number, hosts), random.Random(f"{self._seed}/{number}"), self._clock
            )
            await upstream.listen()
            self.all.append(upstream)
        return self.all[first:]

    def total(self) -> Counts:
        """The counts of all of them, added up."""
        sums = Counts()
        for upstream in self.all:
            for name, value in asdict(upstream.counts).items():
                setattr(sums, name, getattr(sums, name) + value)
        return sums

    def close(self) -> None:
        """Close all of them."""
        for upstream in self.all:
            upstream.close()


class UpstreamsApart:
    """Hollow upstreams in a process of their own, so that they take no time from the load's loop."""

    def __init__(self, count: int, service_ms: float, seed: int, hosts: int = HOSTS) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, theirs = context.Pipe()
        args = (count, service_ms, seed, hosts, theirs)
        self._process = context.Process(target=_serve_apart, args=args, daemon=True)
        self._process.start()
        theirs.close()
        self.pid = self._process.pid
        self.addresses: list[Address] = self._pipe.recv()

    def counts(self) -> Counts:
        """The counts of all of them, added up."""
        self._pipe.send("counts")
        return cast(Counts, self._pipe.recv())

    def stop(self) -> None:
        """End the process, by its id if it doesn't end by itself."""
        self._pipe.close()
        self._process.join(5.0)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()


def _serve_apart(count: int, service_ms: float, seed: int, hosts: int, pipe: Connection) -> None:
    async def serve() -> None:
        upstreams = UpstreamPools(seed)
        for upstream in await upstreams.start(count, hosts):
            upstream.behaviour = Behaviour(service_ms=service_ms)
        pipe.send([upstream.address for upstream in upstreams.all])
        done = asyncio.Event()

        def told() -> None:
            try:
                pipe.recv()
                pipe.send(upstreams.total())
            except (EOFError, OSError):
                done.set()

        asyncio.get_running_loop().add_reader(pipe.fileno(), told)
        await done.wait()
        asyncio.get_running_loop().remove_reader(pipe.fileno())
        upstreams.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())
