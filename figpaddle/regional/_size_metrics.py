"""Counts requests by their size, so that operators see whether size decides who is served."""

from __future__ import annotations

import bisect

from figpaddle.telemetry import MetricsRegistry

#: Upper ends of the bands, tokens. Requests of one route often differ by a factor of ten.
BANDS = (128, 256, 512, 1024, 4096, 16384)


def size_band(tokens: int) -> str:
    """Return the name of the band that a number of tokens belongs to.

    >>> size_band(128), size_band(129), size_band(1_000_000)
    ('128', '256', 'more')
    """
    index = bisect.bisect_left(BANDS, tokens)
    return str(BANDS[index]) if index < len(BANDS) else "more"


class SizeMetrics:
    """Counts the ends of requests that state their tokens, by route, band and outcome.

    Prompt and answer are counted apart: the prompt decides when an answer begins, and the answer when it ends.

    >>> metrics = MetricsRegistry()
    >>> SizeMetrics(metrics=metrics).count_end(
    ...     "query", prompt_tokens=900, output_tokens=600, outcome="refused: late"
    ... )
    >>> print(metrics.render().strip())
    figpaddle_requests_by_answer_total{outcome="refused: late",route="query",tokens="1024"} 1
    figpaddle_requests_by_prompt_total{outcome="refused: late",route="query",tokens="1024"} 1
    """

    def __init__(self, *, metrics: MetricsRegistry) -> None:
        self._metrics = metrics

    def count_end(
        self, route: str, *, prompt_tokens: int, output_tokens: int, outcome: str
    ) -> None:
        """Count the end of a request; one that states no tokens isn't counted."""
        if not prompt_tokens and not output_tokens:
            return
        # Only the reasons of refusals come from a fixed set.
        kind = outcome if outcome.startswith("refused") else outcome.partition(":")[0]
        for name, tokens in (("answer", output_tokens), ("prompt", prompt_tokens)):
            self._metrics.count(
                f"requests_by_{name}_total", route=route, tokens=size_band(tokens), outcome=kind
            )
