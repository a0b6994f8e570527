"""The timers that the policy sets.

The host of the policy receives a timer in a `SetTimer` action and returns it unchanged in a `TimerFired`
event. The policy never cancels a timer. It ignores the event of a timer that is no longer needed.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointListTimer:
    """The backoff after a failed poll of the endpoint list has ended: poll again."""


@dataclass(frozen=True, slots=True)
class HedgeTimer:
    """The hedging delay of a request's first attempt has ended: a hedged attempt may start.

    Attributes:
        request_id: The id from `RequestReceived`.
    """

    request_id: int


Timer = EndpointListTimer | HedgeTimer
