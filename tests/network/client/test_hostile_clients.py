"""Hostile clients: the process stays within its memory limit, and honest clients get their responses.

The balancer, its upstreams and the hostile clients run in processes of their own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import structlog

from testbed.load.hostile_clients import HostileKind
from testbed.runs import hostile_clients

if TYPE_CHECKING:
    from testbed.runs.hostile_clients import HostileClientsRow

LOG = structlog.wrap_logger(structlog.testing.CapturingLogger(), processors=[])

# The least memory of a balancer, and the share of honest requests that has to be served.
MIN_MEMORY_MB = 32
MIN_SERVED_FRACTION = 0.9
HOSTILE_CLIENT_COUNT = 450


def run_hostile_clients(
    kinds: tuple[HostileKind, ...], count: int, *, starts_into_load: bool = False
) -> HostileClientsRow:
    """Run a balancer with the least memory beside hostile clients for a short time."""
    plan = hostile_clients.Plan(
        run="hostile_clients",
        about="A short run.",
        seed=30,
        sizes=(count,),
        kinds=kinds,
        memory_mb=MIN_MEMORY_MB,
        descriptors=1024,
        upstreams=4,
        service_ms=5.0,
        honest_clients=2,
        deadline_ms=2_000.0,
        interval_ms=20.0,
        calm_s=0.2,
        hostile_s=3.0,
        starts_into_load=starts_into_load,
    )
    (row,) = hostile_clients.measure(plan, LOG).rows
    return row


@pytest.mark.parametrize(
    "kind",
    [
        HostileKind.PARTIAL_HEAD,
        HostileKind.WHOLE_HEAD,
        HostileKind.SLOW_BODY,
        HostileKind.UNREAD_PIPELINE,
    ],
)
def test_many_hostile_clients_do_not_exhaust_memory(kind: HostileKind) -> None:
    """Guards against a process that passes its memory limit while clients make it hold objects."""
    row = run_hostile_clients((kind,), HOSTILE_CLIENT_COUNT)
    assert row.hostile_connections >= HOSTILE_CLIENT_COUNT
    assert row.peak_mib <= MIN_MEMORY_MB
    assert row.honest_served >= MIN_SERVED_FRACTION, row.honest_results


def test_start_into_hostile_clients_does_not_exhaust_memory() -> None:
    """Guards against a killed process that passes its memory limit again as soon as it has started."""
    row = run_hostile_clients((HostileKind.PARTIAL_HEAD,), HOSTILE_CLIENT_COUNT, starts_into_load=True)
    assert row.peak_mib <= MIN_MEMORY_MB
    assert row.honest_served >= MIN_SERVED_FRACTION, row.honest_results


@pytest.mark.parametrize(
    "kind",
    [
        HostileKind.HEALTH_CHECKS,
        HostileKind.NEW_NAMES,
        HostileKind.UNKNOWN_PATHS,
        HostileKind.BYTE_CHUNKS,
        HostileKind.EMPTY_LINES,
    ],
)
def test_one_flooding_client_does_not_delay_others(kind: HostileKind) -> None:
    """Guards against a connection that takes whole turns of the event loop."""
    row = run_hostile_clients((kind,), 1)
    assert row.peak_mib <= MIN_MEMORY_MB
    assert row.honest_served >= MIN_SERVED_FRACTION, row.honest_results
