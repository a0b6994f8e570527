"""Reads the endpoint lists of discovery."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.configuration import decode_endpoint_list

if TYPE_CHECKING:
    from loadbalancer.configuration import EndpointList, EndpointListEntry


class EndpointListReader:
    """Reads lists; entries that have not changed are those of earlier lists.

    A complete list of thousands of entries would otherwise replace as many objects each time, whose memory
    the allocator gets back in fragments.

    Args:
        known: The endpoint list that is known at startup.
    """

    def __init__(self, known: EndpointList) -> None:
        self._entries: dict[str, EndpointListEntry] = {}
        self._remember(known)

    def read(self, body: bytes) -> EndpointList:
        """Read a list in the JSON format of discovery; see `decode_endpoint_list`."""
        endpoint_list = decode_endpoint_list(body, self._known_entry)
        self._remember(endpoint_list)
        return endpoint_list

    def _known_entry(self, entry: EndpointListEntry) -> EndpointListEntry:
        known = self._entries.get(entry.endpoint.name)
        return known if known == entry else entry

    def _remember(self, endpoint_list: EndpointList) -> None:
        entries = {entry.endpoint.name: entry for entry in endpoint_list.endpoints}
        if endpoint_list.is_complete:
            self._entries = entries
        else:
            self._entries |= entries
