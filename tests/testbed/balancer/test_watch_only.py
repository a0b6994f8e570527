"""Watch-only balancers: the real watch and the real policy, without clients."""

import asyncio
from functools import partial

import psutil
import pytest

from loadbalancer.configuration import read_configuration
from loadbalancer.network.discovery import watch
from testbed.balancer.watch_only import WatchOnlyBalancer
from testbed.balancer.watch_only_process import WatchOnlyProcess
from testbed.discovery.agent_state import AgentMode, AgentState
from testbed.discovery.service import Discovery
from testbed.settings import balancer_settings, configuration_text, endpoint_entries
from tests.support.waiting import wait_until
from tests.testbed.support.endpoint_entries import three_entries


async def wait_until_acknowledged(discovery: Discovery, version: int) -> None:
    await wait_until(
        lambda: all(agent.acknowledged_version == version for agent in discovery.agents.values()),
        f"every balancer has acknowledged version {version}",
    )


def ignore_warning(text: str) -> None:
    pass


@pytest.mark.parametrize("pushed", [True, False])
async def test_pushed_and_polled_lists_are_applied(discovery: Discovery, *, pushed: bool) -> None:
    applied_versions: list[list[int]] = [[], []]
    first_version = discovery.replace_entries(endpoint_entries(20))
    settings = balancer_settings(balancers=2, pushed=pushed)
    watch_only_balancers = []
    for i in range(2):
        text = configuration_text(f"n{i}", "127.0.0.1:0", discovery.agent_address(i), [], settings, seed=i)
        balancer = WatchOnlyBalancer(
            read_configuration(text, ignore_warning),
            asyncio.get_running_loop(),
            partial(lambda versions, version, at_s: versions.append(version), applied_versions[i]),
        )
        balancer.start()
        watch_only_balancers.append(balancer)
    await wait_until_acknowledged(discovery, first_version)
    draining = endpoint_entries(20)[3] | {"status": "terminating"}
    second_version = discovery.apply_changes([draining])
    await wait_until_acknowledged(discovery, second_version)
    assert applied_versions == [[0, first_version, second_version]] * 2
    assert discovery.counts().snapshots == 2
    for balancer in watch_only_balancers:
        assert len(balancer.proxy.balancer.ready_endpoints) == 19
        assert len(balancer.proxy.upstream_pools.endpoint_names) == 20
        assert draining["name"] not in balancer.proxy.balancer.ready_endpoints
        with pytest.raises(ConnectionError):  # clients can't connect
            await asyncio.open_connection(*balancer.proxy.listener.address)


async def test_timed_out_poll_is_retried(discovery: Discovery, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.policy.poll_backoff.INITIAL_BACKOFF_MS", 2.0)
    monkeypatch.setattr(watch, "RESPONSE_TIMEOUT_S", 0.05)

    applied_versions: list[int] = []
    first_version = discovery.replace_entries(three_entries())
    address = discovery.agent_address(0)
    discovery.set_state(AgentState(AgentMode.UNRESPONSIVE))
    text = configuration_text(
        "n0", "127.0.0.1:0", address, [], balancer_settings(balancers=1, pushed=False), seed=1
    )
    WatchOnlyBalancer(
        read_configuration(text, ignore_warning),
        asyncio.get_running_loop(),
        lambda version, at_s: applied_versions.append(version),
    ).start()
    # The first request times out; a timer starts the next one.
    await wait_until(lambda: discovery.counts().requests == 2, "the balancer has polled again")
    discovery.set_state(AgentState())
    await wait_until(lambda: first_version in applied_versions, "the balancer has applied the list")


async def test_process_reports_list_versions_and_times(discovery: Discovery) -> None:
    first_version = discovery.replace_entries(three_entries())
    texts = {
        i: configuration_text(
            f"n{i}", "127.0.0.1:0", discovery.agent_address(i), [], balancer_settings(balancers=3), seed=i
        )
        for i in range(3)
    }
    process = WatchOnlyProcess(texts)
    await wait_until_acknowledged(discovery, first_version)
    first_report = process.report()
    assert sorted(first_report.balancer_numbers) == [0, 0, 1, 1, 2, 2]
    assert set(first_report.versions) == {0, first_version}
    second_version = discovery.apply_changes([three_entries()[1] | {"weight": 2.0}])
    await wait_until_acknowledged(discovery, second_version)
    last_report = process.stop()
    assert sorted(last_report.balancer_numbers) == [0, 1, 2]
    assert set(last_report.versions) == {second_version}
    assert all(discovery.change_times_s[second_version] <= at_s for at_s in last_report.applied_at_s)
    assert last_report.max_lag_s >= last_report.p99_lag_s >= 0
    await discovery.stop()
    assert not psutil.pid_exists(process.pid)
