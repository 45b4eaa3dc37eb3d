"""Counters, gauges and histograms of a process, as a page in text exposition format."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

#: Shortest and longest time that a histogram tells apart, microseconds.
MIN_TIME_US = 1
MAX_TIME_US = 3_600_000_000
#: Significant decimal digits of a recorded time.
SIGNIFICANT_DIGITS = 2
#: Quantiles on the page, in percent.
QUANTILES = (50.0, 90.0, 95.0, 99.0)

Labels = tuple[tuple[str, str], ...]


class Counters:
    """Counts and times by name and labels.

    >>> counters = Counters()
    >>> counters.count("requests_total", outcome="answered")
    >>> counters.page().strip()
    'figpaddle_requests_total{outcome="answered"} 1'
    """

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, Labels]] = Counter()
        self._times: dict[tuple[str, Labels], HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._labelled: dict[tuple[str, str], Callable[[], Mapping[str, float]]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self._counts[name, tuple(sorted(labels.items()))] += amount

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Add a time to a histogram."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._times.get(key)
        if histogram is None:
            histogram = HdrHistogram(MIN_TIME_US, MAX_TIME_US, SIGNIFICANT_DIGITS)
            self._times[key] = histogram
        histogram.record_value(min(MAX_TIME_US, max(MIN_TIME_US, round(seconds * 1_000_000))))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Show the value that ``read`` returns whenever the page is made."""
        self._gauges[name] = read

    def gauges(self, name: str, label: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Show the values that ``read`` returns by the value of ``label``."""
        self._labelled[name, label] = read

    def page(self) -> str:
        """Return the page."""
        lines = [
            f"figpaddle_{name}{_braces(labels)} {number}"
            for (name, labels), number in sorted(self._counts.items())
        ]
        lines += [f"figpaddle_{name} {read():g}" for name, read in sorted(self._gauges.items())]
        for (name, label), read_all in sorted(self._labelled.items()):
            lines += [
                f"figpaddle_{name}{_braces(((label, key),))} {value:g}"
                for key, value in sorted(read_all().items())
            ]
        for (name, labels), histogram in sorted(self._times.items(), key=lambda item: item[0]):
            count = histogram.get_total_count()
            lines.append(f"figpaddle_{name}_count{_braces(labels)} {count}")
            for percent in QUANTILES:
                seconds = histogram.get_value_at_percentile(percent) / 1_000_000
                quantile = (*labels, ("quantile", f"{percent / 100:g}"))
                lines.append(f"figpaddle_{name}{_braces(quantile)} {seconds:.6f}")
        return "\n".join(lines) + "\n"


def _braces(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"
