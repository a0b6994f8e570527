"""The errors of the network code."""

from __future__ import annotations

from loadbalancer.errors import LoadBalancerError


class ProtocolError(LoadBalancerError):
    """A message violates HTTP/1.1, or exceeds a size limit of this program."""


class InvalidResponseError(ProtocolError):
    """A response from an upstream or from discovery is not valid."""


class ConnectionLimitError(LoadBalancerError):
    """The limit on open connections to upstreams is reached."""
