"""Latency histograms and request counts in the Prometheus text format."""

from __future__ import annotations

import dataclasses
import enum
from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from figpaddle.daemon._request_response import ResponseHead, ResponseSink

#: Range of the histograms, microseconds; durations outside are clamped to it.
MIN_DURATION_US = 1
MAX_DURATION_US = 3_600_000_000
#: Significant decimal digits of a recorded duration.
SIGNIFICANT_DIGITS = 2
#: Exported percentiles.
PERCENTILES = (50.0, 95.0, 99.0)


class Stage(enum.Enum):
    """A stage of a request, measured at the instance that received it from the caller."""

    #: From receipt of the request to the head of the response.
    FIRST_BYTE = "first_byte"
    #: From one chunk of the response to the next; the first one counts from the head.
    CHUNK_GAP = "piece_gap"
    #: From receipt of the request to the end of the response.
    TOTAL = "whole"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Series:
    """Labels of one histogram."""

    #: Stage of the request.
    stage: Stage
    #: Service as ``member/service``.
    service_key: str
    #: Priority class within the member.
    priority: int


class Metrics:
    """Durations by stage, service and priority, and counts by service and result.

    >>> metrics = Metrics()
    >>> series = Series(stage=Stage.TOTAL, service_key="hanbit/draft", priority=0)
    >>> metrics.record(series, seconds=0.25)
    >>> metrics.render(member=None).splitlines()[0]
    'figpaddle_stage_count{stage="whole",service="hanbit/draft",priority="0"} 1'
    """

    def __init__(self) -> None:
        self._histograms: dict[Series, HdrHistogram] = {}
        self._counts: Counter[tuple[str, str]] = Counter()
        self._unanswered: Counter[str] = Counter()

    def record(self, series: Series, *, seconds: float) -> None:
        """Add a duration to the histogram of ``series``."""
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS)
            self._histograms[series] = histogram
        duration_us = min(MAX_DURATION_US, max(MIN_DURATION_US, round(seconds * 1_000_000)))
        histogram.record_value(duration_us)

    def count_request(self, service_key: str, result: str) -> None:
        """Count a request to ``service_key`` that ended with ``result``."""
        self._counts[service_key, result] += 1

    def count_unanswered(self, reason: str) -> None:
        """Count a request that was read as a whole and got no answer while its caller waited."""
        self._unanswered[reason] += 1

    def render(self, *, member: str | None) -> str:
        """Return the metrics of ``member``, or of all if None, in the text exposition format."""
        lines: list[str] = []
        for series in sorted(self._histograms, key=_sort_key):
            if _is_visible_to(series.service_key, member):
                lines += self._render_histogram(series)
        for (service_key, result), total in sorted(self._counts.items()):
            if _is_visible_to(service_key, member):
                labels = f'service="{service_key}",result="{result}"'
                lines.append(f"figpaddle_requests_total{{{labels}}} {total}")
        if member is None:
            lines += [
                f'figpaddle_requests_unanswered_total{{reason="{reason}"}} {total}'
                for reason, total in sorted(self._unanswered.items())
            ]
        return "\n".join(lines) + "\n"

    def _render_histogram(self, series: Series) -> list[str]:
        histogram = self._histograms[series]
        labels = (
            f'stage="{series.stage.value}",service="{series.service_key}",'
            f'priority="{series.priority}"'
        )
        lines = [f"figpaddle_stage_count{{{labels}}} {histogram.get_total_count()}"]
        for percentile in PERCENTILES:
            seconds = histogram.get_value_at_percentile(percentile) / 1_000_000
            quantile = f'{labels},quantile="{percentile / 100:g}"'
            lines.append(f"figpaddle_stage_seconds{{{quantile}}} {seconds:.6f}")
        return lines


def _sort_key(series: Series) -> tuple[str, int, str]:
    return (series.service_key, series.priority, series.stage.value)


def _is_visible_to(service_key: str, member: str | None) -> bool:
    return member is None or service_key.startswith(f"{member}/")


class MetricsSink(ResponseSink):
    """Passes a response on and records the times of its head, its chunks and its end."""

    def __init__(
        self,
        *,
        sink: ResponseSink,
        metrics: Metrics,
        service_key: str,
        priority: int,
        received_at: float,
        clock: Callable[[], float],
    ) -> None:
        self._sink = sink
        self._metrics = metrics
        self._service_key = service_key
        self._priority = priority
        self._received_at = received_at
        self._last_recorded_at = received_at
        self._clock = clock

    @property
    def started(self) -> bool:
        """Whether the head of the response was passed on."""
        return self._sink.started

    async def start(self, head: ResponseHead) -> None:
        """Record the time to the head and pass the head on."""
        self._record(Stage.FIRST_BYTE, self._received_at)
        await self._sink.start(head)

    async def write(self, data: bytes) -> None:
        """Record the time since the last event and pass the chunk on."""
        self._record(Stage.CHUNK_GAP, self._last_recorded_at)
        await self._sink.write(data)

    async def finish(self) -> None:
        """Pass the end on, then record the total time and count the request."""
        await self._sink.finish()
        self._record(Stage.TOTAL, self._received_at)
        self._metrics.count_request(self._service_key, "answered")

    def _record(self, stage: Stage, since: float) -> None:
        now = self._clock()
        series = Series(stage=stage, service_key=self._service_key, priority=self._priority)
        self._metrics.record(series, seconds=now - since)
        self._last_recorded_at = now
