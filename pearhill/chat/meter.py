"""Measures the token usage of one run in the replica's stream."""

from __future__ import annotations


class UsageMeter:
    """Counts tokens of the current attempt of a run.

    `prompt_tokens`, `cached_tokens` (a part of the prompt's) and `output_tokens` are 0 until the replica has reported
    them, which sets `is_reported`. `event_count` is the number of events with choices so far.
    """

    __slots__ = ("prompt_tokens", "cached_tokens", "output_tokens", "event_count", "is_reported")

    def __init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        """Reset all counts for a new attempt. The previous attempt did not reach the client and is not charged."""
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.output_tokens = 0
        self.event_count = 0
        self.is_reported = False

    def count_event(self) -> None:
        """Count an event that has choices."""
        self.event_count += 1

    def record_usage(self, prompt_tokens: int, cached_tokens: int, output_tokens: int) -> None:
        """Store the figures of the replica's usage event. Cached tokens are capped at the prompt's tokens."""
        self.prompt_tokens = prompt_tokens
        self.cached_tokens = min(cached_tokens, prompt_tokens)
        self.output_tokens = output_tokens
        self.is_reported = True
