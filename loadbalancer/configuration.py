"""The configuration that a balancer starts with: the file that `LB_CONFIG` names, as typed values.

The settings have the names of the simulator's wire, nested. They are flattened to the wire's own form and
read by `loadbalancer.settings_reader`, so that the simulator and the real balancer cannot come to differ.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from loadbalancer import settings_reader
from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.settings import Settings

Address = tuple[str, int]
"""Host and port."""

DEFAULT_DESCRIPTOR_LIMIT = 1024
DEFAULT_MEMORY_LIMIT_MB = 192
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0
DEFAULT_DRAIN_GRACE_MS = 0.0
MAX_PORT = 65_535

_STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
_NO_ENDPOINTS = {"index": 0, "snapshot": True, "endpoints": []}


class ConfigurationError(ValueError):
    """The configuration can't be used; the text is one plain line."""


class EndpointListError(ValueError):
    """What should be an endpoint list in discovery's form is none."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One entry of an endpoint list: what the policy sees of the endpoint, and where to reach it."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One response of discovery.

    Attributes:
        index: The version of the list.
        is_complete: Whether it is a snapshot of the whole list; else it holds what changed.
        endpoints: Its entries.
    """

    index: int
    is_complete: bool
    endpoints: tuple[ListedEndpoint, ...]


@dataclass(frozen=True, slots=True)
class Configuration:
    """All that a balancer is configured with.

    Attributes:
        name: Its name in log lines; may be empty.
        listen: Where to accept clients.
        discovery: Where to ask for the endpoint list.
        seed: Of all its random draws.
        descriptor_limit: How many file descriptors it may have open.
        memory_limit_mb: How much memory it may take.
        known_endpoints: The endpoint list as it was known before the start.
        settings: What the policy is configured with.
        connect_timeout_ms: The longest wait for a connection to an upstream.
        idle_timeout_ms: An upstream closes a connection that has been idle for so long.
        drain_grace_ms: A draining upstream still accepts requests for so long.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    descriptor_limit: int
    memory_limit_mb: float
    known_endpoints: EndpointList
    settings: Settings
    connect_timeout_ms: float
    idle_timeout_ms: float
    drain_grace_ms: float


def read_configuration(text: str, warn: Callable[[str], None]) -> Configuration:
    """Read a configuration.

    Args:
        text: The JSON text.
        warn: Called with a line for each setting that is not understood and passed over.

    Raises:
        ConfigurationError: The text can't be used.
    """
    try:
        return _read_document(json.loads(text), warn)
    except KeyError as error:
        raise ConfigurationError(f"{error} is missing") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigurationError(" ".join(str(error).split())) from None


def read_endpoint_list(document: Mapping[str, Any]) -> EndpointList:
    """Read an endpoint list in discovery's form.

    Raises:
        EndpointListError: It is no endpoint list.
        ConfigurationError: It holds something that is no address.
    """
    try:
        endpoints = tuple([_read_endpoint(entry) for entry in document["endpoints"]])
        return EndpointList(int(document["index"]), bool(document["snapshot"]), endpoints)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"not a server list: {type(error).__name__}: {error}") from None


def read_address(text: object) -> Address:
    """Read `host:port`; the host is not looked up.

    Raises:
        ConfigurationError: The text has another form.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigurationError(f"{text!r} is no address of the form host:port")
    return host.strip("[]"), int(port)


def _read_document(document: Mapping[str, Any], warn: Callable[[str], None]) -> Configuration:
    limits = {name: value for name, value in (document.get("limits") or {}).items() if value is not None}
    fields: settings_reader.Fields = {}
    _flatten(document["settings"], "", fields)
    return Configuration(
        name=str(document.get("name") or ""),
        listen=read_address(document["listen"]),
        discovery=read_address(document["discovery"]),
        seed=int(str(document.get("seed") or "0"), 16),
        descriptor_limit=int(limits.get("sockets", DEFAULT_DESCRIPTOR_LIMIT)),
        memory_limit_mb=float(limits.get("memory_mb", DEFAULT_MEMORY_LIMIT_MB)),
        known_endpoints=read_endpoint_list(document.get("known") or _NO_ENDPOINTS),
        settings=settings_reader.read_settings(fields, warn),
        connect_timeout_ms=settings_reader.number(
            fields, "limits.connectTimeout", settings_reader.DEFAULT_CONNECT_TIMEOUT_MS
        ),
        idle_timeout_ms=settings_reader.number(fields, "limits.connIdle", DEFAULT_IDLE_TIMEOUT_MS),
        drain_grace_ms=settings_reader.number(fields, "contract.drainGrace", DEFAULT_DRAIN_GRACE_MS),
    )


def _read_endpoint(entry: Mapping[str, Any]) -> ListedEndpoint:
    weight = float(entry.get("weight") or 1.0)
    started_at_ms = float(entry.get("since_ms") or 0.0)
    if not (math.isfinite(weight) and math.isfinite(started_at_ms)):
        raise EndpointListError(f"entry {entry['name']!r} holds figures that are none")
    endpoint = Endpoint(
        name=str(entry["name"]),
        state=_STATES[entry["status"]],
        zone=str(entry.get("zone", "")),
        cell=int(entry.get("group") or 0),
        weight=weight,
        started_at_ms=started_at_ms,
    )
    return ListedEndpoint(endpoint, read_address(entry["address"]))


def _flatten(value: object, path: str, fields: settings_reader.Fields) -> None:
    """Add nested settings to `fields` as the wire's path=value pairs, each path under the given one."""
    if isinstance(value, dict):
        for name, inner in value.items():
            _flatten(inner, f"{path}.{name}" if path else str(name), fields)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        fields[f"{path}.count"] = str(len(value))
        for i, item in enumerate(value):
            _flatten(item, f"{path}.{i}", fields)
    elif isinstance(value, list):
        fields[path] = ",".join(map(_wire_text, value))
    elif value is not None:
        fields[path] = _wire_text(value)


def _wire_text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
