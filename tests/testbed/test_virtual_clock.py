"""The virtual clock of the simulations."""

from __future__ import annotations

from testbed.virtual_clock import VirtualClock


def test_callbacks_run_in_time_and_scheduling_order() -> None:
    clock = VirtualClock()
    ran: list[tuple[float, str]] = []

    def record(name: str) -> None:
        ran.append((clock.now, name))

    clock.schedule(2.0, record, "last")
    clock.schedule(1.0, record, "first")
    clock.schedule(1.0, record, "second")
    assert clock.run(max_events=3)
    assert ran == [(1.0, "first"), (1.0, "second"), (2.0, "last")]


def test_overdue_callback_runs_at_current_time() -> None:
    clock = VirtualClock(now=5.0)
    ran: list[float] = []
    clock.schedule(1.0, lambda _: ran.append(clock.now), None)
    assert clock.run(max_events=1)
    assert ran == [5.0]


def test_run_stops_at_event_limit() -> None:
    clock = VirtualClock()
    ran: list[int] = []
    for number in range(3):
        clock.schedule(float(number), ran.append, number)
    assert not clock.run(max_events=2)
    assert ran == [0, 1]
    assert clock.events_run == 2
    assert clock.run(max_events=3)


def test_run_until_includes_end_time_and_sets_clock() -> None:
    clock = VirtualClock()
    ran: list[str] = []
    clock.schedule(1.0, ran.append, "before")
    clock.schedule(2.0, ran.append, "at the time")
    clock.schedule(2.5, ran.append, "after")
    clock.run_until(2.0)
    assert ran == ["before", "at the time"]
    assert clock.now == 2.0
    clock.run_until(2.25)
    assert clock.now == 2.25
    assert ran == ["before", "at the time"]
