"""The timers that the policy sets: typed values that come back with the event of their firing."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointListTimer:
    """It is time to poll the endpoint list again."""


@dataclass(frozen=True, slots=True)
class HedgeTimer:
    """The first attempt of a request has been out for so long that a hedged one may follow."""

    request_id: int


Timer = EndpointListTimer | HedgeTimer
