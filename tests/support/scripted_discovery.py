"""A discovery that responds by a script."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from tests.support.http_messages import read_message, response
from tests.support.sockets import socket_address


class DiscoveryServer:
    """A discovery that answers each call by the next queued response, and waits for one as a watch does.

    Attributes:
        responses: The responses to come, as bytes.
        calls: The request lines of the calls that have come.
        connection_closed: Set when a connection has ended.
        writers: The sending side of each connection.
    """

    def __init__(self) -> None:
        self.responses: asyncio.Queue[bytes] = asyncio.Queue()
        self.calls: asyncio.Queue[str] = asyncio.Queue()
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
        """Serve one connection."""
        self.writers.append(writer)
        try:
            while True:
                call = await read_message(reader)
                self.calls.put_nowait(call.start_line)
                reply = asyncio.ensure_future(self.responses.get())
                # The balancer sends nothing before it has the response: reading ends only by a disconnect.
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

    def publish(self, index: int, *entries: dict[str, Any], snapshot: bool = False) -> None:
        """Respond to the next call by an endpoint list, or by a change of it."""
        self.responses.put_nowait(list_response(index, *entries, snapshot=snapshot))


def list_response(
    index: int, *entries: dict[str, Any], snapshot: bool = False, indent: int | None = None
) -> bytes:
    """Return a response of discovery with an endpoint list, or with a change of it."""
    document = {"index": index, "snapshot": snapshot, "endpoints": entries}
    return response(200, json.dumps(document, indent=indent).encode())
