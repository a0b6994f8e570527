"""The parser of httptools, for a server that ignores offers of another protocol.

If a request offers another protocol, httptools takes the end of its head for the end of the request, in spite
of its framing, and does not parse what follows. A server may ignore the offer (RFC 9110, section 7.8); the
body of the request follows then, and further HTTP/1.1 requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import httptools

from loadbalancer.errors import InvalidStateError

if TYPE_CHECKING:
    from loadbalancer.network.headers import Headers

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")

_CLOSED_PARSER = httptools.HttpRequestParser(None)
"""Takes the place of a parser that is closed; it calls nothing."""


class ParserClosedError(InvalidStateError):
    """Bytes were passed to a parser that is closed."""


class RequestCallbacks(Protocol):
    """What a parser calls while it parses requests."""

    def on_message_begin(self) -> None:
        """Begin a request."""

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field, or a trailer."""

    def on_headers_complete(self) -> None:
        """Complete the head."""

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""

    def on_message_complete(self) -> None:
        """Complete the request, unless `HttpParser.is_at_offer`."""


class HttpParser:
    """Parses requests, also behind the head of one that offers another protocol.

    `on_headers_complete` has to call `ignore_offer`. `on_message_complete` has to return if `is_at_offer`: it
    is called again when the request is complete.

    Attributes:
        current: The parser of the current request.
        is_at_offer: Whether httptools has ended a request at the end of its head, because of an offer.
    """

    __slots__ = ("_callbacks", "_resumed_head", "current", "is_at_offer")

    def __init__(self, callbacks: RequestCallbacks) -> None:
        self._callbacks: RequestCallbacks | None = callbacks
        self._resumed_head = b""
        self.current = httptools.HttpRequestParser(callbacks)
        self.is_at_offer = False

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Raises:
            httptools.HttpParserError: The bytes are malformed, or a callback failed, whose exception is the
                context of this one.
            ParserClosedError: The parser is closed.
        """
        if self._callbacks is None:
            raise ParserClosedError
        while data:
            try:
                self.current.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                data = data[int(upgrade.args[0]) :]
            else:
                return
            self._resume_behind_head(self._callbacks)

    def ignore_offer(self, headers: Headers) -> None:
        """Continue behind a head that offers another protocol; no effect for any other head.

        Args:
            headers: The validated headers of the head, with names in lower case.
        """
        if self.current.should_upgrade():
            self.is_at_offer = True
            self._resumed_head = _head_without_offer(headers, keep_alive=self.current.should_keep_alive())

    def close(self) -> None:
        """Break the reference cycle with the callbacks; nothing may be parsed after."""
        self._callbacks = None
        self.current = _CLOSED_PARSER

    def _resume_behind_head(self, callbacks: RequestCallbacks) -> None:
        """Replace the parser, which parses no further, by one that has read a head with the same framing."""
        self.is_at_offer = False
        self.current = httptools.HttpRequestParser(_CallbacksBehindHead(callbacks))
        self.current.feed_data(self._resumed_head)  # completes a request without a body


class _CallbacksBehindHead:
    """The callbacks of a parser, without those for the first head."""

    __slots__ = ("_callbacks", "_is_behind_head", "on_body", "on_message_complete")

    def __init__(self, callbacks: RequestCallbacks) -> None:
        self._callbacks = callbacks
        self._is_behind_head = False
        self.on_body = callbacks.on_body
        self.on_message_complete = callbacks.on_message_complete

    def on_message_begin(self) -> None:
        if self._is_behind_head:
            self._callbacks.on_message_begin()

    def on_url(self, part: bytes) -> None:
        if self._is_behind_head:
            self._callbacks.on_url(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_behind_head:
            self._callbacks.on_header(name, value)

    def on_headers_complete(self) -> None:
        if self._is_behind_head:
            self._callbacks.on_headers_complete()
        self._is_behind_head = True


def _head_without_offer(headers: Headers, *, keep_alive: bool) -> bytes:
    """Return a head that offers no protocol, with the framing of a head that has these headers."""
    lines = [b"POST / HTTP/1.1\r\n"]
    lines += [b"%b: %b\r\n" % pair for pair in headers if pair[0] in _FRAMING_HEADERS]
    lines.append(b"\r\n" if keep_alive else b"Connection: close\r\n\r\n")
    return b"".join(lines)
