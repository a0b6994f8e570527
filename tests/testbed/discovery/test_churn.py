"""Generated changes of the endpoint list, and how they are applied over time."""

import random
from itertools import islice

from testbed.discovery.churn import apply_changes_over_time, rolling_restart, single_changes
from testbed.discovery.service import Discovery
from testbed.load.arrivals import arrival_times
from testbed.settings import EndpointEntry, endpoint_entries


def test_single_changes_leave_most_entries_in_service() -> None:
    def first_changes(seed: int) -> list[tuple[EndpointEntry, ...]]:
        return list(islice(single_changes(endpoint_entries(60), seed, lambda: 7.0), 500))

    assert first_changes(1) == first_changes(1) != first_changes(2)
    assert (
        list(arrival_times(5.0, 10.0, random.Random(1)))
        == list(arrival_times(5.0, 10.0, random.Random(1)))
        != list(arrival_times(5.0, 10.0, random.Random(2)))
    )
    assert 30 <= len(list(arrival_times(5.0, 10.0, random.Random(1)))) <= 70
    assert max(arrival_times(5.0, 10.0, random.Random(1))) < 10.0
    status_by_name = {entry["name"]: "in_service" for entry in endpoint_entries(60)}
    transitions, removed = set(), set()
    for (changed,) in first_changes(1):
        assert changed["name"] not in removed  # a replacement has a new name
        before = status_by_name.pop(changed["name"], "new")
        transitions.add((before, changed["status"], changed["since_ms"]))
        if changed["status"] != "terminated":
            status_by_name[changed["name"]] = changed["status"]
        else:
            removed.add(changed["name"])
        assert 57 <= len(status_by_name) <= 60
        assert list(status_by_name.values()).count("in_service") >= 57
    assert {(before, after) for before, after, since in transitions} == {
        ("in_service", "terminating"),
        ("terminating", "terminated"),
        ("terminating", "in_service"),
        ("new", "in_service"),
    }
    assert {since for _, after, since in transitions if after == "in_service"} == {7}


def test_rolling_restart_drains_and_returns_every_entry() -> None:
    batches = list(rolling_restart(endpoint_entries(10), 4, 1, lambda: 9.0))
    assert [len(batch) for batch in batches] == [4, 4, 4, 4, 2, 2]
    for draining, returned in zip(batches[::2], batches[1::2], strict=True):
        assert [entry["name"] for entry in draining] == [entry["name"] for entry in returned]
        assert {entry["status"] for entry in draining} == {"terminating"}
        assert {(entry["status"], entry["since_ms"]) for entry in returned} == {("in_service", 9)}
    assert len({entry["name"] for batch in batches for entry in batch}) == 10
    assert (
        batches
        == list(rolling_restart(endpoint_entries(10), 4, 1, lambda: 9.0))
        != list(rolling_restart(endpoint_entries(10), 4, 2, lambda: 9.0))
    )


async def test_apply_changes_over_time_ends_with_last_change(discovery: Discovery) -> None:
    first_version = discovery.replace_entries(endpoint_entries(10))
    max_lateness_s = await apply_changes_over_time(
        discovery, rolling_restart(endpoint_entries(10), 5, 1, lambda: 9.0), [0.0] * 9
    )
    assert discovery.version == first_version + 4
    assert max_lateness_s >= 0
    assert {entry["since_ms"] for entry in discovery.entries} == {9}
