"""Serialization of responses to clients."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.network.headers import Headers

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


def serialize_response(status: int, headers: Headers, body: bytes, *, closes_connection: bool) -> bytes:
    """Return the bytes of a complete HTTP/1.1 response.

    Args:
        status: The status code.
        headers: The headers besides Content-Length and Connection.
        body: The body.
        closes_connection: Whether to announce that the connection closes after the response.
    """
    reason_phrase = _REASON_PHRASES.get(status, b"")
    parts = [b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (status, reason_phrase, len(body))]
    parts.extend([b"%b: %b\r\n" % pair for pair in headers])
    parts.append(b"Connection: close\r\n\r\n" if closes_connection else b"\r\n")
    parts.append(body)
    return b"".join(parts)
