"""Logging never blocks, drops failures last and reports what it dropped; metrics render."""

from __future__ import annotations

import os

import pytest

from figpaddle.telemetry import BoundedWriter, MetricsRegistry
from figpaddle.telemetry._writer import FAILURE_RESERVE_BYTES, MAX_BUFFERED_BYTES

INFO_LINE = "level=info event=request_ended " + "x" * 100 + "\n"
WARNING_LINE = "level=warning event=attempt_failed " + "y" * 100 + "\n"


def test_a_stalled_reader_does_not_block_the_writer_or_grow_the_buffer() -> None:
    reader, writer_end = os.pipe()
    writer = BoundedWriter(descriptor=writer_end)
    for _ in range(20_000):
        writer.write(INFO_LINE)
        writer.write_available()
    assert writer.buffered_bytes <= MAX_BUFFERED_BYTES
    assert writer.dropped_total > 0
    os.close(reader)
    os.close(writer_end)


def test_failure_lines_are_kept_when_ordinary_lines_are_dropped() -> None:
    reader, writer_end = os.pipe()
    writer = BoundedWriter(descriptor=writer_end)
    while not writer.dropped_total:
        writer.write(INFO_LINE)
    dropped = writer.dropped_total
    writer.write(WARNING_LINE)
    assert writer.dropped_total == dropped
    assert writer.buffered_bytes <= MAX_BUFFERED_BYTES + FAILURE_RESERVE_BYTES
    os.close(reader)
    os.close(writer_end)


def test_the_number_of_dropped_lines_is_logged_once_there_is_room() -> None:
    reader, writer_end = os.pipe()
    writer = BoundedWriter(descriptor=writer_end)
    while not writer.dropped_total:
        writer.write(INFO_LINE)
    received = b""
    for _ in range(200):
        writer.write_available()
        received += os.read(reader, 1 << 16)
        if not writer.buffered_bytes:
            break
    writer.write(INFO_LINE)
    writer.write_available()
    received += os.read(reader, 1 << 16)
    assert b"event=log_lines_dropped lines=1\n" in received
    os.close(reader)
    os.close(writer_end)


@pytest.mark.parametrize("seconds", [0.0, 0.25, 1e9])
def test_durations_out_of_range_are_clamped(seconds: float) -> None:
    metrics = MetricsRegistry()
    metrics.record_duration("request_seconds", seconds, service="s")
    assert 'figpaddle_request_seconds_count{service="s"} 1' in metrics.render()


def test_the_rendered_text_contains_counts_gauges_and_quantiles() -> None:
    metrics = MetricsRegistry()
    metrics.count("requests_total", service="s", outcome="answered")
    metrics.gauge("instances_live", lambda: 7)
    metrics.record_duration("request_seconds", 0.5)
    page = metrics.render()
    assert 'figpaddle_requests_total{outcome="answered",service="s"} 1' in page
    assert "figpaddle_instances_live 7" in page
    assert 'figpaddle_request_seconds{quantile="0.99"}' in page
