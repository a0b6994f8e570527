"""How often requests arrive at this balancer."""

import math

from loadbalancer.settings import Settings

# The pause between requests is averaged over so many: the recent one and the usual one.
SHORT_TERM_REQUESTS = 30
LONG_TERM_REQUESTS = 1_000


class ArrivalRate:
    """The mean pause between requests, of late and usually."""

    def __init__(self, settings: Settings) -> None:
        self._tick_ms = settings.tick_ms
        self._window_ms = settings.slow_start_window_ms
        self._count = 0
        self._last_at = 0.0
        self.started_at = math.inf  # when the first endpoint list came
        self.short_term_interarrival_ms = 0.0  # mean over the last requests
        self.long_term_interarrival_ms = 0.0  # mean over many more

    def start(self, now: float) -> None:
        """An endpoint list has come; the first one counts."""
        self.started_at = min(self.started_at, now)

    def record(self, now: float) -> None:
        """Count a request."""
        if self._count:
            pause = now - self._last_at
            self.short_term_interarrival_ms += (pause - self.short_term_interarrival_ms) / min(
                self._count, SHORT_TERM_REQUESTS
            )
            self.long_term_interarrival_ms += (pause - self.long_term_interarrival_ms) / min(
                self._count, LONG_TERM_REQUESTS
            )
        self._count += 1
        self._last_at = now

    def short_term_rate_per_ms(self, now: float) -> float:
        """Requests a millisecond of late."""
        return self._rate_per_ms(self.short_term_interarrival_ms, SHORT_TERM_REQUESTS, now)

    def long_term_rate_per_ms(self, now: float) -> float:
        """Requests a millisecond, usually."""
        return self._rate_per_ms(self.long_term_interarrival_ms, LONG_TERM_REQUESTS, now)

    def _rate_per_ms(self, pause_ms: float, requests: int, now: float) -> float:
        """By the mean pause between so many requests, or by all since the start where fewer came."""
        if self._count >= requests:
            return 1.0 / (pause_ms + self._tick_ms / requests)
        return self._count / (now - self.started_at + self._window_ms)
