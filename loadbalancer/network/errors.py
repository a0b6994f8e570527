"""The errors of the network layer."""

from __future__ import annotations


class ProtocolError(Exception):
    """A message violates HTTP/1.1, or exceeds a size limit of this program."""


class InvalidResponseError(ProtocolError):
    """An upstream or discovery sent a response that must not be used."""


class ConnectionLimitError(Exception):
    """No further connection to an upstream may be opened within the limit on descriptors."""
