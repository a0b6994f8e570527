"""Reads the JSON configuration of a balancer, and endpoint lists in the JSON format of discovery.

In the configuration, the settings of the policy are nested objects with the names of the simulator's wire.
They are flattened to the fields of the wire and read by `loadbalancer.settings_reader`, so that both hosts of
the policy interpret each setting in the same way.
"""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any, NamedTuple

from loadbalancer import settings_reader
from loadbalancer.endpoint_list_document import read_document
from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.errors import LoadBalancerError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from loadbalancer.settings import Settings

Address = tuple[str, int]
"""Host and port."""

DEFAULT_DESCRIPTOR_LIMIT = 1024
"""Limit on open file descriptors if the configuration sets none."""
DEFAULT_MEMORY_LIMIT_MB = 192
"""Limit on memory, in megabytes, if the configuration sets none."""
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0
"""Idle time after which upstreams close a connection, if `limits.connIdle` is not set."""
DEFAULT_DRAIN_GRACE_MS = 0.0
"""Time for which a draining upstream still accepts requests, if `contract.drainGrace` is not set."""
MAX_PORT = 65_535
"""The highest TCP port."""

_STATE_BY_STATUS = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
_EMPTY_ENDPOINT_LIST = {"index": 0, "snapshot": True, "endpoints": []}


class ConfigurationError(LoadBalancerError, ValueError):
    """The configuration is invalid.

    Attributes:
        reason: The cause, as a single line of text.
    """

    def __init__(self, reason: str) -> None:
        self.reason = " ".join(reason.split())
        super().__init__(self.reason)


class ConfigurationPathNotSetError(ConfigurationError):
    """The environment variable `LB_CONFIG` is missing or empty."""

    def __init__(self) -> None:
        super().__init__("LB_CONFIG is not set")


class MissingKeyError(ConfigurationError):
    """A required key of the configuration is missing."""

    def __init__(self, key: object) -> None:
        super().__init__(f"{key!r} is missing")


class InvalidAddressError(ConfigurationError):
    """A text is not an address of the form `host:port`."""

    def __init__(self, text: object) -> None:
        super().__init__(f"{text!r} is not an address of the form host:port")


_NESTED_TOO_DEEPLY = "nested too deeply"


class EndpointListError(LoadBalancerError, ValueError):
    """Base class of errors in a JSON endpoint list."""


class MalformedEndpointListError(EndpointListError):
    """A document is not an endpoint list: a key is missing, or a value is of the wrong type."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"not an endpoint list: {type(cause).__name__}: {cause}")


class NonFiniteEntryError(EndpointListError):
    """An entry of an endpoint list has a weight or a start time that is not finite."""

    def __init__(self, name: object) -> None:
        super().__init__(f"entry {name!r} has a weight or a start time that is not finite")


class EndpointListEntry(NamedTuple):
    """One entry of an endpoint list.

    Attributes:
        endpoint: The entry as the policy sees it.
        address: The address at which the upstream accepts connections.
    """

    endpoint: Endpoint
    address: Address


class EndpointList(NamedTuple):
    """One response of discovery: an endpoint list, or the changes to an earlier list.

    Attributes:
        version: The version of the list.
        is_complete: Whether this is a snapshot (the complete list) or a delta (changed entries only).
        endpoints: The entries.
    """

    version: int
    is_complete: bool
    endpoints: tuple[EndpointListEntry, ...]


class Configuration(NamedTuple):
    """The configuration of a balancer.

    Attributes:
        name: The name of the balancer in log lines; may be empty.
        listen: The address on which client connections are accepted.
        discovery: The address of the discovery service.
        seed: The seed of the policy's random draws.
        descriptor_limit: The number of file descriptors that the process may have open.
        memory_limit_mb: The amount of memory that the process may use.
        known_endpoints: The endpoint list to use until discovery responds; may be empty.
        settings: The settings of the policy.
        connect_timeout_ms: The timeout for connecting to an upstream.
        idle_timeout_ms: The idle time after which an upstream closes a connection.
        drain_grace_ms: The time for which a draining upstream still accepts requests.
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
        text: The configuration as JSON.
        warn: Called with a message for each unknown setting, which is ignored.

    Raises:
        ConfigurationError: The text is not valid JSON, a key is missing, or a value is invalid.
    """
    try:
        return _read_document(json.loads(text), warn)
    except ConfigurationError:
        raise
    except KeyError as error:
        raise MissingKeyError(error.args[0]) from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigurationError(str(error)) from None
    except RecursionError:
        raise ConfigurationError(_NESTED_TOO_DEEPLY) from None


def read_endpoint_list(document: Mapping[str, Any]) -> EndpointList:
    """Read an endpoint list from a document in the format of discovery.

    Raises:
        EndpointListError: The document is not an endpoint list.
        InvalidAddressError: The address of an entry is not of the form `host:port`.
    """
    try:
        endpoints = tuple([_read_endpoint(entry) for entry in document["endpoints"]])
        return EndpointList(int(document["index"]), bool(document["snapshot"]), endpoints)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise MalformedEndpointListError(error) from None


def decode_endpoint_list(
    body: bytes, replace: Callable[[EndpointListEntry], EndpointListEntry] | None = None
) -> EndpointList:
    """Read an endpoint list from JSON in the format of discovery.

    Args:
        body: The JSON text.
        replace: Returns the entry to use in place of one that was read.

    Raises:
        EndpointListError: The document is not an endpoint list.
        InvalidAddressError: The address of an entry is not of the form `host:port`.
        ValueError: The text is not JSON.
    """
    try:
        document = read_document(
            body,
            "endpoints",
            lambda entry: replace(_read_endpoint(entry)) if replace else _read_endpoint(entry),
        )
        endpoints = _require_list(document["endpoints"])
        return EndpointList(int(document["index"]), bool(document["snapshot"]), tuple(endpoints))
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise MalformedEndpointListError(error) from None


def read_address(text: object) -> Address:
    """Split an address of the form `host:port`; the host is not resolved.

    Raises:
        InvalidAddressError: The text is not of this form.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise InvalidAddressError(text)
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
        known_endpoints=read_endpoint_list(document.get("known") or _EMPTY_ENDPOINT_LIST),
        settings=settings_reader.read_settings(fields, warn),
        connect_timeout_ms=settings_reader.read_number(
            fields, "limits.connectTimeout", settings_reader.DEFAULT_CONNECT_TIMEOUT_MS
        ),
        idle_timeout_ms=settings_reader.read_number(fields, "limits.connIdle", DEFAULT_IDLE_TIMEOUT_MS),
        drain_grace_ms=settings_reader.read_number(fields, "contract.drainGrace", DEFAULT_DRAIN_GRACE_MS),
    )


def _require_list(value: object) -> list[EndpointListEntry]:
    if not isinstance(value, list):
        raise TypeError(type(value).__name__)
    return value


def _read_endpoint(entry: Mapping[str, Any]) -> EndpointListEntry:
    weight = float(entry.get("weight") or 1.0)
    started_at_ms = float(entry.get("since_ms") or 0.0)
    if not (math.isfinite(weight) and math.isfinite(started_at_ms)):
        raise NonFiniteEntryError(entry["name"])
    endpoint = Endpoint(
        name=str(entry["name"]),
        state=_STATE_BY_STATUS[entry["status"]],
        zone=str(entry.get("zone", "")),
        cell=int(entry.get("group") or 0),
        weight=weight,
        started_at_ms=started_at_ms,
    )
    return EndpointListEntry(endpoint, read_address(entry["address"]))


def _flatten(value: object, path: str, fields: settings_reader.Fields) -> None:
    """Add a nested setting to `fields` in the format of the wire.

    The keys of nested objects are joined by dots. A list of objects becomes one field with the length of the
    list, and the fields of each object, with the index of the object in their paths. Any other list becomes
    one field with its values joined by commas.

    Args:
        value: The setting: an object, a list or a scalar; null means that the setting is absent.
        path: The path of the setting; empty for the object that contains all settings.
        fields: The fields to add to.
    """
    if isinstance(value, dict):
        for name, nested in value.items():
            _flatten(nested, f"{path}.{name}" if path else str(name), fields)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        fields[f"{path}.count"] = str(len(value))
        for i, item in enumerate(value):
            _flatten(item, f"{path}.{i}", fields)
    elif isinstance(value, list):
        fields[path] = ",".join(map(_to_wire_text, value))
    elif value is not None:
        fields[path] = _to_wire_text(value)


def _to_wire_text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
