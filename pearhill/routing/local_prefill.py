"""How many prompt tokens decode replicas prefill themselves: a capped share that follows the prefill latency."""

from __future__ import annotations

from pearhill.routing.load_estimates import SHORT_PROMPT_TOKENS
from pearhill.routing.statistics import STEP_INTERVAL_US, DecayingMean

INITIAL_RATIO = 0.2  # of all prompt tokens (design)
RATIO_STEP = 0.1
MAX_RATIO = 0.3
HIGH_LATENCY_SHARE = 0.5  # of the latency objective: above it the ratio rises
LOW_LATENCY_SHARE = 0.25  # below it the ratio falls
MAX_SAVED_TOKENS = 4 * SHORT_PROMPT_TOKENS
INITIAL_LATENCY_SHARE = 0.5
LATENCY_MAX_SAMPLES = 30  # what the evidence is worth at most


class LocalPrefill:
    """The ratio, the tokens that may be prefilled locally by it, and the latency that it follows."""

    def __init__(self) -> None:
        self.ratio = INITIAL_RATIO
        self.allowance = 0.0  # tokens
        # Of prefilling, in the latency objective.
        self.latency_share = DecayingMean(STEP_INTERVAL_US, LATENCY_MAX_SAMPLES, INITIAL_LATENCY_SHARE)

    def record_arrival(self, prompt_tokens: int) -> None:
        """A prompt has arrived, and adds its part to the allowance."""
        self.allowance = min(MAX_SAVED_TOKENS, self.allowance + self.ratio * prompt_tokens)

    def spend(self, tokens: int) -> None:
        """So many tokens are to be prefilled locally; less than 0: fewer than was thought."""
        self.allowance -= tokens

    def record_latency(self, now: int, elapsed: int, latency_objective: int) -> None:
        """Prefilling a prompt at a prefill replica has taken so long, or has not ended for so long."""
        self.latency_share.add(now, elapsed / latency_objective)

    def step(self) -> None:
        """Every `STEP_INTERVAL_US`: the ratio follows the latency."""
        share = self.latency_share.value
        change = 0.0
        if share > HIGH_LATENCY_SHARE:
            change = RATIO_STEP
        elif share < LOW_LATENCY_SHARE:
            change = -RATIO_STEP
        self.ratio = round(min(MAX_RATIO, max(0.0, self.ratio + change)), 1)
