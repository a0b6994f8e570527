"""The meter of processes, cores and event loops."""

import os
import subprocess
import sys
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import psutil
import pytest

from testbed.measurement.resource_usage import CoreMonitor, LoopLagMonitor, measure_usage, processor_time_s


def test_the_meter_counts_a_childs_processor_time_and_descriptors() -> None:
    work = "while time.process_time() < 0.15: pass"
    opened = "kept = [open('/dev/null') for _ in range(20)]"
    code = "\n".join(("import sys, time", opened, work, "print(1, flush=True)", "sys.stdin.read()"))
    child = subprocess.Popen([sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert child.stdout is not None
    assert child.stdin is not None
    child.stdout.readline()
    one = measure_usage([child.pid])
    assert 0.14 <= one.processor_s < 5
    assert 20 < one.descriptors < 60
    assert one.resident_bytes > 1 << 20
    own = processor_time_s(os.getpid())
    both = measure_usage([child.pid, os.getpid()])
    assert both.descriptors > one.descriptors
    assert both.processor_s >= one.processor_s + own
    child.stdin.close()
    child.wait()
    child.stdout.close()
    with pytest.raises(psutil.NoSuchProcess):
        measure_usage([child.pid])
    assert own > 0


def test_saturated_cores_invalidate_results(monkeypatch: pytest.MonkeyPatch) -> None:
    readings: list[Any] = []

    def read(user: float, idle: float, steal: float, guest: float) -> None:
        names = {"user": user, "idle": idle, "iowait": 0.0, "steal": steal, "guest": guest}
        readings.append(SimpleNamespace(_fields=tuple(names), **names))

    monkeypatch.setattr(psutil, "cpu_times", lambda: readings.pop(0))
    read(100.0, 100.0, 0.0, 100.0)
    read(150.0, 150.0, 0.0, 150.0)
    assert CoreMonitor().busy_fraction() == pytest.approx(0.5)
    read(100.0, 100.0, 0.0, 100.0)
    read(180.0, 105.0, 15.0, 180.0)
    assert CoreMonitor().invalid_reasons("rest") == ["rest: the cores were 95% busy"]
    read(0.0, 0.0, 0.0, 0.0)
    read(0.0, 0.0, 0.0, 0.0)
    assert CoreMonitor().invalid_reasons("rest") == []


def test_loop_lag_is_how_late_a_timer_runs() -> None:
    calls: list[tuple[float, Callable[[], None]]] = []
    loop: Any = SimpleNamespace(now=0.0, time=lambda: loop.now)

    def call_at(at: float, callback: Callable[[], None]) -> Any:
        calls.append((at, callback))
        return SimpleNamespace(cancel=calls.clear)

    loop.call_at = call_at
    lag = LoopLagMonitor(loop)
    for late in (0.0, 0.0, 0.25, 0.0):
        at, callback = calls.pop()
        loop.now = at + late
        callback()
    assert lag.take() == pytest.approx((0.0, 0.25), abs=1e-9)
    assert lag.take() == (0.0, 0.0)
    lag.stop()
    assert calls == []
