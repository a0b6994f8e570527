"""Lists of discovery are read without replacing what has not changed."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from loadbalancer.configuration import read_endpoint_list
from loadbalancer.network.discovery.list_reader import EndpointListReader
from tests.support.configurations import entry

if TYPE_CHECKING:
    from loadbalancer.configuration import EndpointList


def document(*entries: dict[str, Any], is_complete: bool = True) -> dict[str, Any]:
    return {"index": 2, "snapshot": is_complete, "endpoints": list(entries)}


def read(reader: EndpointListReader, document: dict[str, Any]) -> EndpointList:
    return reader.read(json.dumps(document).encode())


def test_unchanged_entries_are_reused() -> None:
    """Guards against a heap that grows in fragments: each complete list replaced thousands of objects."""
    known = read_endpoint_list(document(entry("s0", "127.0.0.1:1"), entry("s1", "127.0.0.1:2")))
    reader = EndpointListReader(known)
    changed = entry("s1", "127.0.0.1:2", status="terminating")
    endpoint_list = read(reader, document(entry("s0", "127.0.0.1:1"), changed, entry("s2", "127.0.0.1:3")))
    assert endpoint_list.endpoints[0] is known.endpoints[0]
    assert endpoint_list.endpoints[1] == read_endpoint_list(document(changed)).endpoints[0]
    delta = read(reader, document(changed, is_complete=False))
    assert delta.endpoints[0] is endpoint_list.endpoints[1]


def test_entry_at_another_address_is_a_new_one() -> None:
    reader = EndpointListReader(read_endpoint_list(document(entry("s0", "127.0.0.1:1"))))
    (moved,) = read(reader, document(entry("s0", "127.0.0.1:9"))).endpoints
    assert moved.address == ("127.0.0.1", 9)
