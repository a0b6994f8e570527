"""An HTTP connection to discovery, and the errors that its requests can raise."""

from __future__ import annotations

import asyncio
from typing import cast

from loadbalancer.errors import LoadBalancerError
from loadbalancer.network.errors import ProtocolError
from loadbalancer.network.response_parser import Response, ResponseParser

STALL_TIMEOUT_S = 0.5
"""Time limit from one byte of a response to the next.

Detects a truncated response long before the request times out: the timeout of a watch request also includes
the time for which discovery waits for a change.
"""

BODY_TIMEOUT_S = 5.0
"""Time limit from the first byte of a response to its last; a change must be received within 6 s."""

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Maximum size of a response; an endpoint list of 7,000 entries has 930 kB."""


class DiscoveryError(LoadBalancerError):
    """A request to discovery has failed."""


class DiscoveryProtocolError(DiscoveryError):
    """Discovery sent bytes that are not an HTTP response, or a response that exceeds the size limits.

    Attributes:
        cause: The violation of the protocol.
    """

    def __init__(self, cause: ProtocolError) -> None:
        super().__init__(f"invalid response from discovery: {cause!r}")
        self.cause = cause


class DiscoveryStatusError(DiscoveryError):
    """Discovery responded with a status other than 200.

    Attributes:
        status: The status of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"discovery responded with status {status}")
        self.status = status


class DiscoveryDisconnectedError(DiscoveryError):
    """The connection was not established, or ended before the response was complete."""

    def __init__(self) -> None:
        super().__init__("not connected to discovery")


class DiscoveryConnection(asyncio.Protocol):
    """One connection to discovery; it carries one request at a time.

    Attributes:
        is_closed: Whether the connection has ended, or must not be reused for another request.
    """

    def __init__(self) -> None:
        self.is_closed = False
        self._transport: asyncio.Transport | None = None
        self._parser = ResponseParser(MAX_RESPONSE_BYTES)
        self._response: asyncio.Future[Response] | None = None
        self._timeout: asyncio.Timeout | None = None
        self._began_at: float | None = None  # when the response began, on the clock of the event loop

    @property
    def is_receiving(self) -> bool:
        """Whether a response has begun and is not complete."""
        return self._has_open_request() and self._began_at is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Parse the next bytes of the response; bytes without a request end the connection."""
        if not self._has_open_request():
            self.close()
            return
        try:
            response = self._parser.feed(data)
        except ProtocolError as error:
            self._fail(DiscoveryProtocolError(error))
            self.close()
            return
        if response is None:
            self._extend_timeout()
            return
        self.is_closed = self.is_closed or not self._parser.may_reuse
        self._complete(response)

    def eof_received(self) -> None:
        """Take a response without a length as complete: the orderly end of the connection ends it."""
        self.is_closed = True
        response = self._parser.finish()
        if response is not None:
            self._complete(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress, if there is one."""
        self.is_closed = True
        self._fail(exc or DiscoveryDisconnectedError())

    async def send_request(self, request: bytes, timeout_s: float) -> Response:
        """Send a request and return its response.

        Args:
            request: The bytes of the request.
            timeout_s: The time limit until the response begins. Each byte of it then has to arrive within
                `STALL_TIMEOUT_S` of the one before, and the last one within `BODY_TIMEOUT_S` of the first.

        Raises:
            DiscoveryError: The connection ended, or carried bytes that are not a valid response.
            OSError: The connection broke.
            TimeoutError: The response was not complete in time.
        """
        if self._transport is None or self.is_closed:
            raise DiscoveryDisconnectedError
        self._response = asyncio.get_running_loop().create_future()
        self._began_at = None
        self._transport.write(request)
        try:
            async with asyncio.timeout(timeout_s) as self._timeout:
                return await self._response
        finally:
            self._timeout = None

    def close(self) -> None:
        """Close the connection immediately."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def _extend_timeout(self) -> None:
        """Replace the timeout of the request when bytes of its response arrive."""
        now = asyncio.get_running_loop().time()
        if self._began_at is None:
            self._began_at = now
        if self._timeout is not None:
            self._timeout.reschedule(min(now + STALL_TIMEOUT_S, self._began_at + BODY_TIMEOUT_S))

    def _has_open_request(self) -> bool:
        return self._response is not None and not self._response.done()

    def _complete(self, response: Response) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_result(response)

    def _fail(self, error: Exception) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)
