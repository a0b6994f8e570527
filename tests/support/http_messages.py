"""Reading and formatting of HTTP messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


class ReceivedMessage:
    """A request received by an upstream, or a response received by a client."""

    def __init__(self, head: bytes, body: bytes) -> None:
        self.start_line, *rest = head.decode("latin-1").split("\r\n")
        self.headers = {
            name.lower(): value for name, _, value in (line.partition(": ") for line in rest if line)
        }
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> ReceivedMessage:
    """Read one complete message."""
    head = await reader.readuntil(b"\r\n\r\n")
    message = ReceivedMessage(head[:-4], b"")
    message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


def response(status: int = 200, body: bytes = b"tile", *headers: str) -> bytes:
    """Return an encoded response; each header is a complete line."""
    lines = [f"HTTP/1.1 {status} Any", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def status(reply: ReceivedMessage) -> int:
    """Return the status code of a response."""
    return int(reply.start_line.split(" ")[1])
