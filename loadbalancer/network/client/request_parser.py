"""Sans-I/O parser of a client's requests: assembles complete requests from the callbacks of httptools."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import httptools

from loadbalancer.errors import InvalidStateError
from loadbalancer.network.client.incoming_request import IncomingRequest
from loadbalancer.network.client.rejection import Rejection, RequestRejectedError
from loadbalancer.network.client.request_head import RequestHead, read_request_head
from loadbalancer.network.headers import MAX_BODY_BYTES, MAX_HEAD_BYTES, Headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from loadbalancer.network.client.request_arrival import RequestArrival
    from loadbalancer.settings import RequestClass

MALFORMED_REQUEST = Rejection(400, "malformed request")
HEAD_TOO_LARGE = Rejection(431, "headers too large")
BODY_TOO_LARGE = Rejection(413, "body too large")


class ParserClosedError(InvalidStateError):
    """Bytes were passed to a parser that is closed."""


class RequestParser:
    """Parses the bytes of one connection into requests.

    The `on_...` methods are callbacks; only httptools calls them.
    """

    def __init__(
        self,
        classes: dict[str, RequestClass],
        arrival: RequestArrival,
        on_request: Callable[[IncomingRequest], None],
    ) -> None:
        """Create a parser.

        Args:
            classes: The request classes of the settings, by name.
            arrival: Notified when a request begins and when it is complete.
            on_request: Called with each complete request.
        """
        self._classes = classes
        self._arrival = arrival
        self._on_request = on_request
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: Headers = []
        self._head: RequestHead | None = None  # of a request whose body is not complete yet
        self._body_parts: list[bytes] = []
        self._body_bytes = 0

    @property
    def partial_body_bytes(self) -> int:
        """Number of body bytes received for the incomplete request; 0 if there is none."""
        return self._body_bytes if self._head is not None else 0

    def feed(self, data: bytes) -> Rejection | None:
        """Parse bytes; `on_request` is called for each request that they complete.

        Returns:
            The rejection of the current request if it is not acceptable; nothing may be parsed after it.
        """
        try:
            self._require_parser().feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # An exception that a callback raised is the context of the exception that httptools raises.
            cause = error.__context__
            return cause.rejection if isinstance(cause, RequestRejectedError) else MALFORMED_REQUEST
        return None

    def discard_partial_request(self) -> None:
        """Release the memory of the request that is not complete; nothing may be parsed afterwards."""
        self._body_parts = []
        self._head = None

    def close(self) -> None:
        """Release all memory; nothing may be parsed afterwards.

        Breaks a reference cycle: the parser of httptools refers back to this object.
        """
        self.discard_partial_request()
        self._parser = None

    def _require_parser(self) -> httptools.HttpRequestParser:
        if self._parser is None:
            raise ParserClosedError
        return self._parser

    # ---- callbacks of httptools -----------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        if not self._arrival.is_arriving:
            self._arrival.record_first_byte(time.monotonic())
        self._target = b""
        self._headers = []
        self._body_parts = []
        self._body_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Append a part of the target."""
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Validate the head: an unacceptable request is rejected before its body is read.

        Raises:
            RequestRejectedError: The request is not acceptable.
        """
        headers_bytes = sum(len(name) + len(value) for name, value in self._headers)
        if headers_bytes + len(self._target) > MAX_HEAD_BYTES:
            raise RequestRejectedError(HEAD_TOO_LARGE)
        method = self._require_parser().get_method()
        self._head = read_request_head(method, self._target, self._headers, self._classes)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body.

        Raises:
            RequestRejectedError: The body is larger than `MAX_BODY_BYTES`.
        """
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            raise RequestRejectedError(BODY_TOO_LARGE)
        self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Pass the complete request to `on_request`.

        Raises:
            RequestRejectedError: The request has no complete head.
        """
        head = self._head
        if head is None:
            raise RequestRejectedError(MALFORMED_REQUEST)
        self._head = None
        request = IncomingRequest(
            head,
            b"".join(self._body_parts),
            self._arrival.record_complete_request(),
            keep_alive=self._require_parser().should_keep_alive(),
        )
        self._body_parts = []
        self._on_request(request)
