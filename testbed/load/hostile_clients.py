"""Hostile clients: hundreds of connections that try to exhaust a balancer's memory or processor time.

They run in a child process, so that they do not delay the event loop of the honest clients.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, cast

from testbed.child_process import ChildProcess, run_child
from testbed.http.client import compose_request, request_ids
from testbed.measurement.resource_usage import LoopLagMonitor

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from multiprocessing.connection import Connection

    from loadbalancer.configuration import Address

HEAD_BYTES = 60_000
"""Size of a head with very many fields."""

BODY_BYTES = 64_000
"""Size of the body of a client that writes slowly."""

UNREAD_REQUESTS = 1_500
"""Requests that a client pipelines without reading a response."""

ABANDONED_BYTES = 400_000
"""Bytes of requests that a client sends before it closes its connection."""

FLOOD_BATCH_BYTES = 8_192
"""Minimum number of bytes that a flooding client writes at once."""

RECONNECT_DELAY_S = 0.2
SEND_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 5.0
WRITE_PAUSE_S = 0.02
SLOW_WRITE_BYTES = 4_096
READ_BYTES = 65_536
CLASS_NAME = "look-up"
KEYED_CLASS_NAME = "store"
DEADLINE_MS = 1_000.0


class HostileKind(Enum):
    """What a hostile client does on each of its connections."""

    PARTIAL_HEAD = "partial_head"
    """Send a head of very many short fields, and stop before its end."""
    WHOLE_HEAD = "whole_head"
    """Send valid requests whose heads have very many short fields."""
    SLOW_BODY = "slow_body"
    """Write a large body slowly, and stop before its end."""
    UNREAD_PIPELINE = "unread_pipeline"
    """Pipeline valid requests, and read no response."""
    HEALTH_CHECKS = "health_checks"
    """Pipeline health checks at full speed, and read the responses."""
    NEW_NAMES = "new_names"
    """Pipeline requests with hardly any time left at full speed, each with a new id and a new tenant."""
    UNKNOWN_PATHS = "unknown_paths"
    """Pipeline requests for paths that do not exist at full speed."""
    BYTE_CHUNKS = "byte_chunks"
    """Send requests whose bodies consist of chunks of one byte."""
    EMPTY_LINES = "empty_lines"
    """Send empty lines at full speed."""
    SEND_AND_LEAVE = "send_and_leave"
    """Pipeline valid requests, and close the connection without reading a response."""


@dataclass(frozen=True, slots=True)
class HostileReport:
    """What the hostile clients did, and how late their event loop was (seconds)."""

    connections: int
    max_lag_s: float


def _short_fields() -> bytes:
    """Return `HEAD_BYTES` of header fields of a few bytes each."""
    fields = itertools.count()
    text = bytearray()
    while len(text) < HEAD_BYTES:
        text += b"%x:1\r\n" % next(fields)
    return bytes(text)


SHORT_FIELDS = _short_fields()


def head_with_many_fields(request_id: str) -> bytes:
    """Return a valid head with the fields of `SHORT_FIELDS`, without the empty line."""
    return compose_request(CLASS_NAME, request_id, DEADLINE_MS).removesuffix(b"\r\n") + SHORT_FIELDS


def request_with_new_names(request_id: str) -> bytes:
    """Return a request with an id and a tenant that no other request has, and with hardly any time."""
    request = compose_request(CLASS_NAME, request_id, 0.001)
    return request.replace(b"\r\n\r\n", b"\r\nX-Tenant: t%b\r\n\r\n" % request_id.encode())


def request_with_byte_chunks(request_id: str) -> bytes:
    """Return a request whose body has chunks of one byte."""
    request = compose_request(KEYED_CLASS_NAME, request_id, DEADLINE_MS, key=request_id)
    request = request.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return request + b"1\r\nx\r\n" * 8_000 + b"0\r\n\r\n"


@dataclass
class HostileClient:
    """One hostile client, which connects again whenever its connection ends."""

    kind: HostileKind
    address: Address
    ids: Iterator[str]
    rng: random.Random
    connections: int = field(default=0, init=False)

    async def run(self) -> None:
        """Connect and act until cancelled."""
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.address)
                self.connections += 1
                try:
                    await self._act(reader, writer)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(RECONNECT_DELAY_S * (0.5 + self.rng.random()))

    async def _act(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        kind = self.kind
        if kind is HostileKind.PARTIAL_HEAD:
            writer.write(head_with_many_fields(next(self.ids)))
            await _read_to_end(reader)
        elif kind is HostileKind.SLOW_BODY:
            await self._write_body_slowly(reader, writer)
        elif kind is HostileKind.UNREAD_PIPELINE:
            writer.write(self._requests(UNREAD_REQUESTS))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.sleep(3600)
        elif kind is HostileKind.SEND_AND_LEAVE:
            writer.write(self._requests(ABANDONED_BYTES // len(self._requests(1))))
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await writer.drain()
                writer.close()
                await writer.wait_closed()
        else:
            await self._flood(reader, writer)

    async def _flood(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        reads = asyncio.ensure_future(_read_to_end(reader))
        compose = self._composer()
        try:
            while not reads.done():
                batch = bytearray()
                while len(batch) < FLOOD_BATCH_BYTES:
                    batch += compose(next(self.ids))
                writer.write(batch)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            reads.cancel()

    def _composer(self) -> Callable[[str], bytes]:
        return {
            HostileKind.WHOLE_HEAD: lambda request_id: head_with_many_fields(request_id) + b"\r\n",
            HostileKind.HEALTH_CHECKS: lambda _: b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n",
            HostileKind.NEW_NAMES: request_with_new_names,
            HostileKind.UNKNOWN_PATHS: lambda request_id: compose_request(request_id, request_id, 1.0),
            HostileKind.BYTE_CHUNKS: request_with_byte_chunks,
            HostileKind.EMPTY_LINES: lambda _: b"\r\n" * 100,
        }[self.kind]

    async def _write_body_slowly(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = compose_request(KEYED_CLASS_NAME, next(self.ids), DEADLINE_MS, "k", b"x" * (BODY_BYTES + 1))
        for start in range(0, len(request) - SLOW_WRITE_BYTES, SLOW_WRITE_BYTES):
            writer.write(request[start : start + SLOW_WRITE_BYTES])
            await asyncio.sleep(WRITE_PAUSE_S)
        await _read_to_end(reader)

    def _requests(self, count: int) -> bytes:
        template = compose_request(CLASS_NAME, "%s", DEADLINE_MS).decode()
        return "".join([template % request_id for request_id in itertools.islice(self.ids, count)]).encode()


async def _read_to_end(reader: asyncio.StreamReader) -> None:
    while await reader.read(READ_BYTES):
        pass


class HostileClientProcess:
    """Hostile clients in a child process; they connect as soon as the process has started."""

    def __init__(self, address: Address, kinds: list[HostileKind], count: int, seed: int) -> None:
        """Start the process; client number i is of kind `kinds[i % len(kinds)]`."""
        self._child = ChildProcess(_run, address, kinds, count, seed)
        self._child.receive()

    def stop(self) -> HostileReport:
        """Stop the clients and return what they did."""
        report = cast("HostileReport", self._child.request("report"))
        self._child.stop()
        return report


def _run(pipe: Connection, address: Address, kinds: list[HostileKind], count: int, seed: int) -> None:
    """Entry point of the child process."""
    run_child(_attack(pipe, address, kinds, count, seed))


async def _attack(
    pipe: Connection, address: Address, kinds: list[HostileKind], count: int, seed: int
) -> None:
    ids = request_ids(seed)
    clients = [
        HostileClient(kinds[i % len(kinds)], address, ids, random.Random(f"{seed}/{i}")) for i in range(count)
    ]
    lag = LoopLagMonitor(asyncio.get_running_loop())
    runs = [asyncio.ensure_future(client.run()) for client in clients]
    pipe.send("started")
    await _wait_until_readable(pipe)
    for run in runs:
        run.cancel()
    await asyncio.wait(runs, timeout=STOP_TIMEOUT_S)
    pipe.recv()
    lag.stop()
    pipe.send(HostileReport(sum(client.connections for client in clients), lag.take_lag().max_s))


async def _wait_until_readable(pipe: Connection) -> None:
    loop = asyncio.get_running_loop()
    readable = asyncio.Event()
    loop.add_reader(pipe.fileno(), readable.set)
    await readable.wait()
    loop.remove_reader(pipe.fileno())
