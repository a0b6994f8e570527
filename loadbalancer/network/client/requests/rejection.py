"""Error responses to requests that are not acceptable."""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.errors import LoadBalancerError


class Rejection(NamedTuple):
    """The error response to a request that is not acceptable.

    Attributes:
        status: The status code.
        reason: The text of the body.
    """

    status: int
    reason: str


class RequestRejectedError(LoadBalancerError):
    """Raised while parsing a request that is not acceptable.

    Attributes:
        rejection: The error response to send to the client.
    """

    def __init__(self, rejection: Rejection) -> None:
        super().__init__(rejection.reason)
        self.rejection = rejection
