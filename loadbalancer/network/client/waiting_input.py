"""The input of one connection that waits to be handled: queued requests, unparsed bytes, and a rejection."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from loadbalancer.network.client.requests.incoming_request import RefusedRequests

if TYPE_CHECKING:
    from loadbalancer.network.client.input_limits import InputLimits
    from loadbalancer.network.client.requests.incoming_request import IncomingRequest
    from loadbalancer.network.client.requests.rejection import Rejection
    from loadbalancer.network.client.requests.request_reader import RequestReader
    from loadbalancer.network.client.transport import ClientTransport


class WaitingInput:
    """Determines what can be done next with the input of one connection.

    Args:
        limits: The limits on the input.
        reader: Parses the input, and queues the requests.
        transport: The transport of the connection.
    """

    __slots__ = ("_limits", "_reader", "_rejected_at", "_rejection", "_transport")

    def __init__(self, limits: InputLimits, reader: RequestReader, transport: ClientTransport) -> None:
        self._limits = limits
        self._reader = reader
        self._transport = transport
        self._rejection: Rejection | None = None  # written after the responses to earlier requests
        self._rejected_at = math.inf

    @property
    def has_rejection(self) -> bool:
        """Whether a rejection waits to be written."""
        return self._rejection is not None

    @property
    def rejection_pending_since(self) -> float:
        """When the rejection that waits was decided (seconds, monotonic clock); infinite without one."""
        return self._rejected_at if self._rejection is not None else math.inf

    def is_empty(self) -> bool:
        """Return whether nothing waits."""
        return not self._reader.queue and not self._reader.unparsed_bytes and self._rejection is None

    def has_work(self, *, is_handling_request: bool) -> bool:
        """Return whether something can be done now.

        If not, what waits is seen again after one of these events: the response to the current request, an
        empty write buffer, or further input.

        Args:
            is_handling_request: Whether the response to a request is awaited.
        """
        if is_handling_request and not self._reader.is_refusing:
            return False
        if self.can_parse(is_handling_request=is_handling_request):
            return True
        if is_handling_request or self._transport.has_unsent_bytes():
            return False
        if self._reader.queue:
            return self.may_begin(self._reader.queue[0])
        return self._rejection is not None

    def can_parse(self, *, is_handling_request: bool) -> bool:
        """Return whether a slice can be parsed now."""
        if not self._reader.has_parsable_input() or self._transport.discards_input:
            return False
        if self._reader.is_refusing:
            return True
        return not is_handling_request and self._limits.is_input_read()

    def may_begin(self, request: IncomingRequest | RefusedRequests) -> bool:
        """Return whether the client is known to be connected, as far as the request requires that."""
        # The end of the connection may follow input that is still unread: the client may have gone.
        return _is_answered_here(request) or self._limits.is_input_read()

    def reject(self, rejection: Rejection) -> None:
        """Discard further input; the rejection waits until all earlier requests have their responses."""
        self._transport.discards_input = True
        self._rejection = rejection
        self._rejected_at = time.monotonic()
        self._reader.discard_input()
        self._limits.account()

    def take_rejection(self) -> Rejection | None:
        """Remove and return the rejection; None if there is none."""
        rejection, self._rejection = self._rejection, None
        return rejection


def _is_answered_here(request: IncomingRequest | RefusedRequests) -> bool:
    """Return whether a request reaches no upstream."""
    return isinstance(request, RefusedRequests) or request.head.is_health_check()
