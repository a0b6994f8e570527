"""Writes responses to one client connection, and closes it after the last one."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loadbalancer.network.client import timeouts
from loadbalancer.network.counters import CloseReason

if TYPE_CHECKING:
    from loadbalancer.network.client.context import ConnectionContext
    from loadbalancer.network.client.requests.rejection import Rejection
    from loadbalancer.network.client.transport import ClientTransport
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
    505: b"HTTP Version Not Supported",
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


class ResponseWriter:
    """Writes the responses of one connection.

    Attributes:
        idle_since: When the last response was written, or when the client connected if there has been none
            (seconds of the monotonic clock).
    """

    __slots__ = ("_context", "_transport", "idle_since")

    def __init__(self, context: ConnectionContext, transport: ClientTransport, connected_at: float) -> None:
        self._context = context
        self._transport = transport
        self.idle_since = connected_at

    def write(self, status: int, headers: Headers, body: bytes, *, is_final: bool, count: int = 1) -> None:
        """Write a response; close the connection after it if it is the final one.

        Args:
            status: The status code.
            headers: The headers besides Content-Length and Connection.
            body: The body.
            is_final: Whether the connection is closed after the response.
            count: The number of requests in a row that get the same response.
        """
        self.idle_since = time.monotonic()
        self._context.counters.responses[status] += count
        self._transport.write(serialize_response(status, headers, body, closes_connection=is_final) * count)
        if is_final:
            is_shutdown = self._context.closes_connections
            reason = CloseReason.SHUTDOWN if is_shutdown else CloseReason.FINAL_RESPONSE
            self._transport.close_gracefully(reason, timeouts.LINGER_TIMEOUT_S)

    def write_rejection(self, rejection: Rejection, *, is_final: bool, count: int = 1) -> None:
        """Write the response to requests that are not accepted."""
        body = rejection.reason.encode() + b"\n"
        self.write(rejection.status, [], body, is_final=is_final, count=count)
