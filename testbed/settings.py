"""Generates settings, endpoint lists and configurations (formats: PROTOCOL, WIRE and DEPLOY pages)."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING, Any, TypedDict

if TYPE_CHECKING:
    from collections.abc import Sequence

    from loadbalancer.configuration import Address


class EndpointEntry(TypedDict):
    """One entry of the endpoint list, in the format of the PROTOCOL page."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float
    since_ms: int


REQUEST_CLASSES: tuple[dict[str, Any], ...] = (
    {"name": "look-up", "effect": "retryable", "target": 400.0, "deadline": 2000.0, "worth": 1.0},
    {"name": "store", "effect": "dedup", "target": 600.0, "deadline": 2500.0, "worth": 2.0},
    {"name": "order", "effect": "fragile", "target": 800.0, "deadline": 3000.0, "worth": 4.0},
)
"""The request classes of all settings, with the names and units of the WIRE page."""

IDEMPOTENCY_WINDOW_MS = 3000.0
LIMITS: dict[str, Any] = {
    "attemptsCap": 4,
    "connIdle": 30_000.0,
    "connectTimeout": 250.0,
    "mayCancel": True,
    "mayDuplicate": False,
    "probes": True,
    "retryAfter": True,
    "maxRetryAfter": 2_000.0,
}
CONTRACT: dict[str, Any] = {
    "askWithin": 10_000.0,
    "cold": 8_000.0,
    "coldFrom": 0.3,
    "drainGrace": 750.0,
    "graceToAnswer": 20.0,
    "overloadFactor": 3.0,
    "tipAfter": 1_000.0,
}
RESOURCE_LIMITS = {"cores": 1.0, "memory_mb": 256, "sockets": 1024}
"""The resource limits of each balancer: cores, memory in MB and file descriptors."""

ENDPOINT_TYPES = ("m1", "m2", "m4")
ENDPOINT_WEIGHTS = (1.0, 1.0, 1.0, 2.0)
"""The weights of endpoints, drawn uniformly: about a quarter of the endpoints have double weight."""

ENDPOINT_PORT = 5000
HOSTS_PER_OCTET = 250
"""The last octet of a loopback host is from 1 to 250, and the third octet from 0 to 249."""


def balancer_settings(
    *, balancers: int, tier: int = 0, pushed: bool = True, zone: str = "", **overrides: Any
) -> dict[str, Any]:
    """Return the settings of one balancer as nested JSON, with the names and units of the WIRE page.

    Args:
        balancers: The number of balancers in the tier.
        tier: The tier of the balancer; tier 0 faces the clients.
        pushed: Whether discovery pushes lists; otherwise the balancer polls for them.
        zone: The balancer's zone.
        overrides: Top-level settings that replace the defaults, except `limits` and `contract`, which are
            merged into the defaults.
    """
    settings: dict[str, Any] = {
        "balancers": balancers,
        "tier": tier,
        "zone": zone,
        "discovery": "push" if pushed else "ask",
        "classes": [
            request_class | {"keyScope": "all", "repeatWindow": IDEMPOTENCY_WINDOW_MS}
            for request_class in REQUEST_CLASSES
        ],
        "tick": 1.0,
        "overShareWorth": 0.1,
        "weights": "nominal",
        "telemetry": {"how": "none"},
        "limits": LIMITS,
        "contract": CONTRACT,
    }
    for name, value in overrides.items():
        is_merged = name in ("limits", "contract")
        settings[name] = settings[name] | value if is_merged else value
    return settings


def format_address(address: Address | str) -> str:
    """Format an address as `host:port`."""
    return address if isinstance(address, str) else f"{address[0]}:{address[1]}"


def configuration_text(
    name: str,
    listen: Address | str,
    discovery: Address | str,
    cached_entries: Sequence[EndpointEntry],
    settings: dict[str, Any],
    *,
    seed: int,
    list_version: int = 0,
    resource_limits: dict[str, Any] = RESOURCE_LIMITS,
) -> str:
    """Return the text of the file that `LB_CONFIG` names (DEPLOY page).

    Args:
        name: The balancer's name.
        listen: Where it listens.
        discovery: The address of its discovery agent.
        cached_entries: The cached endpoint list; if it is empty, the balancer first requests a snapshot.
        settings: The balancer's settings, from `balancer_settings`.
        seed: The seed of its random numbers.
        list_version: The version of `cached_entries`.
        resource_limits: The resource limits of the balancer.
    """
    configuration = {
        "name": name,
        "listen": format_address(listen),
        "discovery": format_address(discovery),
        "seed": f"{seed:016x}",
        "limits": resource_limits,
        "known": {"index": list_version, "snapshot": True, "endpoints": list(cached_entries)},
        "settings": settings,
    }
    return json.dumps(configuration)


def endpoint_entry(
    name: str,
    address: Address | str,
    *,
    zone: str = "r0-z0",
    endpoint_type: str = ENDPOINT_TYPES[0],
    group: int = 0,
    weight: float = 1.0,
) -> EndpointEntry:
    """Return one entry of the endpoint list, which has been in service since Unix time 0."""
    return {
        "name": name,
        "address": format_address(address),
        "zone": zone,
        "type": endpoint_type,
        "group": group,
        "status": "in_service",
        "weight": weight,
        "since_ms": 0,
    }


def loopback_host(number: int, second_octet: int = 64) -> str:
    """Return the loopback host with the given number, counted up from 127.`second_octet`.0.1."""
    high, low = divmod(number, HOSTS_PER_OCTET * HOSTS_PER_OCTET)
    middle, last = divmod(low, HOSTS_PER_OCTET)
    return f"127.{second_octet + high}.{middle}.{last + 1}"


def endpoint_entries(
    count: int,
    zones: int = 29,
    regions: int = 8,
    *,
    groups: int = 4,
    seed: int = 1,
    addresses: Sequence[Address | str] | None = None,
) -> list[EndpointEntry]:
    """Return entries spread evenly over the zones, which are spread over the regions.

    Args:
        count: The number of entries.
        zones: The number of zones, named `r<region>-z<zone>`.
        regions: The number of regions.
        groups: The number of groups in each zone; no two zones share a group.
        seed: The seed of names, types and weights.
        addresses: The entries' addresses; by default each entry has a different loopback host, on which
            nothing listens.
    """
    rng = random.Random(seed)
    names: dict[str, None] = {}  # a dict keeps the order, unlike a set
    while len(names) < count:
        names[f"s-{rng.getrandbits(32):08x}"] = None
    entries = []
    for i, name in enumerate(names):
        zone, index_in_zone = i % zones, i // zones
        entries.append(
            endpoint_entry(
                name,
                addresses[i] if addresses else (loopback_host(i), ENDPOINT_PORT),
                zone=f"r{zone % regions}-z{zone}",
                endpoint_type=rng.choice(ENDPOINT_TYPES),
                group=zone * groups + index_in_zone % groups,
                weight=rng.choice(ENDPOINT_WEIGHTS),
            )
        )
    return entries
