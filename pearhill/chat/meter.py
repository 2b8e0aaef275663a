"""Token usage of one run, as the replica's stream shows it."""

from __future__ import annotations


class UsageMeter:
    """Counts tokens of the current attempt of a run.

    `prompt_tokens`, `cached_tokens` (of the prompt's) and `output_tokens` are the replica's own figures once
    `is_reported`; until then there is only `event_count`, the events with choices so far.
    """

    __slots__ = ("prompt_tokens", "cached_tokens", "output_tokens", "event_count", "is_reported")

    def __init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        """Forget an earlier attempt: its stream did not reach the client, so that it is not charged."""
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.output_tokens = 0
        self.event_count = 0
        self.is_reported = False

    def count_event(self) -> None:
        """Count an event that has choices."""
        self.event_count += 1

    def record_usage(self, prompt_tokens: int, cached_tokens: int, output_tokens: int) -> None:
        """Take the figures of the replica's usage event; cached tokens beyond the prompt's are not believed."""
        self.prompt_tokens = prompt_tokens
        self.cached_tokens = min(cached_tokens, prompt_tokens)
        self.output_tokens = output_tokens
        self.is_reported = True
