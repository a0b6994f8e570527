"""One attempt to have a request processed by an upstream, and the outcome of each way it can end.

Each attempt ends exactly once. Where the ending leaves a doubt, the request counts as one that may have
been processed: the rule that a request which is not idempotent is processed at most once rests on that.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from loadbalancer.events import Outcome
from loadbalancer.network.errors import ConnectionLimitError
from loadbalancer.network.upstream.response_reader import Response

if TYPE_CHECKING:
    from loadbalancer.network.upstream.connection import UpstreamConnection

LOCAL_RESOURCE_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
"""Errors of a connect that are due to this process or machine, not to the upstream."""

_NOT_PROCESSED_HEADER = (b"x-not-run", b"1")
"""With this header, a 503 or 504 says that the upstream did not begin to process the request."""

OnAttemptEnd = Callable[[Outcome, Response | None], None]
"""Called with the outcome of an attempt, and with the response if it is complete."""


class ConnectionSource(Protocol):
    """Where an attempt gets its connection from.

    Attributes:
        connect_timeout_s: How long opening a connection may take.
    """

    connect_timeout_s: float

    def take_idle_connection(self) -> UpstreamConnection | None:
        """Hand out an idle connection, if one may be used."""

    async def connect(self) -> UpstreamConnection:
        """Open a connection, or raise OSError or ConnectionLimitError."""

    def add_idle_connection(self, connection: UpstreamConnection) -> None:
        """Take back a connection that may carry a further request."""

    def may_send(self) -> bool:
        """Whether the upstream still accepts a request on a connection that has just been opened."""


class UpstreamAttempt:
    """One attempt at an upstream; owns its timer and the task that connects.

    Args:
        loop: The event loop.
        connections: Where the connection comes from.
        compose: Returns the bytes of the request; called as they are written.
        on_end: Called exactly once, whichever events coincide.
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
        """Stop waiting; the connection is closed, which tells the upstream."""
        self._finish(Outcome.CANCELLED)

    def withdraw(self) -> None:
        """End the attempt if its request has not left completely.

        Unlike `cancel`, this never affects a request that the upstream may be processing.
        """
        if self._connection is None or not self._connection.is_written():
            self._finish(Outcome.NOT_SENT)

    def handle_response(self, response: Response) -> None:
        """End the attempt with a complete response."""
        self._finish(_outcome_of_response(response), response)

    def handle_reset(self) -> None:
        """End the attempt, as the connection ended or carried bytes that are not a valid response."""
        self._finish(Outcome.RESET)

    def handle_timeout(self) -> None:
        """End the attempt, as its time is up."""
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
        if self._on_end is None:  # cancelled while the connection was being established
            connection.close()
        elif not self._connections.may_send():
            # Guards against a request that is sent late: the upstream began to drain during the connect.
            connection.close()
            self._finish(Outcome.CONNECT_FAILED)
        elif not self._is_wanted():
            # Guards against a request that nobody waits for: the client disconnected, or got its response
            # from another attempt, during the connect.
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
                outcome = Outcome.CONNECT_FAILED  # without its last byte the request cannot have begun
            self._connection.release(reuse=response is not None)
        on_end(outcome, response)


def _outcome_of_response(response: Response) -> Outcome:
    if response.status == 200:
        return Outcome.SUCCEEDED
    if response.status in (503, 504) and _NOT_PROCESSED_HEADER in response.headers:
        return Outcome.REJECTED
    return Outcome.ERROR


def _outcome_of_failed_connect(error: Exception) -> Outcome:
    # Guards against blaming the upstream for a resource that is missing here: the policy would learn that
    # the upstream fails.
    if isinstance(error, ConnectionLimitError):
        return Outcome.NOT_SENT
    if isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRORS:
        return Outcome.NOT_SENT
    return Outcome.CONNECT_FAILED


def _is_not_wanted() -> bool:
    return False
