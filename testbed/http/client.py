"""An HTTP/1.1 client for one address, for requests in the format of the PROTOCOL page."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

import httptools

from testbed.errors import NotConnectedError, TestbedError

if TYPE_CHECKING:
    from loadbalancer.configuration import Address

Clock = Callable[[], float]
"""Returns the time in seconds."""

NO_RESPONSE = 0
"""The status of a request without a response: it timed out, or the connection was lost."""

_FIRST_FINAL_STATUS = 200


class ConnectionLostError(TestbedError, ConnectionResetError):
    """A connection ended before the response to its request was complete."""

    def __init__(self) -> None:
        super().__init__("connection lost before the response was complete")


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response, and when its last byte was received, in seconds of the client's clock."""

    status: int
    body: bytes
    received_at: float


def request_ids(seed: int) -> Iterator[str]:
    """Yield unique ids of 16 hex digits in the format of the PROTOCOL page."""
    prefix = random.Random(seed).getrandbits(32)
    number = 0
    while True:
        yield f"{prefix:08x}{number:08x}"
        number += 1


def compose_request(
    class_name: str, request_id: str, deadline_ms: float, key: str = "", body: bytes = b""
) -> bytes:
    """Return a request in the format of the PROTOCOL page.

    Its method is POST if it has an idempotency key or a body, else GET.
    """
    has_body = bool(key or body)
    lines = [
        f"{'POST' if has_body else 'GET'} /{class_name}/x HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {request_id}",
        f"X-Class: {class_name}",
        f"X-Deadline: {max(round(deadline_ms * 1000), 1)}u",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if has_body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class _ClientConnection(asyncio.Protocol):
    """One connection of a client, with at most one open request.

    Attributes:
        has_received_data: Whether any byte has been received since the last request was sent.
        is_closed: Whether the connection has ended.
        may_reuse: Whether the connection can carry another request.
    """

    def __init__(self, on_closed: Callable[[_ClientConnection], None], clock: Clock) -> None:
        self._on_closed = on_closed
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._response_future: asyncio.Future[HttpResponse] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self.has_received_data = False
        self.is_closed = False
        self.may_reuse = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.Transport", transport)

    def on_body(self, data: bytes) -> None:
        self._body.append(data)

    def on_message_begin(self) -> None:
        self._body = []
        if not self._has_open_request():
            self.close()  # a second response, which would be taken for that of the next request

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS or self._response_future is None or self.is_closed:
            return
        self.may_reuse = self._parser.should_keep_alive()
        self._response_future.set_result(HttpResponse(status, b"".join(self._body), self._clock()))

    def data_received(self, data: bytes) -> None:
        if not self._has_open_request():
            self.close()
            return
        self.has_received_data = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        self.is_closed = True
        self._on_closed(self)
        if self._response_future is not None and not self._response_future.done():
            self._response_future.set_exception(ConnectionLostError())

    async def send(self, request: bytes) -> HttpResponse:
        if self._transport is None:
            raise NotConnectedError
        self._response_future = asyncio.get_running_loop().create_future()
        self.has_received_data = False
        self._transport.write(request)
        return await self._response_future

    def _has_open_request(self) -> bool:
        return self._response_future is not None and not self._response_future.done()

    def close(self) -> None:
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()


class Client:
    """A client for one address. It reuses idle connections, and opens another one if all are busy.

    Attributes:
        opened_connections: The number of connections that have been opened so far.
    """

    def __init__(self, address: Address, clock: Clock = time.perf_counter) -> None:
        self._address = address
        self._clock = clock
        self._idle: list[_ClientConnection] = []
        self.opened_connections = 0

    async def send(self, request: bytes, timeout_s: float) -> HttpResponse:
        """Send a request and wait for the response.

        If a reused connection fails before any byte of the response has arrived, the request is resent once
        on a new connection, since the peer may have closed the idle one. If a request times out or is
        cancelled, its connection is closed.

        Returns:
            The response; its status is `NO_RESPONSE` if none was received.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._send(request)
        except OSError:  # includes TimeoutError
            return HttpResponse(NO_RESPONSE, b"", self._clock())

    async def _send(self, request: bytes) -> HttpResponse:
        if self._idle:
            connection = self._idle.pop()
            with suppress(ConnectionError):
                return await self._send_on(connection, request)
            if connection.has_received_data:
                raise ConnectionLostError
        return await self._send_on(await self._open(), request)

    async def _open(self) -> _ClientConnection:
        self.opened_connections += 1
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: _ClientConnection(self._remove_idle, self._clock), *self._address
        )
        return connection

    async def _send_on(self, connection: _ClientConnection, request: bytes) -> HttpResponse:
        try:
            response = await connection.send(request)
        except BaseException:
            connection.close()
            raise
        if connection.may_reuse and not connection.is_closed:
            self._idle.append(connection)
        else:
            connection.close()
        return response

    def _remove_idle(self, connection: _ClientConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle[:]:
            connection.close()
        self._idle.clear()
