"""An HTTP client for the tests of the balancer."""

from __future__ import annotations

import asyncio
import itertools

from tests.support.http_messages import ReceivedMessage, read_message, status
from tests.support.sockets import connect_if_listening
from tests.support.waiting import wait_until

# The source of request ids: each request takes the next number.
_REQUEST_NUMBERS = itertools.count(1)


class Client:
    """An HTTP client with one connection to a balancer."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def connect_to_program(cls, port: int) -> Client:
        """Connect to a program that is starting, as soon as it listens."""
        connected_socket = await wait_until(
            lambda: connect_if_listening(port), "the program accepts connections", poll_interval_s=0.01
        )
        client = cls()
        client.reader, client.writer = await asyncio.open_connection(sock=connected_socket)
        return client

    def send(
        self,
        path: str = "/read/x?y=1",
        body: bytes = b"",
        deadline: str = "4000m",
        **headers: str,
    ) -> None:
        """Send a request: POST if it has a body, otherwise GET.

        Args:
            path: The request target; its first segment is the class.
            body: The body.
            deadline: The value of X-Deadline.
            headers: Further headers, or other values for the default ones; an empty value omits the header.
        """
        method = "POST" if body else "GET"
        all_headers = {
            "x-request-id": f"{next(_REQUEST_NUMBERS):08x}",
            "x-class": path[1:].partition("/")[0],
            "x-deadline": deadline,
        }
        all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: h",
            *[f"{name}: {value}" for name, value in all_headers.items() if value],
        ]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def read_response(self) -> ReceivedMessage:
        """Read the next response."""
        return await read_message(self.reader)

    async def read_statuses(self, count: int) -> list[int]:
        """Read the next responses, and return their status codes."""
        return [status(await self.read_response()) for _ in range(count)]
