"""The cost of an event on the simulator's wire, counted in Python calls, since times are not repeatable."""

from __future__ import annotations

import io
import sys
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from loadbalancer.simulator.host import Host
from tests.simulator.wire_lines import SHARED_LIST, instance_start_line

if TYPE_CHECKING:
    from types import FrameType

REQUESTS = 400
# Each request causes two events: its arrival and the end of its attempt.
EVENTS = 2 * REQUESTS
# Limit on the Python calls per event outside the policy, which parse the line, frame the batch and format the
# reply: 27.2 calls with Python 3.11. A parser with a separate function for each step needed 39.2 calls, and a
# simulated day then took 1.06 to 1.13 times the processor time of a version with all decisions in one module.
MAX_CALLS_OUTSIDE_POLICY = 28.0
# Limit on all Python calls per event, including those of the policy: 63.4 calls with Python 3.11.
MAX_CALLS = 68.0


def input_text() -> str:
    """Return an input with two endpoints, and a batch for each arrival and for each end of an attempt."""
    start = f"{instance_start_line(1)}{SHARED_LIST}membership who=1 mode=0 list=3\n"
    lines = [f"sync time=100.0 batch=0\n{start}eob\n"]
    for n in range(REQUESTS):
        time_ms = 110.0 + 10 * n
        arrival = f"knock who=1 corr={n} remaining=900.0 grade=read"
        attempt_end = f"verdict who=1 corr={n} shot=0 upstream=u1 verdict=1 complete=1"
        lines.append(f"sync time={time_ms} batch={2 * n + 1}\n{arrival}\neob\n")
        lines.append(f"sync time={time_ms + 4} batch={2 * n + 2}\n{attempt_end}\neob\n")
    return "".join(lines)


@pytest.fixture(scope="module")
def calls_per_event() -> Counter[str]:
    """Python calls per event, by the module that defines the called function."""
    calls: Counter[str] = Counter()

    def count_call(frame: FrameType, kind: str, _: object) -> None:
        if kind == "call":
            calls[frame.f_globals["__name__"]] += 1

    input_stream, output_stream = io.StringIO(input_text()), io.StringIO()
    host = Host(sys.stderr)
    previous_profiler = sys.getprofile()
    sys.setprofile(count_call)
    try:
        status = host.run(input_stream, output_stream)
    finally:
        sys.setprofile(previous_profiler)
    assert status == 0
    assert output_stream.getvalue().count("send who=1") == REQUESTS
    return Counter({module: count / EVENTS for module, count in calls.items()})


def test_calls_outside_policy_stay_below_limit(calls_per_event: Counter[str]) -> None:
    outside_policy = {
        module: count
        for module, count in calls_per_event.items()
        if not module.startswith("loadbalancer.policy")
    }
    assert sum(outside_policy.values()) <= MAX_CALLS_OUTSIDE_POLICY, outside_policy


def test_total_calls_stay_below_limit(calls_per_event: Counter[str]) -> None:
    assert calls_per_event.total() <= MAX_CALLS, calls_per_event


def test_outcome_lookup_calls_no_python_code(calls_per_event: Counter[str]) -> None:
    """Outcomes must be looked up in tuples, which compare by identity: sets would call `Enum.__hash__`."""
    assert calls_per_event["enum"] == 0
