"""Reads HTTP/1.1 requests for the stand-ins of the testbed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One whole request; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class MalformedRequestError(ValueError):
    """What came is not an HTTP request."""


class RequestReader:
    """Puts the requests of one connection together and passes each on once it is whole."""

    def __init__(self, on_request: Callable[[HttpRequest], None]) -> None:
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection stays open after the response to the last request."""
        return bool(self._parser.should_keep_alive())

    def feed(self, data: bytes) -> None:
        """Read on.

        Raises:
            MalformedRequestError: The connection is of no further use.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise MalformedRequestError(str(error)) from error

    def _reset(self) -> None:
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    # ---- callbacks of the parser; it gives targets and bodies in pieces -------------------------

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset()

    def on_url(self, part: bytes) -> None:
        """Add to the target."""
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, part: bytes) -> None:
        """Add to the body."""
        self._body += part

    def on_message_complete(self) -> None:
        """Pass the request on."""
        method = self._parser.get_method().decode("latin-1")
        self._on_request(HttpRequest(method, self._target.decode("latin-1"), self._headers, self._body))
