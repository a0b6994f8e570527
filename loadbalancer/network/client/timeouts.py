"""The timeouts of client connections, in seconds."""

from __future__ import annotations

from typing import NamedTuple

REQUEST_TIMEOUT_S = 1.8
"""How long a complete request may take to arrive.

The time starts when the client connects or, for later requests on the connection, with their first byte.
"""

REQUEST_TIMEOUT_UNDER_PRESSURE_S = 0.25
"""Replaces `REQUEST_TIMEOUT_S` while new connections wait to be accepted."""

KEEP_ALIVE_TIMEOUT_S = 2.5
"""How long a connection may stay idle before it is closed; clients then open new ones."""

IDLE_TIMEOUT_UNDER_PRESSURE_S = 0.2
"""Replaces `KEEP_ALIVE_TIMEOUT_S` while new connections wait to be accepted.

A longer timeout would limit the requests per second, since idle connections count towards the connection
limit.
"""

SWEEP_INTERVAL_S = 0.1
"""Interval between checks of all connections for exceeded timeouts."""

WRITE_STALL_TIMEOUT_S = 10.0
"""How long a client may leave a response unread before it is disconnected."""

WRITE_STALL_TIMEOUT_UNDER_PRESSURE_S = 0.25
"""Replaces `WRITE_STALL_TIMEOUT_S` while new connections wait to be accepted."""

UNREAD_REJECTION_TIMEOUT_S = 1.0
"""How long a rejection waits until the client has read the responses before it.

Together with `REQUEST_TIMEOUT_S` this is less than the 3 s within which an improper client must get an error
or a close.
"""

LINGER_TIMEOUT_S = 0.5
"""How long input is read and discarded after the balancer has closed its sending side.

Unread input would make the kernel send a reset, which could overtake the last response.
"""

SHORT_LINGER_TIMEOUT_S = 0.05
"""Replaces `LINGER_TIMEOUT_S` if no request has begun to arrive on the connection in time."""

ACCEPT_RETRY_INTERVAL_S = 0.05
"""Delay before accepting is retried at the connection limit, or after descriptors or memory have run out."""

MIN_EVICTION_INTERVAL_S = ACCEPT_RETRY_INTERVAL_S / 2
"""Minimum interval between evictions, each of which sorts all connections."""


class ConnectionTimeouts(NamedTuple):
    """The timeouts that one check of a connection applies, in seconds.

    Attributes:
        request_s: How long a request may take to arrive.
        idle_s: How long the connection may stay idle.
        unread_s: How long the client may read nothing of a response.
    """

    request_s: float
    idle_s: float
    unread_s: float


def default_timeouts() -> ConnectionTimeouts:
    """Return the timeouts while new connections are accepted."""
    return ConnectionTimeouts(REQUEST_TIMEOUT_S, KEEP_ALIVE_TIMEOUT_S, WRITE_STALL_TIMEOUT_S)


def timeouts_under_pressure() -> ConnectionTimeouts:
    """Return the timeouts while new connections wait to be accepted."""
    return ConnectionTimeouts(
        REQUEST_TIMEOUT_UNDER_PRESSURE_S, IDLE_TIMEOUT_UNDER_PRESSURE_S, WRITE_STALL_TIMEOUT_UNDER_PRESSURE_S
    )
