"""When input arrived that was left in the kernel, and the bytes in their order."""

from __future__ import annotations

from loadbalancer.network.client.requests.receive_buffer import (
    MERGED_PERIOD_S,
    ArrivalEstimate,
    ReceiveBuffer,
)


def test_bytes_keep_their_order_and_arrival_time() -> None:
    buffer = ReceiveBuffer()
    buffer.append(b"abc", 1.0)
    buffer.append(b"def", 1.0 + MERGED_PERIOD_S / 2)  # counts as part of the earlier input
    buffer.append(b"ghi", 2.0)
    assert buffer.take(4) == (b"abcd", 1.0)
    assert buffer.take(100) == (b"ef", 1.0)
    assert buffer.take(100) == (b"ghi", 2.0)
    assert buffer.size == 0


def test_input_arrives_when_it_is_read_unless_some_is_left_unread() -> None:
    estimate = ArrivalEstimate(None)
    assert estimate.record_read(10, 1.0, 0) == 1.0
    assert estimate.record_read(10, 2.0, 0) == 2.0


def test_input_left_in_kernel_arrived_when_it_was_first_seen_there() -> None:
    estimate = ArrivalEstimate(None)
    assert estimate.record_read(100, 1.0, 150) == 1.0
    assert not estimate.is_caught_up
    assert estimate.record_read(100, 2.0, 80) == 1.0
    assert estimate.record_read(100, 3.0, 0) == 1.0  # bytes 200 to 250 were there at 1.0
    assert estimate.is_caught_up
    assert estimate.record_read(10, 4.0, 0) == 4.0


def test_input_beyond_what_the_kernel_held_arrived_later() -> None:
    estimate = ArrivalEstimate(None)
    estimate.record_read(100, 1.0, 50)
    assert estimate.record_read(50, 2.0, 100) == 1.0
    assert estimate.record_read(50, 3.0, 50) == 1.0
    assert estimate.record_read(50, 4.0, 100) == 1.0
    assert estimate.record_read(50, 5.0, 0) == 3.0  # 250 bytes had arrived at 3.0


def test_unknown_number_of_unread_bytes_gives_the_earliest_time() -> None:
    estimate = ArrivalEstimate(None)
    estimate.record_read(100, 1.0, None)
    assert estimate.record_read(100, 5.0, None) == 1.0
    estimate.record_drained()
    assert estimate.record_read(100, 6.0, 0) == 6.0


def test_input_after_a_pause_arrived_after_its_beginning() -> None:
    estimate = ArrivalEstimate(None)
    estimate.record_read(100, 1.0, 0)
    estimate.record_pause(2.0)
    assert estimate.record_read(100, 9.0, 0) == 2.0


def test_first_input_may_have_arrived_before_the_connection_was_accepted() -> None:
    estimate = ArrivalEstimate(0.5)
    assert estimate.record_read(100, 1.0, 0) == 0.5
    assert estimate.record_read(100, 2.0, 0) == 2.0
