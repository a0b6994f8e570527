"""Measures how long a connection waited in the kernel's accept queue, with the TCP_INFO socket option."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

MAX_QUEUE_AGE_S = 60.0
"""Ages above this are reported as this value."""

MS_PER_S = 1000
_TCP_INFO = struct.Struct("=52xII")  # tcpi_last_data_recv, tcpi_last_ack_recv: ms since the last arrival


class QueueAges(NamedTuple):
    """The ages of a connection and of its first request at the time when the connection is accepted.

    Attributes:
        connection_age_s: Time since the client connected.
        request_age_s: Time since the last bytes of the client arrived; 0 if none have arrived.
    """

    connection_age_s: float
    request_age_s: float


def measure_queue_ages(accepted: socket.socket) -> QueueAges:
    """Return how long ago a newly accepted client connected and last sent bytes, as reported by the kernel.

    Both ages are 0 if the kernel does not report them.
    """
    try:
        tcp_info = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
        data_ms, ack_ms = _TCP_INFO.unpack(tcp_info)
        has_data = bool(accepted.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except BlockingIOError:
        has_data = False
    except (AttributeError, OSError, struct.error):  # TCP_INFO is not supported, or the connection was reset
        return QueueAges(0.0, 0.0)
    connection_age_s = min(ack_ms / MS_PER_S, MAX_QUEUE_AGE_S)
    request_age_s = min(data_ms / MS_PER_S, MAX_QUEUE_AGE_S) if has_data else 0.0
    return QueueAges(connection_age_s, request_age_s)
