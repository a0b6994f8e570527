"""A discovery service with scripted responses."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from tests.support.http_messages import read_message, response
from tests.support.sockets import socket_address


class DiscoveryServer:
    """A discovery service that responds to each request with the next queued response, once there is one.

    Attributes:
        responses: The queued responses, encoded.
        requests: The request lines of the received requests.
        connection_closed: Set once a connection has been closed.
        writers: The writer of each connection.
    """

    def __init__(self) -> None:
        self.responses: asyncio.Queue[bytes] = asyncio.Queue()
        self.requests: asyncio.Queue[str] = asyncio.Queue()
        self.connection_closed = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return socket_address(self.server)

    def stop(self) -> None:
        """Stop listening, and close the connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection."""
        self.writers.append(writer)
        try:
            while True:
                request = await read_message(reader)
                self.requests.put_nowait(request.start_line)
                reply = asyncio.ensure_future(self.responses.get())
                # The balancer sends nothing while it waits for the response: only a disconnect ends the read.
                disconnect = asyncio.ensure_future(reader.read(1))
                await asyncio.wait((reply, disconnect), return_when=asyncio.FIRST_COMPLETED)
                if disconnect.done():
                    reply.cancel()
                    break
                disconnect.cancel()
                await asyncio.wait((disconnect,))
                writer.write(reply.result())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.connection_closed.set()
        writer.close()

    def publish(self, version: int, *entries: dict[str, Any], snapshot: bool = False) -> None:
        """Queue a response with an endpoint list, or with changes to it."""
        self.responses.put_nowait(list_response(version, *entries, snapshot=snapshot))


def list_response(
    version: int, *entries: dict[str, Any], snapshot: bool = False, indent: int | None = None
) -> bytes:
    """Return an encoded response with an endpoint list, or with changes to it."""
    document = {"index": version, "snapshot": snapshot, "endpoints": entries}
    return response(200, json.dumps(document, indent=indent).encode())
