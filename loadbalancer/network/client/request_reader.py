"""Sans-I/O reader of a client's requests: bytes in, whole requests or a rejection out."""

from __future__ import annotations

import math
import time
from collections import deque

import httptools

from loadbalancer.errors import InvalidStateError
from loadbalancer.network.client.incoming_request import IncomingRequest, Rejection, RequestRejectedError
from loadbalancer.network.headers import MAX_BODY_BYTES, MAX_HEAD_BYTES, Headers
from loadbalancer.settings import RequestClass

MAX_PIPELINED_REQUESTS = 16  # whole requests read ahead on one connection; beyond that, parsing waits
SLICE_BYTES = 8_192  # parsed at a time: the requests in one slice may exceed the limit above

MALFORMED_REQUEST = Rejection(400, "malformed request")
HEAD_TOO_LARGE = Rejection(431, "headers too large")
BODY_TOO_LARGE = Rejection(413, "body too large")


class RequestReaderClosedError(InvalidStateError):
    """Input was to be parsed after the reader was closed."""


class RequestReader:
    """Parses the bytes of one connection into requests, and bounds how much it reads ahead.

    The owner passes bytes to `receive`, calls `parse_slice` while `can_parse` says so, and removes whole
    requests from `requests`. After a rejection it calls `discard_input` and parses no further.

    Attributes:
        requests: Whole requests that the owner has not removed yet, the oldest first.
        is_reading: Whether a request has begun to arrive and is not whole yet.
        request_started_at: When the current request began to arrive, or the connection was opened if none
            has arrived yet (seconds of the monotonic clock).
        last_received_at: When the last bytes were received; -inf before the first.
        has_received_request: Whether a whole request ever arrived.
    """

    def __init__(
        self,
        classes: dict[str, RequestClass],
        connected_at: float,
        first_request_sent_at: float | None,
    ) -> None:
        """Create a reader.

        Args:
            classes: The request classes of the settings, by name.
            connected_at: When the client connected (seconds of the monotonic clock).
            first_request_sent_at: When the first request reached the kernel, if it came before the
                connection was accepted; else None.
        """
        self._classes = classes
        self._first_request_sent_at = first_request_sent_at
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._unparsed = b""
        self._partial_bytes = 0  # parsed bytes of a request that is not whole
        self._target = b""
        self._headers: Headers = []
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._partial_request: IncomingRequest | None = None  # its head is whole, its body is not
        self.requests: deque[IncomingRequest] = deque()
        self.is_reading = False
        self.request_started_at = connected_at
        self.last_received_at = -math.inf
        self.has_received_request = False

    # ---- for the owner of the reader ------------------------------------------------------------

    @property
    def buffered_bytes(self) -> int:
        """The bytes held: not parsed, of a request that is not whole, or of requests in the queue."""
        return len(self._unparsed) + self._partial_bytes + sum(r.size_bytes for r in self.requests)

    @property
    def has_unparsed_input(self) -> bool:
        """Whether bytes were received that are not parsed yet."""
        return bool(self._unparsed)

    @property
    def has_partial_request(self) -> bool:
        """Whether bytes were received that do not make up a whole request yet."""
        return bool(self._partial_bytes or self._unparsed)

    def can_parse(self) -> bool:
        """Return whether there is input to parse and few enough requests are queued."""
        return self.has_unparsed_input and len(self.requests) <= MAX_PIPELINED_REQUESTS

    def may_resume(self) -> bool:
        """Return whether the queue is short enough for reading to go on after a pause."""
        return len(self.requests) <= MAX_PIPELINED_REQUESTS // 2

    def receive(self, data: bytes) -> None:
        """Buffer bytes of the connection; nothing is parsed yet."""
        self.last_received_at = time.monotonic()
        if not self.is_reading and not self._unparsed:
            self.is_reading = True
            if self.has_received_request:
                self.request_started_at = self.last_received_at
        self._unparsed += data

    def parse_slice(self) -> Rejection | None:
        """Parse the next slice of the input; whole requests are appended to `requests`.

        Returns:
            The rejection of the request that is being read, if it is not acceptable.
        """
        data = self._unparsed[:SLICE_BYTES]
        self._unparsed = self._unparsed[SLICE_BYTES:]
        bytes_before = self._partial_bytes
        self._partial_bytes += len(data)
        try:
            self._open_parser().feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # The parser reports an exception of a callback as the context of its own.
            cause = error.__context__
            return cause.rejection if isinstance(cause, RequestRejectedError) else MALFORMED_REQUEST
        if self._partial_bytes < bytes_before + len(data):
            # A request ended in this slice: no more than the slice can belong to the next one.
            self._partial_bytes = len(data) if self.is_reading else 0
        elif self._partial_bytes - self._partial_body_bytes() > MAX_HEAD_BYTES:
            # Guards against a head, chunk extensions or trailers without end: the parser would buffer them.
            return HEAD_TOO_LARGE
        return None

    def discard_unparsed(self) -> None:
        """Drop the input that is not parsed yet."""
        self._unparsed = b""

    def discard_input(self) -> None:
        """Drop the input that is not parsed yet, and the request that is not whole."""
        self.discard_unparsed()
        self._partial_bytes = 0
        self._body_parts = []
        self._partial_request = None

    def close(self) -> None:
        """Drop all input and all requests; nothing may be parsed afterwards.

        This also releases the parser, which refers back to the reader.
        """
        self.discard_input()
        self.requests.clear()
        self._parser = None

    def _open_parser(self) -> httptools.HttpRequestParser:
        if self._parser is None:
            raise RequestReaderClosedError
        return self._parser

    def _partial_body_bytes(self) -> int:
        return self._body_bytes if self._partial_request is not None else 0

    # ---- callbacks of the parser ----------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start with an empty request."""
        if not self.is_reading:
            self.is_reading = True
            self.request_started_at = time.monotonic()
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
        """Validate the head: a bad request is rejected here, whatever body it announces.

        Raises:
            RequestRejectedError: If the request is not acceptable.
        """
        headers_bytes = sum(len(name) + len(value) for name, value in self._headers)
        if headers_bytes + len(self._target) > MAX_HEAD_BYTES:
            raise RequestRejectedError(HEAD_TOO_LARGE)
        method = self._open_parser().get_method()
        request = IncomingRequest(method, self._target, self._headers)
        request.validate(self._classes)
        self._partial_request = request

    def on_body(self, data: bytes) -> None:
        """Append a part of the body.

        Raises:
            RequestRejectedError: If the body is larger than the protocol allows.
        """
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            raise RequestRejectedError(BODY_TOO_LARGE)
        self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Append the request to those that are whole."""
        request = self._partial_request
        if request is None:
            raise RequestRejectedError(MALFORMED_REQUEST)
        self._partial_request = None
        request.body = b"".join(self._body_parts)
        request.size_bytes = len(request.head) + len(request.body)
        sent_at = self._first_request_sent_at
        request.received_at = time.monotonic() if sent_at is None else sent_at
        request.keep_alive = self._open_parser().should_keep_alive()
        self._first_request_sent_at = None
        self._body_parts = []
        self._partial_bytes = 0
        self.is_reading = False
        self.has_received_request = True
        self.requests.append(request)
