"""The errors of the network code."""

from __future__ import annotations

from loadbalancer.errors import LoadBalancerError


class ProtocolError(LoadBalancerError):
    """A message violates HTTP/1.1, or exceeds a size limit of this program."""


class InvalidResponseError(ProtocolError):
    """A response of an upstream or of discovery must not be used."""


class ConnectionLimitError(LoadBalancerError):
    """The limit on open connections to upstreams is reached."""
