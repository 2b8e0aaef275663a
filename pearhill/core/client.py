"""The interface through which the core answers the client of a request."""

from __future__ import annotations

from typing import Any, Protocol


class Client(Protocol):
    """The sender of a request; a front end implements it.

    The core calls exactly one of `reject`, `fail`, `decline`, `finish` and `abort`, or none of them if the client
    disconnects first.
    """

    def reject(self, retry_after: int) -> None:
        """Final answer: not executed; a retry is safe after `retry_after` microseconds (0: no delay is suggested)."""

    def fail(self) -> None:
        """Final answer: failed; the request may or may not have been executed."""

    def decline(self, replica_error: Any) -> None:
        """Final answer: a replica found the request itself to be invalid.

        The backend's dialect defines the form of `replica_error`.
        """

    async def forward(self, data: bytes) -> None:
        """Forward a piece of the answer unchanged. Returns when the client can take more."""

    def finish(self) -> None:
        """End the answer, which is complete."""

    def abort(self) -> None:
        """End the answer, which has begun and will not be completed."""

    def abandon(self) -> None:
        """End the answer after an exception on the way of the request, however far it is: with an error or a close.

        It may follow any other call, also one that has ended the answer, or has failed to.
        """

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, checked now. No further work is started for such a client."""

    def has_unread_input(self) -> bool:
        """Return whether the client has sent bytes that were not read yet, behind which its connection may end."""
