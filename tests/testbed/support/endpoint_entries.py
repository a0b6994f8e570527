"""Endpoint lists for the tests of the testbed."""

from __future__ import annotations

from testbed.settings import EndpointEntry, endpoint_entry


def three_entries() -> list[EndpointEntry]:
    return [endpoint_entry(f"s{i}", f"127.0.0.1:{5000 + i}") for i in range(3)]
