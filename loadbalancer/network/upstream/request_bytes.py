"""The request that one attempt sends to its upstream."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.network.client.incoming_request import IncomingRequest

MIN_DEADLINE_US = 1.0  # X-Deadline has to be above 0


class UpstreamRequest:
    """A client's request as one attempt passes it on, with the time that this attempt has left."""

    __slots__ = ("_expires_at_s", "_incoming")

    def __init__(self, incoming: IncomingRequest, timeout_ms: float) -> None:
        self._incoming = incoming
        self._expires_at_s = time.monotonic() + timeout_ms / 1000

    def compose(self) -> bytes:
        """The bytes to send; called as they are sent, so that X-Deadline is what is left by then."""
        incoming = self._incoming
        remaining_us = max((self._expires_at_s - time.monotonic()) * 1_000_000, MIN_DEADLINE_US)
        return b"%bX-Deadline: %du\r\n%b\r\n%b" % (
            incoming.head,
            remaining_us,
            self._content_length(),
            incoming.body,
        )

    def _content_length(self) -> bytes:
        incoming = self._incoming
        if not incoming.body and incoming.method == b"GET":
            return b""
        return b"Content-Length: %d\r\n" % len(incoming.body)
