"""Histograms of each stage of a request and counts of outcomes, as a text page."""

from __future__ import annotations

import dataclasses
import enum
from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from figpaddle.daemon._exchange import AnswerHead, AnswerSink

#: Shortest and longest time that a histogram tells apart, microseconds.
MIN_TIME_US = 1
MAX_TIME_US = 3_600_000_000
#: Significant decimal digits of a recorded time.
SIGNIFICANT_DIGITS = 2
#: Percentiles on the page.
PERCENTILES = (50.0, 95.0, 99.0)


class Stage(enum.Enum):
    """A stage of a request at its entry instance."""

    #: From receipt to the head of the answer.
    FIRST_BYTE = "first_byte"
    #: Between two pieces of the answer.
    PIECE_GAP = "piece_gap"
    #: From receipt to the end mark.
    WHOLE = "whole"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Series:
    """What a histogram is about."""

    #: Stage of the request.
    stage: Stage
    #: Service as ``member/service``.
    offering: str
    #: Priority class within the member.
    priority: int


class Metrics:
    """Times by stage, service and priority, and counts by service and result.

    >>> metrics = Metrics()
    >>> series = Series(stage=Stage.WHOLE, offering="hanbit/draft", priority=0)
    >>> metrics.record(series, seconds=0.25)
    >>> metrics.page(member=None).splitlines()[0]
    'figpaddle_stage_count{stage="whole",service="hanbit/draft",priority="0"} 1'
    """

    def __init__(self) -> None:
        self._histograms: dict[Series, HdrHistogram] = {}
        self._counts: Counter[tuple[str, str]] = Counter()

    def record(self, series: Series, *, seconds: float) -> None:
        """Add a time to the histogram of ``series``."""
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(MIN_TIME_US, MAX_TIME_US, SIGNIFICANT_DIGITS)
            self._histograms[series] = histogram
        time_us = min(MAX_TIME_US, max(MIN_TIME_US, round(seconds * 1_000_000)))
        histogram.record_value(time_us)

    def count(self, offering: str, result: str) -> None:
        """Count a request to ``offering`` that ended with ``result``."""
        self._counts[offering, result] += 1

    def page(self, *, member: str | None) -> str:
        """Return the page in text exposition format, of one member or of all."""
        lines: list[str] = []
        for series in sorted(self._histograms, key=_order):
            if _belongs(series.offering, member):
                lines += self._lines(series)
        for (offering, result), number in sorted(self._counts.items()):
            if _belongs(offering, member):
                labels = f'service="{offering}",result="{result}"'
                lines.append(f"figpaddle_requests_total{{{labels}}} {number}")
        return "\n".join(lines) + "\n"

    def _lines(self, series: Series) -> list[str]:
        histogram = self._histograms[series]
        labels = (
            f'stage="{series.stage.value}",service="{series.offering}",'
            f'priority="{series.priority}"'
        )
        lines = [f"figpaddle_stage_count{{{labels}}} {histogram.get_total_count()}"]
        for percentile in PERCENTILES:
            seconds = histogram.get_value_at_percentile(percentile) / 1_000_000
            quantile = f'{labels},quantile="{percentile / 100:g}"'
            lines.append(f"figpaddle_stage_seconds{{{quantile}}} {seconds:.6f}")
        return lines


def _order(series: Series) -> tuple[str, int, str]:
    return (series.offering, series.priority, series.stage.value)


def _belongs(offering: str, member: str | None) -> bool:
    return member is None or offering.startswith(f"{member}/")


class MeasuredSink(AnswerSink):
    """Passes an answer on and records when its head, its pieces and its end come."""

    def __init__(
        self,
        *,
        sink: AnswerSink,
        metrics: Metrics,
        offering: str,
        priority: int,
        received_at: float,
        clock: Callable[[], float],
    ) -> None:
        self._sink = sink
        self._metrics = metrics
        self._offering = offering
        self._priority = priority
        self._received_at = received_at
        self._last_at = received_at
        self._clock = clock

    @property
    def started(self) -> bool:
        """Whether the head of the answer has been sent."""
        return self._sink.started

    async def start(self, head: AnswerHead) -> None:
        """Send the head of the answer."""
        self._record(Stage.FIRST_BYTE, self._received_at)
        await self._sink.start(head)

    async def write(self, data: bytes) -> None:
        """Send a piece of the answer."""
        self._record(Stage.PIECE_GAP, self._last_at)
        await self._sink.write(data)

    async def finish(self) -> None:
        """Send the end mark."""
        await self._sink.finish()
        self._record(Stage.WHOLE, self._received_at)
        self._metrics.count(self._offering, "answered")

    def _record(self, stage: Stage, since: float) -> None:
        now = self._clock()
        series = Series(stage=stage, offering=self._offering, priority=self._priority)
        self._metrics.record(series, seconds=now - since)
        self._last_at = now
