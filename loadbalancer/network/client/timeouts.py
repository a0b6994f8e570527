"""The timeouts of client connections, in seconds."""

from __future__ import annotations

REQUEST_TIMEOUT_S = 1.8
"""How long a complete request may take to arrive.

The time starts when the client connects, or with the first byte for later requests on the connection.
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

LINGER_TIMEOUT_S = 0.5
"""How long input is read and discarded after the balancer has closed its sending side.

Unread input would make the kernel send a reset, which could overtake the last response.
"""

SHORT_LINGER_TIMEOUT_S = 0.05
"""Replaces `LINGER_TIMEOUT_S` if no request has begun to arrive on the connection in time."""

ACCEPT_RETRY_INTERVAL_S = 0.05
"""Delay before accepting is retried at the connection limit or after a shortage of descriptors."""

MIN_EVICTION_INTERVAL_S = ACCEPT_RETRY_INTERVAL_S / 2
"""Minimum interval between evictions, each of which sorts all connections."""
