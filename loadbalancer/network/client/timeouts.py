"""The time limits of client connections, in seconds."""

from __future__ import annotations

REQUEST_TIMEOUT_S = 1.8
"""Limit on the time in which a complete request arrives, from connecting or from the request's first byte."""

REQUEST_TIMEOUT_UNDER_PRESSURE_S = 0.25
"""The same limit while new connections wait to be accepted."""

KEEP_ALIVE_TIMEOUT_S = 2.5
"""An idle connection is closed after this time; clients open new ones."""

IDLE_TIMEOUT_UNDER_PRESSURE_S = 0.2
"""The same while new connections wait to be accepted: a longer time would limit the requests per second."""

SWEEP_INTERVAL_S = 0.1
"""Interval between two checks of all connections for slow and idle ones."""

WRITE_STALL_TIMEOUT_S = 10.0
"""A client that does not read its response for longer than this is disconnected."""

LINGER_TIMEOUT_S = 0.5
"""How long input is read and discarded after the balancer closed its side.

Guards against a reset that overtakes the last response.
"""

SHORT_LINGER_TIMEOUT_S = 0.05
"""The linger after a connection on which no request began to arrive in time."""

ACCEPT_RETRY_INTERVAL_S = 0.05
"""Accepting is tried again after this time once descriptors or connections have run out."""

MIN_EVICTION_INTERVAL_S = ACCEPT_RETRY_INTERVAL_S / 2
"""Evictions are at least this far apart: each sorts all connections."""
