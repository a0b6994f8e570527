"""The base class of the testbed's errors, and the errors that more than one of its packages raises."""

from __future__ import annotations

from loadbalancer.errors import InvalidStateError, LoadBalancerError


class TestbedError(LoadBalancerError):
    """Base class of all errors that the testbed raises."""


class NotConnectedError(TestbedError, InvalidStateError):
    """A connection was used before its transport existed: a bug in the testbed."""

    def __init__(self) -> None:
        super().__init__("the connection has no transport yet")
