"""The resident memory of this process, as the kernel reports it."""

from __future__ import annotations

import resource

_PAGE_BYTES = resource.getpagesize()
_BYTES_PER_KIB = 1024


def resident_bytes() -> int:
    """Return the resident memory now; the largest one so far if the kernel does not report it."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:  # noqa: PTH123  pathlib is not imported
            return int(file.read().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _BYTES_PER_KIB
