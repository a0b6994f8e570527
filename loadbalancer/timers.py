"""The timers that the policy sets: typed values that come back unchanged when they fire.

A timer travels to the policy's host in a `SetTimer` action and back in a `TimerFired` event. One that has
become pointless isn't cancelled: the policy ignores it when it fires.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointListTimer:
    """It is time to ask for the endpoint list again, after a failure."""


@dataclass(frozen=True, slots=True)
class HedgeTimer:
    """The first attempt of a request has been out for so long that a hedged one may follow.

    Attributes:
        request_id: The request, as `RequestReceived` named it.
    """

    request_id: int


Timer = EndpointListTimer | HedgeTimer
