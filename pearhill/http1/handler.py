"""The interface between connections and front ends: the same for the listener's connections and for ASGI."""

from __future__ import annotations

from typing import Protocol

from pearhill.http1.messages import Headers, RequestMessage


class Pending(Protocol):
    """A request that is being answered."""

    def handle_disconnect(self) -> None:
        """Its client has gone."""


class Reply(Protocol):
    """How a handler answers one request.

    It calls `answer` or `reject`; or `start`, `write` any number of times, and `finish` or `abort`.
    """

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """A complete answer."""

    def reject(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer bad input. What follows it on its connection may be a part of it, so that none of that is served."""

    def start(self, status: int, headers: Headers = ()) -> None:
        """The head of an answer in pieces; it goes out with the first of them."""

    async def write(self, data: bytes) -> None:
        """A piece of the body; returns when there is room for more."""

    def finish(self, last: bytes = b"") -> None:
        """The answer is complete, with these last bytes."""

    def abort(self, last: bytes = b"") -> None:
        """The answer is cut, after these last bytes."""

    def has_disconnected(self) -> bool:
        """Whether the client has gone, checked now.

        Then `Pending.handle_disconnect` has been called, or is once there is one.
        """


class Handler(Protocol):
    """A front end."""

    def handle(self, message: RequestMessage, reply: Reply) -> Pending | None:
        """Answer a request, now or later. None: its client need not be watched: it is answered, or may go unnoticed."""

    def rejected(self, status: int, why: str) -> tuple[Headers, bytes]:
        """Headers and body for input that was rejected before it became a request."""
