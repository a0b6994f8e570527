"""Encodes the request that an attempt sends to its upstream."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.network.client.requests.incoming_request import IncomingRequest

MIN_DEADLINE_US = 1.0
"""Minimum value of X-Deadline, which has to be above 0."""


class UpstreamRequest:
    """A client's request as one attempt forwards it, with the remaining time of the attempt as X-Deadline.

    Args:
        incoming: The client's request.
        timeout_ms: The time limit of the attempt, which starts now.
    """

    __slots__ = ("_expires_at_s", "_incoming")

    def __init__(self, incoming: IncomingRequest, timeout_ms: float) -> None:
        self._incoming = incoming
        self._expires_at_s = time.monotonic() + timeout_ms / 1000

    def encode(self) -> bytes:
        """Return the bytes to send.

        Must be called just before they are sent, since X-Deadline is the time that remains at that moment.
        """
        incoming = self._incoming
        remaining_us = max((self._expires_at_s - time.monotonic()) * 1_000_000, MIN_DEADLINE_US)
        return b"%bX-Deadline: %du\r\n%b\r\n%b" % (
            incoming.head.forwarded,
            remaining_us,
            self._content_length(),
            incoming.body,
        )

    def _content_length(self) -> bytes:
        incoming = self._incoming
        if not incoming.body and incoming.head.method == b"GET":
            return b""
        return b"Content-Length: %d\r\n" % len(incoming.body)
