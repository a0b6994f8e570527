"""Settings and endpoint lists that the testbed generates."""

from loadbalancer.configuration import read_configuration
from loadbalancer.settings import Idempotency
from testbed.settings import balancer_settings, configuration_text, endpoint_entries


def test_program_reads_generated_settings_without_warnings() -> None:
    warnings: list[str] = []
    entries = endpoint_entries(60)
    settings = balancer_settings(
        balancers=7, tier=1, pushed=False, zone="r0-z0", limits={"mayDuplicate": True}
    )
    configuration = read_configuration(
        configuration_text(
            "n1", "127.0.0.1:0", ("127.0.0.2", 8500), entries, settings, seed=5, list_version=41
        ),
        warnings.append,
    )
    assert warnings == []
    assert (
        configuration.settings.balancers,
        configuration.settings.tier,
        configuration.settings.polls_discovery,
    ) == (7, 1, True)
    assert {c.idempotency for c in configuration.settings.classes} == set(Idempotency)
    assert configuration.settings.may_hedge
    assert configuration.settings.may_cancel
    assert configuration.settings.max_attempts == 4
    assert (
        configuration.seed,
        configuration.discovery,
        configuration.known_endpoints.version,
        configuration.descriptor_limit,
    ) == (
        5,
        ("127.0.0.2", 8500),
        41,
        1024,
    )
    assert [e.endpoint.name for e in configuration.known_endpoints.endpoints] == [e["name"] for e in entries]


def test_entries_are_spread_over_zones_and_regions() -> None:
    entries = endpoint_entries(290, seed=3)
    assert entries == endpoint_entries(290, seed=3) != endpoint_entries(290, seed=4)
    zones = [e["zone"] for e in entries]
    assert len(set(zones)) == 29
    assert {zones.count(zone) for zone in zones} == {10}
    assert len({zone.partition("-")[0] for zone in zones}) == 8
    assert len({e["name"] for e in entries}) == len({e["address"] for e in entries}) == 290
    # The WIRE page requires that no group number is used in two zones.
    assert len({(e["zone"], e["group"]) for e in entries}) == len({e["group"] for e in entries})
