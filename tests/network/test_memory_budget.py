"""The memory budget, the receipt of responses while it is exceeded, and the log line at each change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.network import memory_monitor
from loadbalancer.network.counters import ClientCounters, CloseReason
from loadbalancer.network.memory_budget import BYTES_PER_MB, BudgetState, HeldKind, MemoryBudget
from loadbalancer.network.memory_monitor import MemoryMonitor
from loadbalancer.network.upstream.response_gate import ResponseGate

if TYPE_CHECKING:
    import pytest


class RecordingReceiver:
    def __init__(self) -> None:
        self.is_paused = False

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False


def test_budget_is_what_the_process_leaves_of_its_limit() -> None:
    budget = MemoryBudget.for_process(32, 20 * BYTES_PER_MB)
    assert 0.5 * 12 * BYTES_PER_MB < budget.limit_bytes < 12 * BYTES_PER_MB
    assert MemoryBudget.for_process(16, 20 * BYTES_PER_MB).limit_bytes > 0


def test_state_follows_what_is_held() -> None:
    budget = MemoryBudget(1_000)
    states = list[BudgetState]()
    for change_bytes in (800, 100, 101, -101, -900):
        budget.adjust(HeldKind.INPUT, change_bytes)
        states.append(budget.state)
    assert states == [
        BudgetState.NORMAL,
        BudgetState.HIGH,
        BudgetState.EXCEEDED,
        BudgetState.HIGH,
        BudgetState.NORMAL,
    ]
    assert budget.used_bytes == 0


def test_one_response_is_received_while_budget_is_exceeded() -> None:
    """If all were paused, none would complete and release its memory."""
    budget = MemoryBudget(1_000)
    gate = ResponseGate(budget)
    receivers = [RecordingReceiver() for _ in range(3)]
    for receiver in receivers:
        gate.add(receiver)
    gate.record_growth(600)
    gate.record_growth(600)
    late_receiver = RecordingReceiver()
    gate.add(late_receiver)
    assert [r.is_paused for r in (*receivers, late_receiver)] == [False, True, True, True]
    gate.remove(receivers[0], 100)  # still over the limit
    assert [r.is_paused for r in (*receivers, late_receiver)] == [False, False, True, True]
    gate.remove(receivers[1], 600)
    assert not any(r.is_paused for r in (*receivers, late_receiver))
    assert budget.held_bytes[HeldKind.RESPONSES] == 500


def make_monitor(budget: MemoryBudget, lines: list[str], counters: ClientCounters) -> MemoryMonitor:
    return MemoryMonitor(64, budget, counters, lambda: ["idle", "receiving", "receiving"], lines.append)


def test_line_is_written_when_the_state_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(memory_monitor, "resident_bytes", lambda: 30 * BYTES_PER_MB)
    lines, counters, budget = list[str](), ClientCounters(), MemoryBudget(10 * BYTES_PER_MB)
    monitor = make_monitor(budget, lines, counters)
    monitor.check()
    assert not lines
    budget.adjust(HeldKind.INPUT, 11 * BYTES_PER_MB)
    counters.closes[CloseReason.REQUEST_TIMEOUT] += 2
    counters.responses[503] += 3
    counters.refused_for_memory += 3
    monitor.check()
    monitor.check()
    budget.adjust(HeldKind.INPUT, -11 * BYTES_PER_MB)
    monitor.check()
    assert [line.partition(":")[0] for line in lines] == ["memory exceeded", "memory normal"]
    for part in ("input 11.0", "receiving 2", "request timeout 2", "503: 3", "refused for memory 3"):
        assert part in lines[0]


def test_resident_memory_at_its_limit_is_logged(monkeypatch: pytest.MonkeyPatch) -> None:
    lines = list[str]()
    monitor = make_monitor(MemoryBudget(BYTES_PER_MB), lines, ClientCounters())
    monkeypatch.setattr(memory_monitor, "resident_bytes", lambda: 64 * BYTES_PER_MB)
    monitor.check()
    assert lines[0].startswith("memory exceeded: 64.0 of 64 MB resident")
