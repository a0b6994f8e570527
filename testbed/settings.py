"""Made-up settings, lists and configurations in the forms of the PROTOCOL, WIRE and DEPLOY pages."""

from __future__ import annotations

import json
import random
from collections.abc import Sequence
from typing import Any

from loadbalancer.configuration import Address

Entry = dict[str, Any]
"""One entry of discovery's list, as the PROTOCOL page shows it."""

CLASSES: tuple[dict[str, Any], ...] = (
    {"name": "look-up", "effect": "retryable", "target": 400.0, "deadline": 2000.0, "worth": 1.0},
    {"name": "store", "effect": "dedup", "target": 600.0, "deadline": 2500.0, "worth": 2.0},
    {"name": "order", "effect": "fragile", "target": 800.0, "deadline": 3000.0, "worth": 4.0},
)
REPEAT_WINDOW_MS = 3000.0
TYPES = ("m1", "m2", "m4")
WEIGHTS = (1.0, 1.0, 1.0, 2.0)
PORT = 5000


def site(
    *, balancers: int, tier: int = 0, pushed: bool = True, zone: str = "", **overrides: Any
) -> dict[str, Any]:
    """The settings of one balancer as nested JSON, with the names and units of the WIRE page (milliseconds).

    `balancers` counts those in its tier, `tier` is the one that it sends to. Each of `overrides` replaces a
    whole top-level part, but for `limits` and `contract`, of which it replaces single figures.
    """
    settings: dict[str, Any] = {
        "balancers": balancers,
        "tier": tier,
        "zone": zone,
        "discovery": "push" if pushed else "ask",
        "classes": [c | {"keyScope": "all", "repeatWindow": REPEAT_WINDOW_MS} for c in CLASSES],
        "tick": 1.0,
        "overShareWorth": 0.1,
        "weights": "nominal",
        "telemetry": {"how": "none"},
        "limits": {
            "attemptsCap": 4,
            "connIdle": 30_000.0,
            "connectTimeout": 250.0,
            "mayCancel": True,
            "mayDuplicate": False,
            "probes": True,
            "retryAfter": True,
            "maxRetryAfter": 2_000.0,
        },
        "contract": {
            "askWithin": 10_000.0,
            "cold": 8_000.0,
            "coldFrom": 0.3,
            "drainGrace": 750.0,
            "graceToAnswer": 20.0,
            "overloadFactor": 3.0,
            "tipAfter": 1_000.0,
        },
    }
    for name, value in overrides.items():
        merged = name in ("limits", "contract")
        settings[name] = settings[name] | value if merged else value
    return settings


def place(address: Address | str) -> str:
    """An address in its written form, `host:port`."""
    return address if isinstance(address, str) else f"{address[0]}:{address[1]}"


def config(
    name: str,
    listen: Address | str,
    discovery: Address | str,
    known: Sequence[Entry],
    settings: dict[str, Any],
    *,
    seed: int,
    index: int = 0,
    sockets: int = 1024,
    memory_mb: float = 256,
) -> str:
    """The text of the file that `LB_CONFIG` names (DEPLOY page).

    `known` is the list as the balancer last had it, at version `index`; where it is empty, the balancer asks
    for the whole list first.
    """
    told = {
        "name": name,
        "listen": place(listen),
        "discovery": place(discovery),
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"index": index, "snapshot": True, "endpoints": list(known)},
        "settings": settings,
    }
    return json.dumps(told)


def entry(name: str, address: Address | str, **more: Any) -> Entry:
    """One list entry; `more` replaces fields of it (zone, type, group, status, weight, since_ms)."""
    base = {"name": name, "address": place(address), "zone": "r0-z0", "type": TYPES[0], "group": 0}
    return base | {"status": "in_service", "weight": 1.0, "since_ms": 0} | more


def loopback(number: int, first: int = 64) -> str:
    """The loopback host of that number, 127.`first`.0.1 and on: each upstream or agent has its own."""
    high, low = divmod(number, 250 * 250)
    middle, last = divmod(low, 250)
    return f"127.{first + high}.{middle}.{last + 1}"


def fleet(
    count: int,
    zones: int = 29,
    regions: int = 8,
    *,
    groups: int = 4,
    seed: int = 1,
    addresses: Sequence[Address | str] | None = None,
) -> list[Entry]:
    """`count` entries spread evenly over the zones, which are spread over the regions.

    Zones are named `r<region>-z<zone>`; each has `groups` groups of its own. Names, types and weights come
    from the seed. Without `addresses` each entry has a loopback host of its own, where nobody listens.
    """
    chance = random.Random(seed)
    names: dict[str, None] = {}
    while len(names) < count:
        names[f"s-{chance.getrandbits(32):08x}"] = None
    entries = []
    for i, name in enumerate(names):
        zone, turn = i % zones, i // zones
        more = {
            "zone": f"r{zone % regions}-z{zone}",
            "type": chance.choice(TYPES),
            "group": zone * groups + turn % groups,
            "weight": chance.choice(WEIGHTS),
        }
        entries.append(entry(name, addresses[i] if addresses else (loopback(i), PORT), **more))
    return entries
