"""Open-loop load: calls leave at times drawn beforehand from the seed, whatever the answers do.

A call's latency runs from the time at which it was due, so that a server which stalls is charged with every
call that waited for it (no coordinated omission). A load that was late itself says so.
"""

from __future__ import annotations

import asyncio
import ctypes
import heapq
import os
import random
import struct
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import closing, suppress
from dataclasses import dataclass, field
from typing import NamedTuple, cast

import httptools

from loadbalancer.configuration import Address
from testbed.latency import Latencies

Clock = Callable[[], float]

NO_ANSWER = 0
"""The status of a call that got none: its time passed, or the connection broke."""
_LIBC = ctypes.CDLL(None, use_errno=True)
_NOT_BLOCKING = os.O_NONBLOCK | os.O_CLOEXEC
_EARLY_S = 0.0002
"""A core that slept takes up to that long to wake: the timer rings sooner by it, the clock tells the rest."""


class Answer(NamedTuple):
    """What came back, and when its last byte did (seconds of the client's clock)."""

    status: int
    body: bytes
    at: float


def request_ids(seed: int) -> Iterator[str]:
    """Ids of 16 hex digits that never repeat, as the PROTOCOL page shows them."""
    first = random.Random(seed).getrandbits(32)
    number = 0
    while True:
        yield f"{first:08x}{number:08x}"
        number += 1


def compose(class_name: str, request_id: str, deadline_ms: float, key: str = "", body: bytes = b"") -> bytes:
    """A call in the form of the PROTOCOL page: POST where it has a key or a body, else GET."""
    lines = [
        f"{'POST' if key or body else 'GET'} /{class_name}/x HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {request_id}",
        f"X-Class: {class_name}",
        f"X-Deadline: {max(round(deadline_ms * 1000), 1)}u",
    ]
    lines += [f"Idempotency-Key: {key}"] if key else []
    lines += [f"Content-Length: {len(body)}"] if key or body else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class _Link(asyncio.Protocol):
    """One connection of a client, with one call at a time."""

    def __init__(self, forget: Callable[[_Link], None], clock: Clock) -> None:
        self._forget, self._clock = forget, clock
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[Answer] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self.heard = self.closed = False
        self.may_reuse = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def on_body(self, data: bytes) -> None:
        self._body.append(data)

    def on_message_complete(self) -> None:
        self.may_reuse = self._parser.should_keep_alive()
        answer = Answer(self._parser.get_status_code(), b"".join(self._body), self._clock())
        self._body = []
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(answer)

    def data_received(self, data: bytes) -> None:
        self.heard = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._forget(self)
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(ConnectionResetError("the connection ended"))

    async def call(self, request: bytes) -> Answer:
        assert self._transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self.heard = False
        self._transport.write(request)
        return await self._answer

    def close(self) -> None:
        self.closed = True
        if self._transport is not None:
            self._transport.abort()


class Client:
    """A caller of one address: it keeps its connections and opens more when all are busy (PROTOCOL page)."""

    def __init__(self, address: Address, clock: Clock = time.perf_counter) -> None:
        self._address, self._clock = address, clock
        self._idle: list[_Link] = []
        self.opened = 0

    async def call(self, request: bytes, timeout_s: float) -> Answer:
        """One call; a status of NO_ANSWER where the time passed or the connection broke.

        A call that crossed the close of a kept connection is sent once more, on a new one. A caller that
        gives up (by time or cancelled) closes its connection.
        """
        try:
            async with asyncio.timeout(timeout_s):
                if self._idle:
                    link = self._idle.pop()
                    with suppress(ConnectionError):
                        return await self._on(link, request)
                    if link.heard:
                        raise ConnectionResetError("broke within the answer")
                return await self._on(await self._open(), request)
        except OSError:  # TimeoutError is one
            return Answer(NO_ANSWER, b"", self._clock())

    async def _open(self) -> _Link:
        self.opened += 1
        loop = asyncio.get_running_loop()
        _, link = await loop.create_connection(lambda: _Link(self._forget, self._clock), *self._address)
        return link

    async def _on(self, link: _Link, request: bytes) -> Answer:
        try:
            answer = await link.call(request)
        except BaseException:
            link.close()
            raise
        if link.may_reuse and not link.closed:
            self._idle.append(link)
        else:
            link.close()
        return answer

    def _forget(self, link: _Link) -> None:
        if link in self._idle:
            self._idle.remove(link)

    def close(self) -> None:
        """Close the connections that are kept."""
        for link in self._idle[:]:
            link.close()
        self._idle.clear()


def arrivals(per_s: float, seconds: float, chance: random.Random) -> list[float]:
    """Times of independent arrivals (exponential gaps) in seconds from the start, ascending."""
    times: list[float] = []
    at = chance.expovariate(per_s)
    while at < seconds:
        times.append(at)
        at += chance.expovariate(per_s)
    return times


@dataclass(slots=True)
class Stream:
    """Calls of one kind: each goes to one of `clients`, drawn from the seed."""

    name: str
    clients: Sequence[Client]
    per_s: float
    class_name: str
    deadline_ms: float


@dataclass(slots=True)
class Report:
    """What became of a stream's calls."""

    sends: int = 0
    opened: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    unserved: list[float] = field(default_factory=list)
    """When the calls were due that were not answered 200, in seconds from the start, as they ended."""
    served: Latencies = field(default_factory=Latencies)
    """From due to the last byte of the answer, of calls answered 200."""
    lateness: Latencies = field(default_factory=Latencies)
    """From due to the send."""

    def doubts(self, name: str, late_ms: float) -> list[str]:
        """Why the stream's figures say nothing: more than 1 send in 100 was late by over `late_ms`."""
        late = self.lateness.quantile_ms(0.99) if self.sends else 0.0
        return [f"{name}: 1 send in 100 was {late:.3f} ms late or more"] if late > late_ms else []


class Alarm:
    """Sleeps on a timer of the kernel: an event loop's own are right to a millisecond only.

    Watching the clock for longer would keep a core busy, on which those that a send wakes then wait for it.
    """

    def __init__(self) -> None:
        self._file = _LIBC.timerfd_create(time.CLOCK_MONOTONIC, _NOT_BLOCKING)
        if self._file < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create")
        self._rings = asyncio.Event()
        asyncio.get_running_loop().add_reader(self._file, self._ring)

    def _ring(self) -> None:
        os.read(self._file, 8)
        self._rings.set()

    async def sleep(self, seconds: float) -> None:
        """Return after so long, or after one turn of the loop if that is 0 or less."""
        until = time.perf_counter() + seconds
        whole, part = divmod(max(round((seconds - _EARLY_S) * 1e9), 0), 1_000_000_000)
        if whole or part:  # else it would never ring
            self._rings.clear()
            if _LIBC.timerfd_settime(self._file, 0, struct.pack("qqqq", 0, 0, whole, part), None) < 0:
                raise OSError(ctypes.get_errno(), "timerfd_settime")
            await self._rings.wait()
        await asyncio.sleep(0)
        while time.perf_counter() < until:
            await asyncio.sleep(0)

    def close(self) -> None:
        """Give the timer back."""
        asyncio.get_running_loop().remove_reader(self._file)
        os.close(self._file)


async def play(
    streams: Sequence[Stream],
    seconds: float,
    seed: int,
    clock: Clock = time.perf_counter,
    sleep: Callable[[float], Awaitable[None]] | None = None,
) -> dict[str, Report]:
    """Play the streams side by side for some seconds and wait for the last answers; a report for each.

    `clock` (seconds) has to be that of the streams' clients; `sleep` waits on it, unless given by an Alarm.
    """
    reports = {stream.name: Report(opened=-sum(c.opened for c in stream.clients)) for stream in streams}
    ids = request_ids(seed)
    plans = []
    for number, stream in enumerate(streams):
        chance = random.Random(f"{seed}/{stream.name}")
        times = arrivals(stream.per_s, seconds, chance)
        plans.append([(at, number, chance.randrange(len(stream.clients))) for at in times])
    begun = clock()
    open_calls: set[asyncio.Task[None]] = set()

    async def one(stream: Stream, client: Client, due: float) -> None:
        report, sent = reports[stream.name], clock()
        report.lateness.record(sent - due)
        report.sends += 1
        request = compose(stream.class_name, next(ids), stream.deadline_ms)
        answer = await client.call(request, stream.deadline_ms / 1000)
        report.statuses[answer.status] += 1
        if answer.status == 200:
            report.served.record(answer.at - due)
        else:
            report.unserved.append(due - begun)

    with closing(Alarm()) as alarm:
        for at, number, choice in heapq.merge(*plans):
            due = begun + at
            while (left := due - clock()) > 0:
                await (sleep or alarm.sleep)(left)
            task = asyncio.ensure_future(one(streams[number], streams[number].clients[choice], due))
            open_calls.add(task)
            task.add_done_callback(open_calls.discard)
    if open_calls:
        await asyncio.wait(open_calls)
    for stream in streams:
        reports[stream.name].opened += sum(client.opened for client in stream.clients)
    return reports
