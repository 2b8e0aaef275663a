"""What has been seen of one run, in tokens."""

from __future__ import annotations


class Meter:
    """What has been seen of one run, in tokens."""

    __slots__ = ("prompt", "cached", "answer", "events", "told")

    def __init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        """Another attempt: what an earlier one has shown and nobody has read does not count."""
        self.prompt = self.cached = self.answer = self.events = 0
        self.told = False

    def event(self) -> None:
        self.events += 1

    def usage(self, prompt: int, cached: int, answer: int) -> None:
        self.prompt, self.cached, self.answer, self.told = prompt, min(cached, prompt), answer, True
