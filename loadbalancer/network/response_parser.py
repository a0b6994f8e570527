"""An incremental, validating parser of HTTP/1.1 responses."""

from __future__ import annotations

import httptools

from loadbalancer.network.errors import InvalidResponseError
from loadbalancer.network.headers import (
    FIELD_WHITE_SPACE,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADER_FIELDS,
    VERSION_WITHOUT_CODINGS,
    Headers,
)
from loadbalancer.network.memory_budget import HEADER_FIELD_BYTES

_MAX_LENGTH_DIGITS = 19
"""Maximum number of digits of a Content-Length, checked before it is converted to an integer."""

_FIRST_STATUS = 100
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200
_STATUSES_WITHOUT_BODY = (204, 304)

_HEADERS_TOO_LARGE = "headers too large"
_INTERIM_RESPONSES_TOO_LARGE = "headers and interim responses too large"
_BODY_TOO_LARGE = "body too large"
_MORE_THAN_ONE_RESPONSE = "more than one final response"
_INVALID_STATUS = "the status is below 100"
_PROTOCOL_SWITCH = "protocol switch (status 101), which was not requested"
_AMBIGUOUS_LENGTH = "conflicting or unsupported Content-Length or Transfer-Encoding"
_INVALID_LENGTH = "Content-Length is invalid or exceeds the size limit"


class Response:
    """One complete response."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class ResponseParser:
    """Parses the consecutive responses on a connection.

    Endless headers or interim responses, invalid lengths, and bodies that exceed the limit are rejected as
    soon as they are detected, to leave time for another attempt. Bytes that follow a complete response do
    not affect it, but the connection cannot be reused.

    Args:
        max_body_bytes: The maximum size of a body.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._response: Response | None = None
        self._may_reuse = False
        self._release()

    @property
    def may_reuse(self) -> bool:
        """Whether the connection may be reused for another request."""
        return self._may_reuse

    @property
    def held_bytes(self) -> int:
        """Memory that the incomplete response occupies."""
        return self._header_bytes + len(self._headers) * HEADER_FIELD_BYTES + len(self._body)

    def feed(self, data: bytes) -> Response | None:
        """Parse the next bytes received on the connection.

        Returns:
            The response if these bytes complete it; None otherwise.

        Raises:
            InvalidResponseError: The bytes are not the beginning of a valid response.
        """
        self._bytes_since_response += len(data)
        self._parse(data)
        if self._response is None and self._bytes_since_response - self._body_bytes > MAX_HEAD_BYTES:
            raise InvalidResponseError(_INTERIM_RESPONSES_TOO_LARGE)
        response, self._response = self._response, None
        if response is not None:
            self._release()
        return response

    def finish(self) -> Response | None:
        """Return the response that the orderly end of the connection completes; None if there is none."""
        if not self._ends_with_connection:
            return None
        self._may_reuse = False
        response = Response(self._parser.get_status_code(), self._headers, bytes(self._body))
        self._release()
        return response

    def _drop_message(self) -> None:
        """Drop the buffered part of the message, for the next one."""
        self._headers: Headers = []
        self._body = bytearray()
        self._body_bytes = 0
        self._header_bytes = 0
        self._ends_with_connection = False  # whether the end of the connection ends the response
        self._has_certain_end = True  # whether the upstream can't take the end to be elsewhere

    def _release(self) -> None:
        """Hold nothing of a response that was passed on: the connection may be idle for a long time."""
        self._drop_message()
        self._bytes_since_response = 0

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._may_reuse = False
            if self._response is None:
                raise InvalidResponseError(str(error.__context__ or error)) from None

    # ---- callbacks of the parser ----------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Discard the previous message if it was an interim response; no message may follow a final one."""
        if self._response is not None:
            raise InvalidResponseError(_MORE_THAN_ONE_RESPONSE)
        if self._headers:
            self._drop_message()  # an interim response

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, up to the size limit."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEAD_BYTES or len(self._headers) >= MAX_HEADER_FIELDS:
            raise InvalidResponseError(_HEADERS_TOO_LARGE)
        name = name.lower()
        # httptools strips spaces only: it would read a coding that ends with a tab as another coding.
        if name == b"transfer-encoding" and value.rstrip(b" ").lower() != b"chunked":
            raise InvalidResponseError(_AMBIGUOUS_LENGTH)
        self._headers.append((name, value.strip(FIELD_WHITE_SPACE)))

    def on_headers_complete(self) -> None:
        """Reject a response with an invalid head before its body is read."""
        status = self._parser.get_status_code()
        if status < _FIRST_STATUS:
            raise InvalidResponseError(_INVALID_STATUS)
        if status == _SWITCHING_PROTOCOLS:
            raise InvalidResponseError(_PROTOCOL_SWITCH)
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        if len(lengths) + len(codings) > 1:
            raise InvalidResponseError(_AMBIGUOUS_LENGTH)
        if lengths and not self._is_valid_length(lengths[0]):
            raise InvalidResponseError(_INVALID_LENGTH)
        states_body = bool(codings) or (bool(lengths) and int(lengths[0]) > 0)
        if status < _FIRST_FINAL_STATUS:
            if states_body:
                raise InvalidResponseError(_AMBIGUOUS_LENGTH)
        elif status in _STATUSES_WITHOUT_BODY:
            self._has_certain_end = not states_body
        else:
            self._check_body_framing(has_length=bool(lengths), is_chunked=bool(codings))

    def _check_body_framing(self, *, has_length: bool, is_chunked: bool) -> None:
        """Determine what ends the body, and whether that is certain (RFC 9112, section 6.1)."""
        self._ends_with_connection = not has_length and not is_chunked
        if is_chunked:
            self._has_certain_end = self._parser.get_http_version() != VERSION_WITHOUT_CODINGS

    def _is_valid_length(self, length: bytes) -> bool:
        if not length.isdigit() or len(length) > _MAX_LENGTH_DIGITS:
            return False
        return int(length) <= self._max_body_bytes

    def on_body(self, data: bytes) -> None:
        """Add a part of the body, up to the size limit."""
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise InvalidResponseError(_BODY_TOO_LARGE)
        self._body += data

    def on_message_complete(self) -> None:
        """Store a final response; ignore an interim one (status 1xx)."""
        # Read here and not later: the parser resets its flags once the message is complete.
        self._may_reuse = self._has_certain_end and self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        if status >= _FIRST_FINAL_STATUS:
            self._response = Response(status, self._headers, bytes(self._body))
