"""The versioned endpoint list of discovery, and the bodies of its responses."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from testbed.settings import EndpointEntry

NO_VERSION = -1
"""The known version of a balancer that has no list yet."""

MAX_REMEMBERED_CHANGES = 20_000
"""The maximum number of remembered changes; a balancer whose list is older receives a snapshot."""

REMOVED = "terminated"
"""The status of an entry that is no longer in the list."""


@dataclass(frozen=True, slots=True)
class ListResponse:
    """The response to a balancer that has a certain version of the list.

    Attributes:
        body: The JSON text.
        entry_count: The number of entries in the body.
        is_snapshot: Whether the entries are the complete list; otherwise they are only the changed entries.
    """

    body: bytes
    entry_count: int
    is_snapshot: bool


class EndpointHistory:
    """The endpoint list, its version, and the latest change of each entry.

    Attributes:
        version: The version of the list.
    """

    def __init__(self) -> None:
        self.version = 0
        self._entries: dict[str, EndpointEntry] = {}
        self._changes: dict[str, tuple[int, EndpointEntry]] = {}  # by name, in the order of the changes
        self._oldest_version = 0  # all changes after this version are remembered
        self._responses: dict[int, ListResponse] = {}  # for the current version, by known version

    @property
    def entries(self) -> list[EndpointEntry]:
        """The complete current list."""
        return list(self._entries.values())

    def replace_entries(self, entries: Iterable[EndpointEntry]) -> None:
        """Replace the list; every balancer receives a snapshot of the new list."""
        self._entries = {entry["name"]: entry for entry in entries}
        self._changes.clear()
        self._oldest_version = self.version + 1
        self._advance_version()

    def apply_changes(self, entries: Iterable[EndpointEntry]) -> None:
        """Create a new version of the list.

        Args:
            entries: The entries that are new or have changed, and removed ones with the status `terminated`.
        """
        for entry in entries:
            name = entry["name"]
            if entry["status"] == REMOVED:
                self._entries.pop(name, None)
            else:
                self._entries[name] = entry
            self._changes.pop(name, None)
            self._changes[name] = self.version + 1, entry
        while len(self._changes) > MAX_REMEMBERED_CHANGES:
            oldest_name = next(iter(self._changes))
            self._oldest_version = self._changes.pop(oldest_name)[0]
        self._advance_version()

    def _advance_version(self) -> None:
        self.version += 1
        self._responses.clear()

    def response_after(self, known_version: int) -> ListResponse:
        """Return the response to a balancer that has a certain version, or `NO_VERSION` if it has no list."""
        response = self._responses.get(known_version)
        if response is None:
            response = self._responses[known_version] = self._build_response(known_version)
        return response

    def _build_response(self, known_version: int) -> ListResponse:
        is_snapshot = not self._oldest_version <= known_version <= self.version
        entries = self.entries if is_snapshot else list(self._changes_after(known_version))
        content = {"index": self.version, "snapshot": is_snapshot, "endpoints": entries}
        body = json.dumps(content, separators=(",", ":")).encode()
        return ListResponse(body, len(entries), is_snapshot)

    def _changes_after(self, known_version: int) -> Iterator[EndpointEntry]:
        """Yield the entries that changed after a version, the latest change first."""
        for version, entry in reversed(self._changes.values()):
            if version <= known_version:
                return
            yield entry

    def is_outdated(self, known_version: int) -> bool:
        """Whether a version is not the current one: an older version, or one that was never created."""
        return known_version != self.version
