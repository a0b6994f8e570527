"""Sans-I/O parser of a client's requests: assembles complete requests from the callbacks of httptools."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from loadbalancer.network.client.requests.http_parser import HttpParser
from loadbalancer.network.client.requests.incoming_request import IncomingRequest
from loadbalancer.network.client.requests.rejection import Rejection, RequestRejectedError
from loadbalancer.network.client.requests.request_head import (
    RequestHead,
    read_refused_head,
    read_request_head,
)
from loadbalancer.network.headers import (
    FIELD_WHITE_SPACE,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADER_FIELDS,
    VERSION_WITHOUT_CODINGS,
    Headers,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from loadbalancer.network.client.requests.request_arrival import RequestArrival
    from loadbalancer.settings import RequestClass

MALFORMED_REQUEST = Rejection(400, "malformed request")
HEAD_TOO_LARGE = Rejection(431, "headers too large")
TOO_MANY_FIELDS = Rejection(431, "too many header fields")
BODY_TOO_LARGE = Rejection(413, "body too large")
VERSION_NOT_SUPPORTED = Rejection(505, "HTTP/1.1 or HTTP/1.0")
CHUNKED_BEFORE_1_1 = Rejection(400, "HTTP/1.0 has no Transfer-Encoding")

SUPPORTED_VERSIONS = ("1.1", VERSION_WITHOUT_CODINGS)


class _PartialHead:
    """The target and the header fields of a head that is not complete, within their limits."""

    __slots__ = ("fields", "target")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Drop all, for the next head."""
        self.target = b""
        self.fields: Headers = []

    def check_size(self) -> None:
        """Check the size of the complete head.

        Raises:
            RequestRejectedError: The head is larger than `MAX_HEAD_BYTES`.
        """
        size_bytes = sum([len(name) + len(value) for name, value in self.fields])
        if size_bytes + len(self.target) > MAX_HEAD_BYTES:
            raise RequestRejectedError(HEAD_TOO_LARGE)


class RequestParser:
    """Parses the bytes of one connection into requests; `HttpParser` calls the `on_...` methods.

    Attributes:
        completed_count: The number of complete requests so far.
        keep_alive: Whether the connection may stay open after the last complete request.
        is_in_request: Whether a request has begun and is not complete; empty lines before it don't begin one.
        is_refusing: Whether the bodies of requests that begin from now on are discarded.
    """

    __slots__ = (
        "_arrival",
        "_body",
        "_body_bytes",
        "_classes",
        "_discards_body",
        "_head",
        "_on_request",
        "_parser",
        "_partial_head",
        "completed_count",
        "is_in_request",
        "is_refusing",
        "keep_alive",
    )

    def __init__(
        self,
        classes: dict[str, RequestClass],
        arrival: RequestArrival,
        on_request: Callable[[IncomingRequest | None], None],
    ) -> None:
        """Create a parser.

        Args:
            classes: The request classes of the settings, by name.
            arrival: Notified when a request begins and when it is complete.
            on_request: Called with each complete request; with None for one whose body was discarded.
        """
        self._classes = classes
        self._arrival = arrival
        self._on_request = on_request
        self._parser = HttpParser(self)
        self._partial_head = _PartialHead()
        self._head: RequestHead | None = None  # of a request whose body is not complete yet
        self._body = bytearray()
        self._body_bytes = 0
        self._discards_body = False
        self.completed_count = 0
        self.keep_alive = True
        self.is_in_request = False
        self.is_refusing = False

    @property
    def partial_body_bytes(self) -> int:
        """Number of body bytes received for the incomplete request; 0 if there is none."""
        return self._body_bytes if self._head is not None else 0

    @property
    def has_complete_head(self) -> bool:
        """Whether the head of the incomplete request is complete."""
        return self._head is not None

    @property
    def is_discarding_body(self) -> bool:
        """Whether the body of the incomplete request is being discarded."""
        return self._discards_body and self._head is not None

    @property
    def partial_field_count(self) -> int:
        """Number of header fields that are held for the incomplete request."""
        return len(self._partial_head.fields)

    def feed(self, data: bytes) -> Rejection | None:
        """Parse bytes; `on_request` is called for each request that they complete.

        Returns:
            The rejection of the current request if it is not acceptable; nothing may be parsed after it.
        """
        try:
            self._parser.feed(data)
        except httptools.HttpParserError as error:
            if not self.keep_alive:
                return None  # input behind the last request of the connection, which is ignored
            # An exception that a callback raised is the context of the exception that httptools raises.
            cause = error.__context__
            return cause.rejection if isinstance(cause, RequestRejectedError) else MALFORMED_REQUEST
        return None

    def start_refusing(self) -> None:
        """Discard the body of the incomplete request, and of those that begin from now on."""
        self.is_refusing = True
        self._discards_body = self._arrival.is_arriving
        self._body = bytearray()

    def close(self) -> None:
        """Release all memory, and break the reference cycle with the parser; nothing may be parsed after."""
        self._partial_head = _PartialHead()
        self._body = bytearray()
        self._head = None
        self._on_request = _ignore_request
        self._parser.close()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.is_in_request = True
        if not self._arrival.is_arriving:
            self._arrival.record_first_byte(self._arrival.input_arrived_at)
        self._partial_head.reset()
        self._body_bytes = 0
        self._discards_body = self.is_refusing

    def on_url(self, part: bytes) -> None:
        """Append a part of the target."""
        self._partial_head.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field, or a trailer; reject a request with too many."""
        fields = self._partial_head.fields
        if len(fields) >= MAX_HEADER_FIELDS:
            raise RequestRejectedError(TOO_MANY_FIELDS)
        fields.append((name.lower(), value.strip(FIELD_WHITE_SPACE)))

    def on_headers_complete(self) -> None:
        """Validate the head: an unacceptable request is rejected before its body is read.

        Raises:
            RequestRejectedError: The request is not acceptable.
        """
        partial_head = self._partial_head
        partial_head.check_size()
        fields, partial_head.fields = partial_head.fields, []
        _check_version(self._parser.current.get_http_version(), fields)
        method = self._parser.current.get_method()
        if self._discards_body:
            self._head = read_refused_head(method, fields)
        else:
            self._head = read_request_head(method, partial_head.target, fields, self._classes)
        self._parser.ignore_offer(fields)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body.

        Raises:
            RequestRejectedError: The body is larger than `MAX_BODY_BYTES`.
        """
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            raise RequestRejectedError(BODY_TOO_LARGE)
        if not self._discards_body:
            self._body += data

    def on_message_complete(self) -> None:
        """Pass the complete request to `on_request`.

        Raises:
            RequestRejectedError: The request has no complete head.
        """
        if self._parser.is_at_offer:
            return
        head = self._head
        if head is None:
            raise RequestRejectedError(MALFORMED_REQUEST)
        self._head = None
        self.is_in_request = False
        self._partial_head.fields = []  # drops trailers
        self.completed_count += 1
        self.keep_alive = self._parser.current.should_keep_alive()
        received_at = self._arrival.record_complete_request()
        if self._discards_body:
            self._on_request(None)
            return
        body, self._body = bytes(self._body), bytearray()
        self._on_request(IncomingRequest(head, body, received_at, keep_alive=self.keep_alive))


def _check_version(version: str, fields: Headers) -> None:
    """Check that the framing of a request is that of its version (RFC 9112, section 6.1)."""
    if version not in SUPPORTED_VERSIONS:
        raise RequestRejectedError(VERSION_NOT_SUPPORTED)
    if version == VERSION_WITHOUT_CODINGS and any(name == b"transfer-encoding" for name, _ in fields):
        raise RequestRejectedError(CHUNKED_BEFORE_1_1)


def _ignore_request(_: IncomingRequest | None) -> None:
    """Replace the callback of a parser that is closed, which would be a reference cycle."""
