"""Resource usage of processes, utilization of cores and lag of event loops."""

import math
import os
import subprocess
import sys
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import psutil
import pytest

from testbed.measurement.resource_usage import CoreMonitor, LoopLagMonitor, measure_usage, processor_time_s


def test_usage_sums_processor_time_memory_and_descriptors() -> None:
    busy_loop = "while time.process_time() < 0.15: pass"
    open_files = "files = [open('/dev/null') for _ in range(20)]"
    code = "\n".join(("import sys, time", open_files, busy_loop, "print(1, flush=True)", "sys.stdin.read()"))
    child = subprocess.Popen([sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert child.stdout is not None
    assert child.stdin is not None
    child.stdout.readline()
    child_usage = measure_usage([child.pid])
    assert 0.14 <= child_usage.processor_s < 5
    assert 20 < child_usage.descriptors < 60
    assert child_usage.resident_bytes > 1 << 20
    own_processor_s = processor_time_s(os.getpid())
    total_usage = measure_usage([child.pid, os.getpid()])
    assert total_usage.descriptors > child_usage.descriptors
    assert total_usage.processor_s >= child_usage.processor_s + own_processor_s
    child.stdin.close()
    child.wait()
    child.stdout.close()
    with pytest.raises(psutil.NoSuchProcess):
        measure_usage([child.pid])
    assert own_processor_s > 0


def test_saturated_cores_invalidate_results(monkeypatch: pytest.MonkeyPatch) -> None:
    readings: list[Any] = []

    def add_reading(user: float, idle: float, steal: float, guest: float) -> None:
        names = {"user": user, "idle": idle, "iowait": 0.0, "steal": steal, "guest": guest}
        readings.append(SimpleNamespace(_fields=tuple(names), **names))

    monkeypatch.setattr(psutil, "cpu_times", lambda: readings.pop(0))
    add_reading(100.0, 100.0, 0.0, 100.0)
    add_reading(150.0, 150.0, 0.0, 150.0)
    assert CoreMonitor().busy_fraction() == pytest.approx(0.5)
    add_reading(100.0, 100.0, 0.0, 100.0)
    add_reading(180.0, 105.0, 15.0, 180.0)
    assert CoreMonitor().invalidity_reasons("rest") == ["rest: the cores were 95% busy"]
    add_reading(0.0, 0.0, 0.0, 0.0)
    add_reading(0.0, 0.0, 0.0, 0.0)
    assert CoreMonitor().invalidity_reasons("rest") == []


def make_loop(now: float) -> tuple[Any, list[tuple[float, Callable[[], None]]]]:
    """Return a loop whose time the test sets, and the calls that are scheduled on it."""
    calls: list[tuple[float, Callable[[], None]]] = []
    loop: Any = SimpleNamespace(now=now, time=lambda: loop.now)

    def call_at(scheduled_at: float, callback: Callable[[], None]) -> Any:
        calls.append((scheduled_at, callback))
        return SimpleNamespace(cancel=calls.clear)

    loop.call_at = call_at
    return loop, calls


def test_loop_lag_is_never_negative() -> None:
    """A timer that fires exactly on time can be early by a rounding error."""
    loop, calls = make_loop(now=100.0)
    lag_monitor = LoopLagMonitor(loop)
    scheduled_at, callback = calls.pop()
    loop.now = math.nextafter(scheduled_at, 0.0)
    callback()
    assert lag_monitor.take_lag() == (0.0, 0.0)


def test_loop_lag_is_timer_lateness() -> None:
    loop, calls = make_loop(now=0.0)
    lag_monitor = LoopLagMonitor(loop)
    for lag_s in (0.0, 0.0, 0.25, 0.0):
        scheduled_at, callback = calls.pop()
        loop.now = scheduled_at + lag_s
        callback()
    assert lag_monitor.take_lag() == pytest.approx((0.0, 0.25), abs=1e-9)
    assert lag_monitor.take_lag() == (0.0, 0.0)
    lag_monitor.stop()
    assert calls == []
