"""The rate at which requests arrive at this replica, in the short and in the long term."""

import math

from loadbalancer.settings import Settings

# Requests over which the interarrival time is averaged. Short term: a change shows within seconds at tens
# of requests a second. Long term: the baseline, which a burst of tens of requests hardly moves.
SHORT_TERM_REQUESTS = 30
LONG_TERM_REQUESTS = 1_000


class ArrivalRate:
    """Estimates the mean interarrival time of requests, and from it their rate.

    The first N intervals give an arithmetic mean; after that, each one enters an exponential moving average
    with the weight 1/N. N is SHORT_TERM_REQUESTS or LONG_TERM_REQUESTS.

    Attributes:
        started_at: When the first endpoint list arrived; infinity before that.
        short_term_interarrival_ms: Mean interval over the last SHORT_TERM_REQUESTS; 0 before the second
            request.
        long_term_interarrival_ms: Mean interval over the last LONG_TERM_REQUESTS.
    """

    def __init__(self, settings: Settings) -> None:
        self._tick_ms = settings.tick_ms
        self._window_ms = settings.slow_start_window_ms
        self._count = 0
        self._last_at = 0.0
        self.started_at = math.inf
        self.short_term_interarrival_ms = 0.0
        self.long_term_interarrival_ms = 0.0

    def start(self, now: float) -> None:
        """Record that an endpoint list arrived; only the first one counts."""
        self.started_at = min(self.started_at, now)

    def record(self, now: float) -> None:
        """Count a request that arrives now."""
        if self._count:
            interval_ms = now - self._last_at
            short_term_weight = min(self._count, SHORT_TERM_REQUESTS)
            long_term_weight = min(self._count, LONG_TERM_REQUESTS)
            self.short_term_interarrival_ms += (
                interval_ms - self.short_term_interarrival_ms
            ) / short_term_weight
            self.long_term_interarrival_ms += (
                interval_ms - self.long_term_interarrival_ms
            ) / long_term_weight
        self._count += 1
        self._last_at = now

    def short_term_rate_per_ms(self, now: float) -> float:
        """Return the requests per millisecond over the last SHORT_TERM_REQUESTS."""
        return self._rate_per_ms(self.short_term_interarrival_ms, SHORT_TERM_REQUESTS, now)

    def long_term_rate_per_ms(self, now: float) -> float:
        """Return the requests per millisecond over the last LONG_TERM_REQUESTS."""
        return self._rate_per_ms(self.long_term_interarrival_ms, LONG_TERM_REQUESTS, now)

    def _rate_per_ms(self, interarrival_ms: float, requests: int, now: float) -> float:
        """Return the inverse of a mean interarrival time over the given number of requests.

        With fewer requests than that, the rate is their number over the time since the start plus one
        slow-start window; the window keeps a rate taken in the first moments low. Otherwise the clock's
        resolution over the number of requests is added to the mean interarrival time.

        Guards against an infinite rate: the mean is 0 if all the requests arrive in one tick of the clock.
        """
        if self._count >= requests:
            return 1.0 / (interarrival_ms + self._tick_ms / requests)
        return self._count / (now - self.started_at + self._window_ms)
