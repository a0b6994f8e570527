"""One attempt to have an upstream process a request, and its outcome.

Each attempt ends exactly once. If it is uncertain whether the upstream processed the request, the outcome is
not one of `UNPROCESSED_OUTCOMES`, since a request that is not idempotent must not be processed twice.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from loadbalancer.events import Outcome
from loadbalancer.network.errors import ConnectionLimitError
from loadbalancer.network.response_parser import Response

if TYPE_CHECKING:
    from loadbalancer.network.upstream.connection import UpstreamConnection

LOCAL_RESOURCE_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
"""Connect errors that are caused by this process or machine, not by the upstream."""

_NOT_PROCESSED_HEADER = (b"x-not-run", b"1")
"""Header of a 503 or 504 response which states that the upstream did not begin to process the request."""

OnAttemptEnd = Callable[[Outcome, Response | None], None]
"""Receives the outcome of an attempt, and the response if one was received completely."""


class ConnectionSource(Protocol):
    """Provides the connection of an attempt.

    Attributes:
        connect_timeout_s: Time limit for opening a connection.
    """

    connect_timeout_s: float

    def take_idle_connection(self) -> UpstreamConnection | None:
        """Remove and return an idle connection that may be reused; return None if there is none."""

    async def connect(self) -> UpstreamConnection:
        """Open a connection, or raise OSError or ConnectionLimitError."""

    def add_idle_connection(self, connection: UpstreamConnection) -> None:
        """Add a reusable connection to the idle ones."""

    def may_send(self) -> bool:
        """Return whether a request may still be sent on a connection that has just been opened."""


class UpstreamAttempt:
    """One attempt at an upstream; it owns its timer and its connect task.

    Args:
        loop: The event loop.
        connection_source: Provides the connection.
        encode_request: Returns the bytes of the request; called just before they are written.
        on_end: Called exactly once, even if several events that end the attempt coincide.
        is_response_needed: Returns whether the client still waits for a response.
    """

    __slots__ = (
        "_connect_task",
        "_connection",
        "_connection_source",
        "_encode_request",
        "_is_response_needed",
        "_loop",
        "_on_end",
        "_timer",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connection_source: ConnectionSource,
        encode_request: Callable[[], bytes],
        on_end: OnAttemptEnd,
        is_response_needed: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._connection_source = connection_source
        self._encode_request = encode_request
        self._is_response_needed = is_response_needed
        self._on_end: OnAttemptEnd | None = on_end
        self._connection: UpstreamConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def connection(self) -> UpstreamConnection | None:
        """The connection that carries the request; None until the request is sent."""
        return self._connection

    def start(self, timeout_s: float) -> None:
        """Send the request on an idle or a new connection; `on_end` is not called before this returns."""
        self._timer = self._loop.call_later(timeout_s, self.handle_timeout)
        connection = self._connection_source.take_idle_connection()
        if connection is not None:
            self._send(connection)
        else:
            self._connect_task = self._loop.create_task(self._connect())

    def cancel(self) -> None:
        """End the attempt and close its connection, so that the upstream notices the cancellation."""
        self._finish(Outcome.CANCELLED)

    def drop_if_unsent(self) -> None:
        """End the attempt if the last byte of its request has not been written.

        Unlike `cancel`, this has no effect on a request that the upstream may be processing.
        """
        if self._connection is None or not self._connection.is_request_written():
            self._finish(Outcome.NOT_SENT)

    def handle_response(self, response: Response) -> None:
        """End the attempt with a complete response."""
        self._finish(_outcome_of_response(response), response)

    def handle_reset(self) -> None:
        """End the attempt: its connection ended, or carried bytes that are not a valid response."""
        self._finish(Outcome.RESET)

    def handle_timeout(self) -> None:
        """End the attempt: its time limit has passed."""
        # Without a connection nothing was written, and the upstream cannot have processed the request.
        self._finish(Outcome.TIMED_OUT if self._connection else Outcome.CONNECT_FAILED)

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(self._connection_source.connect_timeout_s):
                connection = await self._connection_source.connect()
        except (ConnectionLimitError, OSError, TimeoutError) as error:
            self._connect_task = None
            self._finish(_outcome_of_failed_connect(error))
            return
        self._connect_task = None
        self._send_on_new_connection(connection)

    def _send_on_new_connection(self, connection: UpstreamConnection) -> None:
        if self._on_end is None:  # the attempt ended while the connection was being established
            connection.close()
        elif not self._connection_source.may_send():
            # The upstream began to drain while the connection was being opened, and the drain grace leaves no
            # time for a request.
            connection.close()
            self._finish(Outcome.CONNECT_FAILED)
        elif not self._is_response_needed():
            # While the connection was being opened, the client disconnected, or received the response of
            # another attempt.
            self._connection_source.add_idle_connection(connection)
            self._finish(Outcome.NOT_SENT)
        else:
            self._send(connection)

    def _send(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        connection.send(self._encode_request(), self)

    def _finish(self, outcome: Outcome, response: Response | None = None) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is None:
            return
        self._is_response_needed = _no_response_needed  # drops the reference to the request
        if self._timer is not None:
            self._timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connection is not None:
            if outcome in (Outcome.RESET, Outcome.TIMED_OUT) and not self._connection.is_request_written():
                # The upstream cannot have processed a request whose last byte was not sent.
                outcome = Outcome.CONNECT_FAILED
            self._connection.release(is_response_complete=response is not None)
        on_end(outcome, response)


def _outcome_of_response(response: Response) -> Outcome:
    if response.status == 200:
        return Outcome.SUCCEEDED
    if response.status in (503, 504) and _NOT_PROCESSED_HEADER in response.headers:
        return Outcome.REJECTED
    return Outcome.ERROR


def _outcome_of_failed_connect(error: Exception) -> Outcome:
    # The policy counts a failed connect as a failure of the endpoint, so a lack of resources in this process
    # must be reported as another outcome.
    if isinstance(error, ConnectionLimitError):
        return Outcome.NOT_SENT
    if isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRORS:
        return Outcome.NOT_SENT
    return Outcome.CONNECT_FAILED


def _no_response_needed() -> bool:
    return False
