"""How often requests arrive at this balancer."""

import math

from loadbalancer.settings import Settings

# The pause between requests is averaged over so many: the recent one and the usual one.
RECENT_REQUESTS = 30
USUAL_REQUESTS = 1_000


class ArrivalRate:
    """The mean pause between requests, of late and usually."""

    def __init__(self, settings: Settings) -> None:
        self._tick_ms = settings.tick_ms
        self._window_ms = settings.slow_start_window_ms
        self._count = 0
        self._last_at = 0.0
        self.started_at = math.inf  # when the first endpoint list came
        self.recent_pause_ms = 0.0  # mean over the last requests
        self.usual_pause_ms = 0.0  # mean over many more

    def start(self, now: float) -> None:
        """An endpoint list has come; the first one counts."""
        self.started_at = min(self.started_at, now)

    def record(self, now: float) -> None:
        """Count a request."""
        if self._count:
            pause = now - self._last_at
            self.recent_pause_ms += (pause - self.recent_pause_ms) / min(self._count, RECENT_REQUESTS)
            self.usual_pause_ms += (pause - self.usual_pause_ms) / min(self._count, USUAL_REQUESTS)
        self._count += 1
        self._last_at = now

    def recent_per_ms(self, now: float) -> float:
        """Requests a millisecond of late."""
        return self._per_ms(self.recent_pause_ms, RECENT_REQUESTS, now)

    def usual_per_ms(self, now: float) -> float:
        """Requests a millisecond, usually."""
        return self._per_ms(self.usual_pause_ms, USUAL_REQUESTS, now)

    def _per_ms(self, pause_ms: float, requests: int, now: float) -> float:
        """By the mean pause between so many requests, or by all since the start where fewer came."""
        if self._count >= requests:
            return 1.0 / (pause_ms + self._tick_ms / requests)
        return self._count / (now - self.started_at + self._window_ms)
