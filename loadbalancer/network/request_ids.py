"""The ids of open and recently finished requests, to detect duplicates."""

from __future__ import annotations

import time

GENERATION_S = 5.0
"""Length of a generation; ids of finished requests are remembered for one to two generations."""

MAX_FINISHED_IDS = 4_096
"""Maximum number of ids of finished requests in a generation; when it is reached, the next one begins."""


class RequestIds:
    """The X-Request-Ids in use: those of open requests, and of requests that finished recently.

    A second request with the same id, from the same client or another one, is rejected: a duplicate could
    take effect twice. Ids of finished requests are remembered in two generations, which bounds their number
    and age.
    """

    def __init__(self) -> None:
        self._open: set[int] = set()
        self._recent: set[int] = set()
        self._older: set[int] = set()
        self._generation_started_at_s = time.monotonic()

    @property
    def open_count(self) -> int:
        """The number of ids of open requests."""
        return len(self._open)

    @property
    def finished_count(self) -> int:
        """The number of remembered ids of finished requests."""
        return len(self._recent) + len(self._older)

    def add(self, request_id: bytes) -> bool:
        """Add the id of a new request; return false if the id is in use."""
        key = hash(request_id)
        if key in self._open or key in self._recent or key in self._older:
            return False
        self._open.add(key)
        return True

    def finish(self, request_id: bytes) -> None:
        """Mark the id of an open request as finished; the request must have no running attempt."""
        key = hash(request_id)
        self._open.discard(key)
        now_s = time.monotonic()
        age_s = now_s - self._generation_started_at_s
        if len(self._recent) >= MAX_FINISHED_IDS or age_s > GENERATION_S:
            self._older = self._recent if age_s <= 2 * GENERATION_S else set()
            self._recent = set()
            self._generation_started_at_s = now_s
        self._recent.add(key)
