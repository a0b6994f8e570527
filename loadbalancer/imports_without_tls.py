"""Imports asyncio and uvloop without OpenSSL, which would be an eighth of the least memory of a balancer.

Both import the `ssl` module although the balancer speaks no TLS. During their import a placeholder stands in
for it; a later import of `ssl` gets the real module.
"""

from __future__ import annotations

import sys
import types


class _SslPlaceholder(types.ModuleType):
    """A module in which every upper-case name is the number 0, and every other public name a class."""

    def __getattr__(self, name: str) -> object:
        if name.startswith("__"):
            raise AttributeError(name)
        value: object = 0 if name.isupper() else type(name, (Exception,), {})
        setattr(self, name, value)
        return value


def import_event_loop() -> None:
    """Import asyncio and uvloop, without `ssl` unless it is imported already or the placeholder fails."""
    if "ssl" in sys.modules or "asyncio" in sys.modules:
        return
    sys.modules["ssl"] = _SslPlaceholder("ssl")
    try:
        import asyncio  # noqa: F401

        import uvloop  # noqa: F401
    except (AttributeError, ImportError, TypeError):
        for name in [name for name in sys.modules if name.partition(".")[0] in ("asyncio", "uvloop")]:
            del sys.modules[name]
    finally:
        del sys.modules["ssl"]
