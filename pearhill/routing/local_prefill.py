"""Limits the prompt tokens that decode replicas prefill themselves to a share that follows the prefill latency."""

from __future__ import annotations

from pearhill.routing.load_estimates import SHORT_PROMPT_TOKENS
from pearhill.routing.statistics import STEP_INTERVAL_US, DecayingMean

INITIAL_RATIO = 0.2  # of all prompt tokens
RATIO_STEP = 0.1
MAX_RATIO = 0.3
HIGH_LATENCY_SHARE = 0.5  # of the latency objective; the ratio rises while prefills take longer
LOW_LATENCY_SHARE = 0.25  # of the latency objective; the ratio falls while prefills are faster
MAX_ALLOWANCE_TOKENS = 4 * SHORT_PROMPT_TOKENS
INITIAL_LATENCY_SHARE = 0.5
LATENCY_MAX_SAMPLES = 30  # maximum weight of the evidence


class LocalPrefill:
    """A token bucket for local prefills, whose fill ratio follows the latency of the prefill replicas."""

    def __init__(self) -> None:
        self.ratio = INITIAL_RATIO
        self.allowance = 0.0  # tokens
        # Prefill latency as a share of the latency objective.
        self.latency_share = DecayingMean(STEP_INTERVAL_US, LATENCY_MAX_SAMPLES, INITIAL_LATENCY_SHARE)

    def record_arrival(self, prompt_tokens: int) -> None:
        """Add a share of an arrived prompt's tokens to the allowance."""
        self.allowance = min(MAX_ALLOWANCE_TOKENS, self.allowance + self.ratio * prompt_tokens)

    def spend(self, tokens: int) -> None:
        """Take locally prefilled tokens off the allowance. A negative number corrects an earlier estimate."""
        self.allowance -= tokens

    def record_latency(self, now: int, elapsed: int, latency_objective: int) -> None:
        """Record how many microseconds a prefill at a prefill replica took, or has been running for."""
        self.latency_share.add(now, elapsed / latency_objective)

    def step(self) -> None:
        """Adjust the ratio to the prefill latency. Called every `STEP_INTERVAL_US`."""
        share = self.latency_share.value
        change = 0.0
        if share > HIGH_LATENCY_SHARE:
            change = RATIO_STEP
        elif share < LOW_LATENCY_SHARE:
            change = -RATIO_STEP
        self.ratio = round(min(MAX_RATIO, max(0.0, self.ratio + change)), 1)
