"""What the socket tests share: scripted upstreams, a scripted discovery and a client, all on loopback."""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import uvloop

from loadbalancer.actions import Action
from loadbalancer.events import Event
from loadbalancer.network.proxy import Proxy
from tests.support.configurations import config_text, configuration, entry
from tests.support.waiting import wait_until

__all__ = [
    "TIMEOUT_S",
    "Client",
    "DiscoveryServer",
    "ReceivedMessage",
    "Rig",
    "Script",
    "Upstream",
    "config_text",
    "entry",
    "free_port",
    "list_response",
    "never_respond",
    "read_message",
    "record_events",
    "reset",
    "response",
    "run",
    "status",
]

T = TypeVar("T")
TIMEOUT_S = 10.0  # for what must happen; reached only when a test fails
_REQUEST_NUMBERS = itertools.count(1)  # an id is new with every request
Script = Callable[["ReceivedMessage", asyncio.StreamWriter], Awaitable[None]]
"""Responds to a request, or does not."""


class ReceivedMessage:
    """A request as an upstream received it, or a response as a client did."""

    def __init__(self, head: bytes, body: bytes) -> None:
        self.line, *rest = head.decode("latin-1").split("\r\n")
        self.headers = {n.lower(): v for n, _, v in (line.partition(": ") for line in rest if line)}
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> ReceivedMessage:
    """Read one whole message."""
    head = await reader.readuntil(b"\r\n\r\n")
    message = ReceivedMessage(head[:-4], b"")
    message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


def response(status: int = 200, body: bytes = b"tile", *headers: str) -> bytes:
    """The bytes of a response; headers are whole lines."""
    lines = [f"HTTP/1.1 {status} Any", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Upstream:
    """A server that responds to its nth request by the nth script, and to all later ones by the last.

    Attributes:
        received: The requests that it received.
        connections: How many connections it accepted.
        writers: The sending side of each of them.
        seen: Set with the first request.
        connection_closed: Set when the balancer has ended a connection.
    """

    def __init__(self, *scripts: Script | bytes) -> None:
        self._scripts = scripts or (response(),)
        self.received: list[ReceivedMessage] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.seen = asyncio.Event()
        self.connection_closed = asyncio.Event()

    async def start(self) -> str:
        """Listen; the result is the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return _address(self.server)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                request = await read_message(reader)
                script = self._scripts[min(len(self.received), len(self._scripts) - 1)]
                self.received.append(request)
                self.seen.set()
                if isinstance(script, bytes):
                    writer.write(script)
                else:
                    await script(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.connection_closed.set()
            writer.close()


async def never_respond(request: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
    """Never respond."""


async def reset(request: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
    """Reset the connection instead of a response."""
    writer.transport.abort()


class DiscoveryServer:
    """Discovery: each call gets the next response put in; with none there it waits, as a watch does.

    Attributes:
        responses: The responses to come, as bytes.
        calls: The request lines of the calls that have come.
        connection_closed: Set when a connection has ended.
    """

    def __init__(self) -> None:
        self.responses: asyncio.Queue[bytes] = asyncio.Queue()
        self.calls: asyncio.Queue[str] = asyncio.Queue()
        self.connection_closed = asyncio.Event()

    async def start(self) -> str:
        """Listen; the result is the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return _address(self.server)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while True:
                call = await read_message(reader)
                self.calls.put_nowait(call.line)
                reply = asyncio.ensure_future(self.responses.get())
                # The balancer sends nothing before it has the response: what can be read is the end.
                end = asyncio.ensure_future(reader.read(1))
                await asyncio.wait((reply, end), return_when=asyncio.FIRST_COMPLETED)
                if end.done():
                    reply.cancel()
                    break
                end.cancel()
                await asyncio.wait((end,))
                writer.write(reply.result())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.connection_closed.set()
        writer.close()

    def publish(self, index: int, *entries: dict[str, Any], snapshot: bool = False) -> None:
        """Respond to the next call by an endpoint list, or a change of it."""
        self.responses.put_nowait(list_response(index, *entries, snapshot=snapshot))


def _address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def list_response(
    index: int, *entries: dict[str, Any], snapshot: bool = False, indent: int | None = None
) -> bytes:
    """A response of discovery with an endpoint list, or a change of it."""
    document = {"index": index, "snapshot": snapshot, "endpoints": entries}
    return response(200, json.dumps(document, indent=indent).encode())


def record_events(proxy: Proxy) -> list[Event]:
    """A list to which each event is added that the policy gets from now on."""
    events: list[Event] = []
    handle = proxy.balancer.handle

    def record(event: Event, now: float) -> list[Action]:
        events.append(event)
        return handle(event, now)

    proxy.balancer.handle = record  # type: ignore[method-assign]
    return events


class Rig:
    """A proxy in this process, with its upstreams and discovery.

    Settings replace the defaults of `config_text`.
    """

    def __init__(self, *upstreams: Upstream, **settings: Any) -> None:
        self.upstreams, self._settings = upstreams, settings
        self.discovery = DiscoveryServer()
        self.entries: list[dict[str, Any]] = []
        self.proxy: Proxy

    async def __aenter__(self) -> Rig:
        for i, upstream in enumerate(self.upstreams):
            self.entries.append(entry(f"s{i}", await upstream.start()))
        text = config_text(await self.discovery.start(), self.entries, **self._settings)
        self.proxy = Proxy(configuration(text), asyncio.get_running_loop())
        self.proxy.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        return

    async def client(self) -> Client:
        """A client that has connected."""
        client = Client()
        client.reader, client.writer = await asyncio.open_connection(*self.proxy.listener.address[:2])
        return client

    async def send_request(self, *args: Any, **more: Any) -> ReceivedMessage:
        """The response to a request on a connection of its own; the arguments are those of `Client.send`."""
        client = await self.client()
        client.send(*args, **more)
        reply = await client.read_response()
        client.writer.close()
        return reply


def _connect_if_accepted(port: int) -> socket.socket | None:
    try:
        client = socket.create_connection(("127.0.0.1", port))
    except ConnectionRefusedError:
        return None
    client.setblocking(False)
    return client


def free_port() -> int:
    """A port of 127.0.0.1 that is free at this moment, for a program that is configured with its address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Client:
    """A client on one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def of_program(cls, port: int) -> Client:
        """Connect to a program that was started just now, as soon as it listens."""
        connected = await wait_until(
            lambda: _connect_if_accepted(port), "the program accepts connections", poll_interval_s=0.01
        )
        client = cls()
        client.reader, client.writer = await asyncio.open_connection(sock=connected)
        return client

    def send(
        self,
        path: str = "/read/x?y=1",
        body: bytes = b"",
        deadline: str = "4000m",
        **headers: str,
    ) -> None:
        """Send a request: POST if it has a body, else GET.

        Args:
            path: Its target; the first part is its class.
            body: Its body.
            deadline: Its X-Deadline.
            headers: Further headers, or other values for the default ones; an empty one is left out.
        """
        method = "POST" if body else "GET"
        named = {
            "x-request-id": f"{next(_REQUEST_NUMBERS):08x}",
            "x-class": path[1:].partition("/")[0],
            "x-deadline": deadline,
        }
        named |= {n.replace("_", "-"): v for n, v in headers.items()}
        lines = [f"{method} {path} HTTP/1.1", "Host: h", *[f"{n}: {v}" for n, v in named.items() if v]]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def read_response(self) -> ReceivedMessage:
        """Read the next response."""
        return await read_message(self.reader)


def run(scenario: Coroutine[Any, Any, T]) -> T:
    """Run a scenario on the event loop that the program uses, for `TIMEOUT_S` at most."""

    async def bounded() -> T:
        return await asyncio.wait_for(scenario, TIMEOUT_S)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())


def status(reply: ReceivedMessage) -> int:
    """The status of a response."""
    return int(reply.line.split(" ")[1])
