"""A parser of HTTP/1.1 requests for the servers of the testbed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httptools

from testbed.errors import TestbedError

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class MalformedRequestError(TestbedError, ValueError):
    """The received bytes are not an HTTP request."""


class RequestParser:
    """Parses the bytes of one connection and passes each complete request to `on_request`."""

    def __init__(self, on_request: Callable[[HttpRequest], None]) -> None:
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection stays open after the response to the last request."""
        return bool(self._parser.should_keep_alive())

    def feed(self, data: bytes) -> None:
        """Parse more received bytes.

        Raises:
            MalformedRequestError: The bytes are not HTTP, or offer another protocol, which no balancer does;
                the connection has to be closed.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedRequestError(str(error)) from error

    def _reset(self) -> None:
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    # ---- callbacks of httptools, which passes targets and bodies in pieces ----------------------

    def on_message_begin(self) -> None:
        """Discard the previous request."""
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
        """Pass the complete request to `on_request`."""
        method = self._parser.get_method().decode("latin-1")
        self._on_request(HttpRequest(method, self._target.decode("latin-1"), self._headers, self._body))
