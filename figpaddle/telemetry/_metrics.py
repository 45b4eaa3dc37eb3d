"""Counters, gauges and histograms of a process, rendered in the Prometheus text format."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

#: Range of durations that a histogram records, microseconds; others are clamped to it.
MIN_RECORDED_TIME_US = 1
MAX_RECORDED_TIME_US = 3_600_000_000
#: Precision of a recorded duration, significant decimal digits.
SIGNIFICANT_DIGITS = 2
#: Percentiles rendered for each histogram.
REPORTED_PERCENTILES = (50.0, 90.0, 95.0, 99.0)

Labels = tuple[tuple[str, str], ...]


class MetricsRegistry:
    """Registry of a process's metrics, by name and labels.

    >>> metrics = MetricsRegistry()
    >>> metrics.count("requests_total", outcome="answered")
    >>> metrics.render().strip()
    'figpaddle_requests_total{outcome="answered"} 1'
    """

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, Labels]] = Counter()
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._labeled_gauges: dict[tuple[str, str], Callable[[], Mapping[str, float]]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        self._counts[name, tuple(sorted(labels.items()))] += amount

    def record_duration(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(MIN_RECORDED_TIME_US, MAX_RECORDED_TIME_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        histogram.record_value(
            min(MAX_RECORDED_TIME_US, max(MIN_RECORDED_TIME_US, round(seconds * 1_000_000)))
        )

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge; ``read`` returns its value and is called for each rendering."""
        self._gauges[name] = read

    def labeled_gauge(self, name: str, label: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Register a gauge with one label; ``read`` returns a value for each value of ``label``."""
        self._labeled_gauges[name, label] = read

    def render(self) -> str:
        """Return all metrics as text."""
        lines = [
            f"figpaddle_{name}{_format_labels(labels)} {number}"
            for (name, labels), number in sorted(self._counts.items())
        ]
        lines += [f"figpaddle_{name} {read():g}" for name, read in sorted(self._gauges.items())]
        for (name, label), read_values in sorted(self._labeled_gauges.items()):
            lines += [
                f"figpaddle_{name}{_format_labels(((label, key),))} {value:g}"
                for key, value in sorted(read_values().items())
            ]
        for (name, labels), histogram in sorted(self._histograms.items(), key=lambda item: item[0]):
            count = histogram.get_total_count()
            lines.append(f"figpaddle_{name}_count{_format_labels(labels)} {count}")
            for percent in REPORTED_PERCENTILES:
                seconds = histogram.get_value_at_percentile(percent) / 1_000_000
                quantile = (*labels, ("quantile", f"{percent / 100:g}"))
                lines.append(f"figpaddle_{name}{_format_labels(quantile)} {seconds:.6f}")
        return "\n".join(lines) + "\n"


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"
