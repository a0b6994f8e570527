"""An upstream with scripted responses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tests.support.http_messages import ReceivedMessage, read_message, response
from tests.support.sockets import socket_address

# Responds to a request, or leaves it without a response.
Script = Callable[["ReceivedMessage", asyncio.StreamWriter], Awaitable[None]]


class Upstream:
    """A server that handles the nth request with the nth script, or with the last one if there is no nth.

    Attributes:
        received: The received requests.
        connection_count: The number of accepted connections.
        writers: The writer of each connection.
        request_received: Set when a request is received.
        connection_closed: Set once the balancer has closed a connection.
    """

    def __init__(self, *scripts: Script | bytes) -> None:
        self._scripts = scripts or (response(),)
        self.received: list[ReceivedMessage] = []
        self.connection_count = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.request_received = asyncio.Event()
        self.connection_closed = asyncio.Event()

    async def start(self) -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return socket_address(self.server)

    def stop(self) -> None:
        """Stop listening, and close the connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self.writers.append(writer)
        try:
            while True:
                request = await read_message(reader)
                script = self._scripts[min(len(self.received), len(self._scripts) - 1)]
                self.received.append(request)
                self.request_received.set()
                if isinstance(script, bytes):
                    writer.write(script)
                else:
                    await script(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.connection_closed.set()
            writer.close()


async def never_respond(request: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
    """Leave the request without a response."""


async def reset_connection(request: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
    """Reset the connection instead of responding."""
    writer.transport.abort()
