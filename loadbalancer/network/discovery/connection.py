"""An HTTP connection to discovery, and the errors that its requests can raise."""

from __future__ import annotations

import asyncio
from typing import cast

from loadbalancer.errors import LoadBalancerError
from loadbalancer.network.errors import ProtocolError
from loadbalancer.network.response_parser import Response, ResponseParser

BODY_TIMEOUT_S = 0.5
"""Time limit from the first byte of a response to its last.

Detects a truncated response long before the request times out: the timeout of a watch request also includes
the time for which discovery waits for a change.
"""

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
        self._parser = ResponseParser(MAX_RESPONSE_BYTES, requires_length=True)
        self._response: asyncio.Future[Response] | None = None
        self._timeout: asyncio.Timeout | None = None  # set until the response begins

    @property
    def is_receiving(self) -> bool:
        """Whether a response has begun and is not complete."""
        return self._response is not None and not self._response.done() and self._timeout is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Parse the next bytes of the response; bytes that no request asked for end the connection."""
        if self._response is None or self._response.done():
            self.close()
            return
        try:
            response = self._parser.feed(data)
        except ProtocolError as error:
            self._fail(DiscoveryProtocolError(error))
            self.close()
            return
        if response is None:
            self._start_body_timeout()
            return
        self.is_closed = self.is_closed or not self._parser.may_reuse
        self._response.set_result(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress, if there is one."""
        self.is_closed = True
        self._fail(exc or DiscoveryDisconnectedError())

    async def send_request(self, request: bytes, timeout_s: float) -> Response:
        """Send a request and return its response.

        Args:
            request: The bytes of the request.
            timeout_s: The time limit of the request. The response also has to be complete within
                `BODY_TIMEOUT_S` of its first byte.

        Raises:
            DiscoveryError: The connection ended, or carried bytes that are not a valid response.
            OSError: The connection broke.
            TimeoutError: The response was not complete in time.
        """
        if self._transport is None or self.is_closed:
            raise DiscoveryDisconnectedError
        self._response = asyncio.get_running_loop().create_future()
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

    def _start_body_timeout(self) -> None:
        """Shorten the timeout of the request when the first bytes of its response arrive."""
        if self._timeout is None:
            return
        timeout, self._timeout = self._timeout, None
        request_timeout_at = timeout.when()
        body_timeout_at = asyncio.get_running_loop().time() + BODY_TIMEOUT_S
        timeout.reschedule(
            body_timeout_at if request_timeout_at is None else min(request_timeout_at, body_timeout_at)
        )

    def _fail(self, error: Exception) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)
