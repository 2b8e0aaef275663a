"""What the core requires of the front end that a request came from."""

from __future__ import annotations

from typing import Any, Protocol


class Client(Protocol):
    """Where a request came from.

    The core calls exactly one of `reject`, `fail`, `decline`, `finish` and `abort`, or none if the client goes first.
    """

    def reject(self, retry_after: int) -> None:
        """Final: not executed, and a retry is harmless after `retry_after` microseconds (0: no advice)."""

    def fail(self) -> None:
        """Final: failed, nothing is promised."""

    def decline(self, replica_error: Any) -> None:
        """Final: a replica found fault with the request itself. The backend's dialect knows what the error is."""

    async def forward(self, data: bytes) -> None:
        """A piece of the answer, unchanged; returns when there is room for more."""

    def finish(self) -> None:
        """Final: the answer is complete."""

    def abort(self) -> None:
        """Final: the answer has begun and will not be complete."""

    def has_disconnected(self) -> bool:
        """Whether the client has gone, checked now: nothing more is begun for it."""
