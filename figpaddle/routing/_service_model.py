"""Speed of a service as measured by one instance on its own requests."""

from __future__ import annotations

#: Initial estimate of the prefill time, seconds per token.
INITIAL_PREFILL_S = 1 / 8000
#: Initial estimate of the time between tokens, seconds.
INITIAL_TOKEN_S = 0.025
#: Weight of a prefill sample that is faster than the current estimate.
FASTER_WEIGHT = 0.1
#: Weight of a prefill sample that is slower; low, because it may include waiting.
SLOWER_WEIGHT = 0.005
#: Weight of a sample in the other averages.
SAMPLE_WEIGHT = 0.05
#: Shortest prefill that is used as a sample of its speed, tokens.
MIN_PREFILL_SAMPLE_TOKENS = 256


class ServiceModel:
    """Moving averages over all backend servers of a service.

    The prefill time follows the fast samples, because waiting can only add to it.
    """

    def __init__(self) -> None:
        #: Prefill time without waiting, seconds per token.
        self.prefill_s = INITIAL_PREFILL_S
        #: Time for which a request occupies a slot, seconds; 0 before the first sample, so that no
        #: request is refused without a measurement.
        self.duration_s = 0.0
        #: Time between tokens, seconds.
        self.token_s = INITIAL_TOKEN_S

    def sample_prefill(self, *, uncached_tokens: float, seconds: float) -> None:
        """Record the time to the first token of a request."""
        if uncached_tokens < MIN_PREFILL_SAMPLE_TOKENS:
            return
        sample = seconds / uncached_tokens
        weight = FASTER_WEIGHT if sample < self.prefill_s else SLOWER_WEIGHT
        self.prefill_s += weight * (sample - self.prefill_s)

    def sample_end(self, *, duration_s: float, token_s: float | None) -> None:
        """Record a finished request."""
        weight = SAMPLE_WEIGHT if self.duration_s else 1.0
        self.duration_s += weight * (duration_s - self.duration_s)
        if token_s is not None:
            self.token_s += SAMPLE_WEIGHT * (token_s - self.token_s)
