"""Generated changes of the endpoint list, and their application."""

import random
from itertools import islice

from testbed.discovery.churn import apply_changes_over_time, restarts, single_changes
from testbed.discovery.service import Discovery
from testbed.load.arrivals import arrival_times
from testbed.settings import EndpointEntry, endpoint_entries


def test_churn_is_the_same_for_a_seed_and_keeps_the_list() -> None:
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
    status = {e["name"]: "in_service" for e in endpoint_entries(60)}
    seen, removed = set(), set()
    for (changed,) in first_changes(1):
        assert changed["name"] not in removed  # a replacement has a new name
        before = status.pop(changed["name"], "new")
        seen.add((before, changed["status"], changed["since_ms"]))
        if changed["status"] != "terminated":
            status[changed["name"]] = changed["status"]
        else:
            removed.add(changed["name"])
        assert 57 <= len(status) <= 60
        assert list(status.values()).count("in_service") >= 57
    assert {(before, after) for before, after, since in seen} == {
        ("in_service", "terminating"),
        ("terminating", "terminated"),
        ("terminating", "in_service"),
        ("new", "in_service"),
    }
    assert {since for _, after, since in seen if after == "in_service"} == {7}


def test_restarts_in_steps_drain_and_return_every_entry() -> None:
    steps = list(restarts(endpoint_entries(10), 4, 1, lambda: 9.0))
    assert [len(step) for step in steps] == [4, 4, 4, 4, 2, 2]
    for drain, back in zip(steps[::2], steps[1::2], strict=True):
        assert [e["name"] for e in drain] == [e["name"] for e in back]
        assert {e["status"] for e in drain} == {"terminating"}
        assert {(e["status"], e["since_ms"]) for e in back} == {("in_service", 9)}
    assert len({e["name"] for step in steps for e in step}) == 10
    assert (
        steps
        == list(restarts(endpoint_entries(10), 4, 1, lambda: 9.0))
        != list(restarts(endpoint_entries(10), 4, 2, lambda: 9.0))
    )


async def test_changes_are_applied_until_the_last_one(discovery: Discovery) -> None:
    first = discovery.replace_entries(endpoint_entries(10))
    max_lateness_s = await apply_changes_over_time(
        discovery, restarts(endpoint_entries(10), 5, 1, lambda: 9.0), [0.0] * 9
    )
    assert discovery.version == first + 4
    assert max_lateness_s >= 0
    assert {e["since_ms"] for e in discovery.entries} == {9}
