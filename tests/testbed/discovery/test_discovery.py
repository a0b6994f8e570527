"""The discovery stand-in: the list, its watches and its agents."""

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

Known = dict[str, EndpointEntry]


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
        message = f"GET {path}{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode()
        self.writer.write(message)
        return len(message)

    async def request(self, query: str = "", path: str = "/v1/servers") -> ReceivedMessage:
        self.send(query, path)
        return await read_message(self.reader)

    async def request_list(self, query: str = "") -> tuple[int, bool, Known]:
        return read_list(await self.request(query))


def read_list(response: ReceivedMessage) -> tuple[int, bool, Known]:
    assert response.start_line.split(" ")[1] == "200"
    content = json.loads(response.body)
    return content["index"], content["snapshot"], {e["name"]: e for e in content["endpoints"]}


async def test_discovery_sends_a_snapshot_and_then_the_changes(discovery: Discovery) -> None:
    await discovery.start()
    first = discovery.replace_entries(three_entries())
    async with WatchClient(discovery.agent_address(0)) as watcher:
        assert await watcher.request_list() == (first, True, {e["name"]: e for e in three_entries()})
        draining, removed = (three_entries()[0] | {"status": s} for s in ("terminating", "terminated"))
        weighted = three_entries()[1] | {"weight": 2.0}
        discovery.apply_changes([draining])
        second = discovery.apply_changes([weighted])
        both = {"s0": draining, "s1": weighted}
        assert await watcher.request_list(f"?after={first}&wait_ms=60000") == (second, False, both)
        assert (await watcher.request_list())[2]["s0"]["status"] == "terminating"
        third = discovery.apply_changes([removed])
        # A removed entry is sent in deltas only; of two changes of one entry, only the later is sent.
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
        # Versions that were never issued, or are no longer remembered, get a snapshot.
        assert (await watcher.request_list(f"?after={third + 5}&wait_ms=60000"))[:2] == (third, True)
        fourth = discovery.replace_entries(three_entries())
        assert (await watcher.request_list(f"?after={third}&wait_ms=60000"))[:2] == (fourth, True)
        assert await watcher.request_list(f"?after={fourth}&wait_ms=0") == (fourth, False, {})


async def test_discovery_forgets_old_changes_and_then_sends_a_snapshot(
    discovery: Discovery, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("testbed.discovery.endpoint_history.MAX_REMEMBERED_CHANGES", 1)

    first = discovery.replace_entries(three_entries())
    second, third = (discovery.apply_changes([e | {"weight": 2.0}]) for e in three_entries()[:2])
    assert json.loads(discovery.list_response(first).body)["snapshot"]
    newer = json.loads(discovery.list_response(second).body)
    assert (newer["index"], newer["snapshot"]) == (third, False)
    assert [e["name"] for e in newer["endpoints"]] == ["s1"]


async def test_a_watch_ends_with_a_change_or_with_its_wait(discovery: Discovery) -> None:
    await discovery.start()
    index = discovery.replace_entries(three_entries())
    async with WatchClient(discovery.agent_address(0)) as watcher:
        assert await watcher.request_list(f"?after={index}&wait_ms=5") == (index, False, {})
        watcher.send(f"?after={index}&wait_ms=60000")
        await wait_until(lambda: discovery.counts().requests == 2, "two requests have been received")
        assert discovery.agents[0].written_index == index
        newest = discovery.apply_changes([three_entries()[2] | {"weight": 4.0}])
        assert discovery.agents[0].written_index == newest  # written at once
        assert discovery.changed_at[newest] <= discovery.written_at[newest]
        assert read_list(await read_message(watcher.reader))[0] == newest
        for query, path, status in (
            ("?after=1&wait_ms=60001", "/v1/servers", "400"),
            ("?after=x", "/v1/servers", "400"),
            ("", "/v1/others", "404"),
        ):
            assert (await watcher.request(query, path)).start_line.split(" ")[1] == status


async def test_a_watch_continues_if_the_next_request_comes_within_200_ms() -> None:
    now = [10.0]

    discovery = Discovery(lambda: now[0])
    index = discovery.replace_entries(three_entries())
    async with WatchClient(discovery.agent_address(0)) as watcher:
        await watcher.request_list()
        for interval_s, expected in ((0.2, (0, 1)), (0.201, (1, 1)), (0.0, (1, 2))):
            now[0] += interval_s
            await watcher.request_list(f"?after={index}")
            counts = discovery.counts()
            assert (counts.watches, counts.continued) == expected
    await discovery.stop()


async def test_discovery_counts_requests_and_responses() -> None:
    seen: list[tuple[int, int]] = []

    discovery = Discovery(on_watch=lambda agent, after, at: seen.append((agent, after)))
    index = discovery.replace_entries(three_entries())
    sent = got = 0
    async with (
        WatchClient(discovery.agent_address(0)) as one,
        WatchClient(discovery.agent_address(7)) as other,
    ):
        for watcher, query in ((one, ""), (one, f"?after={index}"), (other, "")):
            sent += watcher.send(query)
            head = await watcher.reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            got += len(head) + len(await watcher.reader.readexactly(length))
        counts = discovery.counts()
        assert (counts.requests, counts.snapshots, counts.entries) == (3, 2, 6)
        assert (counts.bytes_in, counts.bytes_out) == (sent, got)
        assert discovery.agents[7].counts.requests == 1
        assert discovery.agents[0].acknowledged_index == index
        assert seen == [(0, index)]
        assert counts - counts == RequestCounts()
    await discovery.stop()


async def test_an_unresponsive_group_of_agents_responds_once_it_is_up_again(discovery: Discovery) -> None:
    await discovery.start("127.32.0.9")
    index = discovery.replace_entries(three_entries())
    healthy, unresponsive = (
        discovery.agent_address(0, "r0", "r0-z0"),
        discovery.agent_address(1, "r1", "r1-z1"),
    )
    assert healthy[0] != unresponsive[0]
    assert discovery.agent_address(0) == healthy
    async with WatchClient(healthy) as one, WatchClient(unresponsive) as other:
        for watcher in (one, other):
            watcher.send(f"?after={index}&wait_ms=60000")
        await wait_until(lambda: discovery.counts().requests == 2, "two requests have been received")
        discovery.set_state(AgentState(AgentMode.UNRESPONSIVE), group="r1")
        index = discovery.apply_changes([three_entries()[0] | {"weight": 2.0}])
        assert read_list(await read_message(one.reader))[0] == index
        assert discovery.agents[1].written_index == -1
        async with WatchClient(unresponsive) as third:  # it still accepts connections
            third.send()
            await wait_until(lambda: discovery.counts().requests == 3, "the third request has been received")
            assert discovery.agents[1].written_index == -1
            discovery.set_state(AgentState(), group="r1")
            assert read_list(await read_message(third.reader))[1]
            assert read_list(await read_message(other.reader))[0] == index


async def test_one_agent_goes_down_and_all_responses_are_delayed(discovery: Discovery) -> None:
    index = discovery.replace_entries(three_entries())
    up, down = discovery.agent_address(0, "r0"), discovery.agent_address(1, "r1")
    discovery.set_state(AgentState(), group="r1")
    async with WatchClient(up) as one, WatchClient(down) as other:
        assert (await one.request_list())[0] == (await other.request_list())[0] == index
        discovery.set_state(AgentState(AgentMode.DOWN), agent=1)
        discovery.set_state(AgentState(delay_ms=50.0))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await other.request_list()
        with pytest.raises(ConnectionError):
            await asyncio.open_connection(*down)
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        assert (await one.request_list())[0] == index
        assert loop.time() >= sent_at + 0.045  # the loop's timers round to milliseconds
        discovery.set_state(AgentState(), agent=1)
    async with WatchClient(down) as again:
        assert (await again.request_list())[0] == index
    await discovery.stop()
    with pytest.raises(ConnectionError):
        await asyncio.open_connection(*up)


async def test_an_agent_goes_down_before_its_loop_accepts(discovery: Discovery) -> None:
    address = discovery.agent_address(0)
    discovery.set_state(AgentState(AgentMode.DOWN), agent=0)
    with pytest.raises(ConnectionError):
        await asyncio.open_connection(*address)


async def test_discovery_listens_on_loopback_only() -> None:
    with pytest.raises(ValueError, match="loopback"):
        await Discovery().start("10.0.0.1")
