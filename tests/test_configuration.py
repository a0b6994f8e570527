"""Errors in configurations and in endpoint lists."""

from __future__ import annotations

import json
import tracemalloc
from typing import TYPE_CHECKING, Any

import pytest

from loadbalancer.configuration import (
    ConfigurationError,
    EndpointListError,
    InvalidAddressError,
    MalformedEndpointListError,
    MissingKeyError,
    NonFiniteEntryError,
    decode_endpoint_list,
    read_address,
    read_configuration,
    read_endpoint_list,
)
from tests.support.configurations import config_text, entry

if TYPE_CHECKING:
    from loadbalancer.errors import LoadBalancerError


def read_document(document: dict[str, Any]) -> None:
    read_configuration(json.dumps(document), lambda warning: None)


@pytest.mark.parametrize("key", ["listen", "discovery", "settings"])
def test_missing_key_is_named_in_error(key: str) -> None:
    document = json.loads(config_text("127.0.0.1:9", []))
    del document[key]
    with pytest.raises(MissingKeyError, match=f"^'{key}' is missing$"):
        read_document(document)


@pytest.mark.parametrize("text", ["nowhere", ":80", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:-1", None])
def test_invalid_address_is_rejected(text: str | None) -> None:
    with pytest.raises(InvalidAddressError, match=r"is not an address of the form host:port$"):
        read_address(text)


@pytest.mark.parametrize(
    ("settings", "reason"),
    [
        ({"tick": "soon"}, "field 'tick' holds 'soon', which is no number"),
        ({"classes": []}, "field 'classes.count' is missing"),
        ({"tick": 0.0}, "tick_ms is 0.0: it must be above 0"),
    ],
)
def test_invalid_setting_is_named_in_error(settings: dict[str, Any], reason: str) -> None:
    with pytest.raises(ConfigurationError) as raised:
        read_document(json.loads(config_text("127.0.0.1:9", [], **settings)))
    assert raised.value.reason == str(raised.value) == reason


def test_error_message_is_one_line() -> None:
    with pytest.raises(ConfigurationError) as raised:
        read_configuration("not\nJSON", lambda warning: None)
    assert "\n" not in str(raised.value)


@pytest.mark.parametrize(
    ("entries", "error", "reason"),
    [
        ([{"name": "s0"}], MalformedEndpointListError, "not an endpoint list: KeyError: 'status'"),
        ([None], MalformedEndpointListError, "not an endpoint list: AttributeError"),
        (
            [entry("s0", "127.0.0.1:9", weight=float("inf"))],
            NonFiniteEntryError,
            "entry 's0' has a weight or a start time",
        ),
        ([entry("s0", "nowhere")], InvalidAddressError, "'nowhere' is not an address"),
    ],
)
def test_invalid_endpoint_list_entry_is_rejected(
    entries: list[Any], error: type[LoadBalancerError], reason: str
) -> None:
    with pytest.raises(error, match=reason) as raised:
        read_endpoint_list({"index": 1, "snapshot": True, "endpoints": entries})
    assert isinstance(raised.value, ValueError)


def list_document(entry_count: int) -> dict[str, Any]:
    entries = [
        entry(f"s-{number:08x}", f"10.1.0.1:{number}", since_ms=number, extra={"name": "x", "address": [1]})
        for number in range(entry_count)
    ]
    return {"snapshot": True, "endpoints": entries, "index": 41, "more": [{}, None]}


@pytest.mark.parametrize("indent", [None, 0, 4])
@pytest.mark.parametrize("encoding", ["utf-8", "utf-8-sig", "utf-16"])
@pytest.mark.parametrize("entry_count", [0, 1, 50])
def test_decoded_list_is_that_of_the_document(entry_count: int, encoding: str, indent: int | None) -> None:
    document = list_document(entry_count)
    body = (" \n" + json.dumps(document, indent=indent) + "\r\n").encode(encoding)
    assert decode_endpoint_list(body) == read_endpoint_list(document)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "{",
        "{}",
        '{"index": 1, "snapshot": true, "endpoints": [],}',
        '{"index": 1, "snapshot": true, "endpoints": [] "x": 1}',
        '{"index": 1, "snapshot": true, "endpoints": []} x',
        '{"index": 1, "snapshot": true, "endpoints": [{}',
        '{"index": 1, "snapshot": true, "endpoints": [{}]}',
        '{"index": 1, "snapshot": true, "endpoints": [1,]}',
        '{"index": 1, "snapshot": true, "endpoints": {}}',
        '{"index": 1, "snapshot": true, "endpoints": null}',
        '{"index": 1, "snapshot": true}',
        '{"index": [], "snapshot": true, "endpoints": []}',
        '{1: 1, "index": 1, "snapshot": true, "endpoints": []}',
        '{"index": 1, "snapshot": true, "endpoints": ' + "[" * 100_000,
    ],
)
def test_invalid_list_text_is_rejected(text: str) -> None:
    with pytest.raises((EndpointListError, ValueError, RecursionError)):
        decode_endpoint_list(text.encode())


def test_memory_of_list_that_is_read_is_bounded() -> None:
    """Guards against all decoded entries at once: with 3,200 and 32 MB the process passed its limit."""
    body = json.dumps(list_document(3_200), indent=4).encode()
    tracemalloc.start()
    try:
        endpoint_list = decode_endpoint_list(body)
        entries_bytes, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(endpoint_list.endpoints) == 3_200
    assert peak_bytes < len(body) + entries_bytes + 100_000, "besides the text and the entries, a constant"
