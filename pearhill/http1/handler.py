"""What answers requests, and how: for the listener's connections and for ASGI alike."""

from __future__ import annotations

from typing import Protocol

from pearhill.http1.messages import Headers, RequestMessage


class Pending(Protocol):
    """A request that is being answered."""

    def left(self) -> None:
        """Its client has gone."""


class Reply(Protocol):
    """How a handler answers one request: `answer` or `turn_away`, or `start`, any number of `write`, and `finish`
    or `abort`."""

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None: ...

    def reject(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer bad input. Danger: what follows it on its connection may be a part of it; none of that is served."""

    def start(self, status: int, headers: Headers = ()) -> None:
        """The head of an answer in pieces; it goes out with the first of them."""

    async def write(self, data: bytes) -> None: ...
    def finish(self, last: bytes = b"") -> None:
        """The answer is whole, with these last bytes."""

    def abort(self, last: bytes = b"") -> None:
        """The answer ends without its end, after these last bytes."""

    def has_disconnected(self) -> bool:
        """Whether the client has gone, seen now; its `Pending` has been told then, or is as soon as there is one."""


class Handler(Protocol):
    def handle(self, message: RequestMessage, reply: Reply) -> Pending | None:
        """Answer a request, now or later. None: it is answered already, or its client's leaving is no matter."""

    def rejected(self, status: int, why: str) -> tuple[Headers, bytes]:
        """Headers and body for input that was turned away before it became a request."""
