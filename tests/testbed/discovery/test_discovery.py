"""The testbed's discovery service: the list, its watches and its agents."""

import asyncio
import json

import pytest

from loadbalancer.configuration import Address
from testbed.discovery.agent_state import AgentMode, AgentState, RequestCounts
from testbed.discovery.service import Discovery
from testbed.settings import EndpointEntry
from tests.support.http_messages import ReceivedMessage, read_message
from tests.support.waiting import wait_until
from tests.testbed.support.endpoint_entries import three_entries

EntriesByName = dict[str, EndpointEntry]


class WatchClient:
    """A client of discovery on one connection."""

    def __init__(self, address: Address) -> None:
        self._address = address

    async def __aenter__(self) -> "WatchClient":
        self.reader, self.writer = await asyncio.open_connection(*self._address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    def send(self, query: str = "", path: str = "/v1/servers") -> int:
        request = f"GET {path}{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode()
        self.writer.write(request)
        return len(request)

    async def request(self, query: str = "", path: str = "/v1/servers") -> ReceivedMessage:
        self.send(query, path)
        return await read_message(self.reader)

    async def request_list(self, query: str = "") -> tuple[int, bool, EntriesByName]:
        return read_list(await self.request(query))


def read_list(response: ReceivedMessage) -> tuple[int, bool, EntriesByName]:
    assert response.start_line.split(" ")[1] == "200"
    content = json.loads(response.body)
    return content["index"], content["snapshot"], {entry["name"]: entry for entry in content["endpoints"]}


async def test_snapshot_is_followed_by_deltas(discovery: Discovery) -> None:
    await discovery.set_first_host()
    first = discovery.replace_entries(three_entries())
    async with WatchClient(discovery.agent_address(0)) as watcher:
        assert await watcher.request_list() == (
            first,
            True,
            {entry["name"]: entry for entry in three_entries()},
        )
        draining, removed = (
            three_entries()[0] | {"status": status} for status in ("terminating", "terminated")
        )
        weighted = three_entries()[1] | {"weight": 2.0}
        discovery.apply_changes([draining])
        second = discovery.apply_changes([weighted])
        both = {"s0": draining, "s1": weighted}
        assert await watcher.request_list(f"?after={first}&wait_ms=60000") == (second, False, both)
        assert (await watcher.request_list())[2]["s0"]["status"] == "terminating"
        third = discovery.apply_changes([removed])
        # A removed entry is sent only in deltas; of two changes to one entry, only the later is sent.
        assert await watcher.request_list(f"?after={second}&wait_ms=60000") == (
            third,
            False,
            {"s0": removed},
        )
        assert await watcher.request_list(f"?after={first}") == (
            third,
            False,
            {"s0": removed, "s1": weighted},
        )
        assert await watcher.request_list() == (third, True, {"s1": weighted, "s2": three_entries()[2]})
        # If the version was never issued or is no longer remembered, the response is a snapshot.
        assert (await watcher.request_list(f"?after={third + 5}&wait_ms=60000"))[:2] == (third, True)
        fourth = discovery.replace_entries(three_entries())
        assert (await watcher.request_list(f"?after={third}&wait_ms=60000"))[:2] == (fourth, True)
        assert await watcher.request_list(f"?after={fourth}&wait_ms=0") == (fourth, False, {})


async def test_discarded_changes_are_replaced_by_snapshot(
    discovery: Discovery, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("testbed.discovery.endpoint_history.MAX_REMEMBERED_CHANGES", 1)

    first = discovery.replace_entries(three_entries())
    second, third = (discovery.apply_changes([entry | {"weight": 2.0}]) for entry in three_entries()[:2])
    assert json.loads(discovery.list_response(first).body)["snapshot"]
    newer = json.loads(discovery.list_response(second).body)
    assert (newer["index"], newer["snapshot"]) == (third, False)
    assert [entry["name"] for entry in newer["endpoints"]] == ["s1"]


async def test_watch_ends_on_change_or_timeout(discovery: Discovery) -> None:
    await discovery.set_first_host()
    version = discovery.replace_entries(three_entries())
    async with WatchClient(discovery.agent_address(0)) as watcher:
        assert await watcher.request_list(f"?after={version}&wait_ms=5") == (version, False, {})
        watcher.send(f"?after={version}&wait_ms=60000")
        await wait_until(lambda: discovery.counts().requests == 2, "two requests have been received")
        assert discovery.agents[0].written_version == version
        newest = discovery.apply_changes([three_entries()[2] | {"weight": 4.0}])
        assert discovery.agents[0].written_version == newest  # written immediately
        assert discovery.change_times_s[newest] <= discovery.write_times_s[newest]
        assert read_list(await read_message(watcher.reader))[0] == newest
        for query, path, status in (
            ("?after=1&wait_ms=60001", "/v1/servers", "400"),
            ("?after=x", "/v1/servers", "400"),
            ("", "/v1/others", "404"),
        ):
            assert (await watcher.request(query, path)).start_line.split(" ")[1] == status


async def test_next_request_within_200_ms_continues_watch() -> None:
    now = [10.0]

    discovery = Discovery(lambda: now[0])
    version = discovery.replace_entries(three_entries())
    async with WatchClient(discovery.agent_address(0)) as watcher:
        await watcher.request_list()
        for interval_s, expected in ((0.2, (0, 1)), (0.201, (1, 1)), (0.0, (1, 2))):
            now[0] += interval_s
            await watcher.request_list(f"?after={version}")
            counts = discovery.counts()
            assert (counts.new_watches, counts.continued_watches) == expected
    await discovery.stop()


async def test_discovery_counts_requests_and_responses() -> None:
    watch_requests: list[tuple[int, int]] = []

    discovery = Discovery(
        on_watch=lambda agent, known_version, time_s: watch_requests.append((agent, known_version))
    )
    version = discovery.replace_entries(three_entries())
    sent_bytes = received_bytes = 0
    async with (
        WatchClient(discovery.agent_address(0)) as first_watcher,
        WatchClient(discovery.agent_address(7)) as second_watcher,
    ):
        for watcher, query in (
            (first_watcher, ""),
            (first_watcher, f"?after={version}"),
            (second_watcher, ""),
        ):
            sent_bytes += watcher.send(query)
            head = await watcher.reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            received_bytes += len(head) + len(await watcher.reader.readexactly(length))
        counts = discovery.counts()
        assert (counts.requests, counts.snapshots, counts.entries) == (3, 2, 6)
        assert (counts.bytes_in, counts.bytes_out) == (sent_bytes, received_bytes)
        assert discovery.agents[7].counts.requests == 1
        assert discovery.agents[0].acknowledged_version == version
        assert watch_requests == [(0, version)]
        assert counts - counts == RequestCounts()
    await discovery.stop()


async def test_unresponsive_group_responds_after_recovery(discovery: Discovery) -> None:
    await discovery.set_first_host("127.32.0.9")
    version = discovery.replace_entries(three_entries())
    healthy, unresponsive = (
        discovery.agent_address(0, "r0", "r0-z0"),
        discovery.agent_address(1, "r1", "r1-z1"),
    )
    assert healthy[0] != unresponsive[0]
    assert discovery.agent_address(0) == healthy
    async with WatchClient(healthy) as first_watcher, WatchClient(unresponsive) as second_watcher:
        for watcher in (first_watcher, second_watcher):
            watcher.send(f"?after={version}&wait_ms=60000")
        await wait_until(lambda: discovery.counts().requests == 2, "two requests have been received")
        discovery.set_state(AgentState(AgentMode.UNRESPONSIVE), group="r1")
        version = discovery.apply_changes([three_entries()[0] | {"weight": 2.0}])
        assert read_list(await read_message(first_watcher.reader))[0] == version
        assert discovery.agents[1].written_version == -1
        async with WatchClient(unresponsive) as third_watcher:  # unresponsive agents accept connections
            third_watcher.send()
            await wait_until(lambda: discovery.counts().requests == 3, "the third request has been received")
            assert discovery.agents[1].written_version == -1
            discovery.set_state(AgentState(), group="r1")
            assert read_list(await read_message(third_watcher.reader))[1]
            assert read_list(await read_message(second_watcher.reader))[0] == version


async def test_down_agent_and_delayed_responses(discovery: Discovery) -> None:
    version = discovery.replace_entries(three_entries())
    up, down = discovery.agent_address(0, "r0"), discovery.agent_address(1, "r1")
    discovery.set_state(AgentState(), group="r1")
    async with WatchClient(up) as first_watcher, WatchClient(down) as second_watcher:
        assert (await first_watcher.request_list())[0] == (await second_watcher.request_list())[0] == version
        discovery.set_state(AgentState(AgentMode.DOWN), agent=1)
        discovery.set_state(AgentState(delay_ms=50.0))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await second_watcher.request_list()
        with pytest.raises(ConnectionError):
            await asyncio.open_connection(*down)
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        assert (await first_watcher.request_list())[0] == version
        assert loop.time() >= sent_at + 0.045  # the loop's timers round to milliseconds
        discovery.set_state(AgentState(), agent=1)
    async with WatchClient(down) as reconnected:
        assert (await reconnected.request_list())[0] == version
    await discovery.stop()
    with pytest.raises(ConnectionError):
        await asyncio.open_connection(*up)


async def test_down_agent_refuses_first_connection(discovery: Discovery) -> None:
    address = discovery.agent_address(0)
    discovery.set_state(AgentState(AgentMode.DOWN), agent=0)
    with pytest.raises(ConnectionError):
        await asyncio.open_connection(*address)


async def test_discovery_listens_on_loopback_only() -> None:
    with pytest.raises(ValueError, match="loopback"):
        await Discovery().set_first_host("10.0.0.1")
