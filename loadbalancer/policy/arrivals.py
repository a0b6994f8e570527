"""The short-term and the long-term arrival rate of requests at this balancer."""

import math

from loadbalancer.settings import Settings

SHORT_TERM_REQUESTS = 30
"""Number of requests in the short-term mean; it adapts within seconds at tens of requests per second."""
LONG_TERM_REQUESTS = 1_000
"""Number of requests in the long-term mean; a burst of tens of requests hardly changes it."""


class ArrivalRate:
    """Estimates the mean interarrival time and the arrival rate of requests.

    The mean of the first N intervals is arithmetic; from then on it is an exponential moving average in which
    each new interval has the weight 1/N. N is SHORT_TERM_REQUESTS or LONG_TERM_REQUESTS.

    Attributes:
        started_at: When the first endpoint list arrived; infinity before that.
        short_term_interarrival_ms: Mean interval over the last SHORT_TERM_REQUESTS requests; 0 before the
            second request.
        long_term_interarrival_ms: Mean interval over the last LONG_TERM_REQUESTS requests; 0 before the
            second request.
    """

    def __init__(self, settings: Settings) -> None:
        self._tick_ms = settings.tick_ms
        self._window_ms = settings.slow_start_window_ms
        self._count = 0
        self._last_arrival_at = 0.0
        self.started_at = math.inf
        self.short_term_interarrival_ms = 0.0
        self.long_term_interarrival_ms = 0.0

    def record_endpoint_list(self, now: float) -> None:
        """Record that an endpoint list has arrived; only the first call has an effect."""
        self.started_at = min(self.started_at, now)

    def record(self, now: float) -> None:
        """Count a request that arrives now."""
        if self._count:
            interval_ms = now - self._last_arrival_at
            short_term_weight = min(self._count, SHORT_TERM_REQUESTS)
            long_term_weight = min(self._count, LONG_TERM_REQUESTS)
            self.short_term_interarrival_ms += (
                interval_ms - self.short_term_interarrival_ms
            ) / short_term_weight
            self.long_term_interarrival_ms += (
                interval_ms - self.long_term_interarrival_ms
            ) / long_term_weight
        self._count += 1
        self._last_arrival_at = now

    def short_term_rate_per_ms(self, now: float) -> float:
        """Return the mean rate over the last SHORT_TERM_REQUESTS requests."""
        return self._rate_per_ms(self.short_term_interarrival_ms, SHORT_TERM_REQUESTS, now)

    def long_term_rate_per_ms(self, now: float) -> float:
        """Return the mean rate over the last LONG_TERM_REQUESTS requests."""
        return self._rate_per_ms(self.long_term_interarrival_ms, LONG_TERM_REQUESTS, now)

    def _rate_per_ms(self, interarrival_ms: float, request_count: int, now: float) -> float:
        """Return the inverse of a mean interarrival time over the given number of requests.

        The clock's resolution, divided by the number of requests, is added to the mean interarrival time,
        which is 0 if all requests arrive within one clock tick.

        If fewer requests than the given number have arrived, the rate is their count divided by the sum of
        the time since `started_at` and one slow-start window. Adding the window prevents the first few
        requests from yielding a very high rate.
        """
        if self._count >= request_count:
            return 1.0 / (interarrival_ms + self._tick_ms / request_count)
        return self._count / (now - self.started_at + self._window_ms)
