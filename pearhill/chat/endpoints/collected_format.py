"""What the formats of chat and text completions share: they forward the replica's `[DONE]`, and collect its events."""

from __future__ import annotations

from pearhill.chat.collected import CollectedCompletion
from pearhill.chat.errors import ApiError


class CollectedFormat:
    """A response format whose complete answer is made of all collected events."""

    def __init__(self) -> None:
        self._collected = CollectedCompletion()

    def encode_end(self) -> bytes:
        """Returns nothing, as the replica's `[DONE]` has already been forwarded."""
        return b""

    def encode_truncation(self, error: ApiError) -> bytes:
        """Returns an event with the error object."""
        return b"data: %b\n\n" % error.body()

    def collect_events(self, data: bytes) -> None:
        """Collect the events for `encode_complete`."""
        self._collected.feed(data)
