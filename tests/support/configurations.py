"""Configurations of the balancers that the tests start."""

from __future__ import annotations

import json
from typing import Any

from loadbalancer.configuration import Configuration, read_configuration

LISTEN_ON_ANY_PORT = "127.0.0.1:0"
DEFAULT_SEED = "8c1f30d27a5be964"


def entry(name: str, address: str, **fields: Any) -> dict[str, Any]:
    """Return an entry of an endpoint list in the format of discovery; `fields` overrides the defaults."""
    defaults = {"name": name, "address": address, "zone": "a", "type": "m", "group": 0, "weight": 1.0}
    return defaults | {"status": "in_service", "since_ms": 0} | fields


def config_text(discovery: str, entries: list[dict[str, Any]], /, **settings: Any) -> str:
    """Return a configuration as JSON.

    Args:
        discovery: The address of discovery.
        entries: The endpoint list to start with.
        settings: Settings that override the defaults of the same name.
    """
    classes = [
        {"name": "read", "target": 2000.0, "deadline": 5000.0, "effect": "retryable", "worth": 2.0},
        {"name": "pay", "target": 2000.0, "deadline": 5000.0, "effect": "fragile", "worth": 1.0},
        {"name": "put", "target": 2000.0, "deadline": 5000.0, "effect": "dedup", "repeatWindow": 5000.0},
    ]
    defaults: dict[str, Any] = {
        "classes": classes,
        "balancers": 2,
        "discovery": "ask",
        "zone": "a",
        "tick": 2.0,
        "limits": {
            "attemptsCap": 3,
            "connIdle": 60_000.0,
            "connectTimeout": 500.0,
            "mayCancel": True,
            "mayDuplicate": True,
        },
        "contract": {"drainGrace": 500.0, "askWithin": 10_000.0},
    }
    return json.dumps(
        {
            "name": "n1",
            "listen": LISTEN_ON_ANY_PORT,
            "discovery": discovery,
            "seed": DEFAULT_SEED,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"index": 7, "snapshot": True, "endpoints": entries},
            "settings": defaults | settings,
        }
    )


def configuration(text: str) -> Configuration:
    """Read a configuration; unknown settings are ignored."""
    return read_configuration(text, lambda warning: None)
