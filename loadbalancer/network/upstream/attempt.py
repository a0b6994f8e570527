"""One attempt to have a request processed by an upstream, and the outcome of each way in which it can end.

Each attempt ends exactly once. Where it is uncertain whether the upstream processed the request, the outcome
is one after which it may have: a request that is not idempotent must not be processed twice.
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
"""Errors of connecting that are caused by this process or machine, not by the upstream."""

_NOT_PROCESSED_HEADER = (b"x-not-run", b"1")
"""The header of a 503 or 504 response which states that the upstream did not begin to process the request."""

OnAttemptEnd = Callable[[Outcome, Response | None], None]
"""A function that gets the outcome of an attempt, and the response if it is complete."""


class ConnectionSource(Protocol):
    """The source of the connection of an attempt.

    Attributes:
        connect_timeout_s: How long opening a connection may take.
    """

    connect_timeout_s: float

    def take_idle_connection(self) -> UpstreamConnection | None:
        """Remove and return an idle connection, if one may be used."""

    async def connect(self) -> UpstreamConnection:
        """Open a connection, or raise OSError or ConnectionLimitError."""

    def add_idle_connection(self, connection: UpstreamConnection) -> None:
        """Add a connection that may carry a further request to the idle ones."""

    def may_send(self) -> bool:
        """Return whether the upstream still accepts a request on a connection that has just been opened."""


class UpstreamAttempt:
    """One attempt at an upstream; it owns its timer and the task that connects.

    Args:
        loop: The event loop.
        connections: The source of the connection.
        compose: Returns the bytes of the request; called as they are written.
        on_end: Called exactly once, also if several events coincide.
        is_wanted: Whether the client still waits for a response.
    """

    __slots__ = (
        "_compose",
        "_connect_task",
        "_connection",
        "_connections",
        "_is_wanted",
        "_loop",
        "_on_end",
        "_timer",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connections: ConnectionSource,
        compose: Callable[[], bytes],
        on_end: OnAttemptEnd,
        is_wanted: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._connections = connections
        self._compose = compose
        self._is_wanted = is_wanted
        self._on_end: OnAttemptEnd | None = on_end
        self._connection: UpstreamConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def connection(self) -> UpstreamConnection | None:
        """The connection that the request was sent on; None before that."""
        return self._connection

    def start(self, timeout_s: float) -> None:
        """Send on an idle connection, or open one; `on_end` is not called before this returns."""
        self._timer = self._loop.call_later(timeout_s, self.handle_timeout)
        connection = self._connections.take_idle_connection()
        if connection is not None:
            self._send(connection)
        else:
            self._connect_task = self._loop.create_task(self._connect())

    def cancel(self) -> None:
        """End the attempt and close its connection, by which the upstream learns of it."""
        self._finish(Outcome.CANCELLED)

    def withdraw(self) -> None:
        """End the attempt if the last byte of its request has not been written.

        Unlike `cancel`, this has no effect on a request that the upstream may be processing.
        """
        if self._connection is None or not self._connection.is_written():
            self._finish(Outcome.NOT_SENT)

    def handle_response(self, response: Response) -> None:
        """End the attempt with a complete response."""
        self._finish(_outcome_of_response(response), response)

    def handle_reset(self) -> None:
        """End the attempt, since the connection ended or carried bytes that are not a valid response."""
        self._finish(Outcome.RESET)

    def handle_timeout(self) -> None:
        """End the attempt, since its time limit has passed."""
        # Without a connection nothing was written, so that the upstream cannot have processed the request.
        self._finish(Outcome.TIMED_OUT if self._connection else Outcome.CONNECT_FAILED)

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(self._connections.connect_timeout_s):
                connection = await self._connections.connect()
        except (ConnectionLimitError, OSError, TimeoutError) as error:
            self._connect_task = None
            self._finish(_outcome_of_failed_connect(error))
            return
        self._connect_task = None
        self._send_on_new(connection)

    def _send_on_new(self, connection: UpstreamConnection) -> None:
        if self._on_end is None:  # the attempt ended while the connection was being established
            connection.close()
        elif not self._connections.may_send():
            # Guards against a late request: the upstream began to drain while the connection was opened.
            connection.close()
            self._finish(Outcome.CONNECT_FAILED)
        elif not self._is_wanted():
            # Guards against a request without a waiting client: while the connection was opened, the client
            # disconnected, or got its response from another attempt.
            self._connections.add_idle_connection(connection)
            self._finish(Outcome.NOT_SENT)
        else:
            self._send(connection)

    def _send(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        connection.send(self._compose(), self)

    def _finish(self, outcome: Outcome, response: Response | None = None) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is None:
            return
        self._is_wanted = _is_not_wanted  # drops the reference to the request
        if self._timer is not None:
            self._timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connection is not None:
            if outcome in (Outcome.RESET, Outcome.TIMED_OUT) and not self._connection.is_written():
                # The upstream cannot have processed a request of which the last byte was not sent.
                outcome = Outcome.CONNECT_FAILED
            self._connection.release(reuse=response is not None)
        on_end(outcome, response)


def _outcome_of_response(response: Response) -> Outcome:
    if response.status == 200:
        return Outcome.SUCCEEDED
    if response.status in (503, 504) and _NOT_PROCESSED_HEADER in response.headers:
        return Outcome.REJECTED
    return Outcome.ERROR


def _outcome_of_failed_connect(error: Exception) -> Outcome:
    # Guards against a failure that is attributed to the upstream, though this process lacks a resource: the
    # policy would count it against the endpoint.
    if isinstance(error, ConnectionLimitError):
        return Outcome.NOT_SENT
    if isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRORS:
        return Outcome.NOT_SENT
    return Outcome.CONNECT_FAILED


def _is_not_wanted() -> bool:
    return False
