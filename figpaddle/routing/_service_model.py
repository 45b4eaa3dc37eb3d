"""What one instance has learnt of a service from its own requests."""

from __future__ import annotations

#: Prefill before the first sample, seconds a token.
INITIAL_PREFILL_S = 1 / 8000
#: Time between tokens before the first sample, seconds.
INITIAL_TOKEN_S = 0.025
#: Weight of a sample that is faster than the present estimate of the prefill.
FASTER_WEIGHT = 0.1
#: Weight of a sample that is slower.
SLOWER_WEIGHT = 0.005
#: Weight of a sample in the other averages.
SAMPLE_WEIGHT = 0.05
#: Shortest prefill that tells something of its speed, tokens.
MIN_SAMPLE_TOKENS = 256


class ServiceModel:
    """Averages over all backend servers of a service.

    The prefill time follows the fast samples, since waiting only ever adds to it.
    """

    def __init__(self) -> None:
        #: Prefill without waiting, seconds a token.
        self.prefill_s = INITIAL_PREFILL_S
        #: Time that a request holds a slot, seconds; 0 before the first sample, so that nothing
        #: is refused on a guess.
        self.duration_s = 0.0
        #: Time between tokens, seconds.
        self.token_s = INITIAL_TOKEN_S

    def sample_prefill(self, *, uncached_tokens: float, seconds: float) -> None:
        """Take in the time to the first token of a request."""
        if uncached_tokens < MIN_SAMPLE_TOKENS:
            return
        sample = seconds / uncached_tokens
        weight = FASTER_WEIGHT if sample < self.prefill_s else SLOWER_WEIGHT
        self.prefill_s += weight * (sample - self.prefill_s)

    def sample_end(self, *, duration_s: float, token_s: float | None) -> None:
        """Take in a finished request."""
        weight = SAMPLE_WEIGHT if self.duration_s else 1.0
        self.duration_s += weight * (duration_s - self.duration_s)
        if token_s is not None:
            self.token_s += SAMPLE_WEIGHT * (token_s - self.token_s)
