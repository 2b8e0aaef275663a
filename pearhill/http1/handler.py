"""The interface between connections and front ends. The listener's connections and the ASGI adapter both use it."""

from __future__ import annotations

from typing import Protocol

from pearhill.http1.messages import Headers, RequestMessage


class Pending(Protocol):
    """A request that is being answered."""

    def handle_disconnect(self) -> None:
        """Handle the disconnect of the client."""


class Reply(Protocol):
    """How a handler answers one request.

    It calls `answer` or `reject`; or `start`, `write` any number of times, and `finish` or `abort`.
    """

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send a complete response."""

    def reject(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer invalid input. The bytes after it on the connection may belong to it, so none of them are served."""

    def start(self, status: int, headers: Headers = ()) -> None:
        """Begin a response whose body follows in pieces. The head is sent with the first piece."""

    async def write(self, data: bytes) -> None:
        """Send a piece of the body. Returns once the send buffer has room for more."""

    def finish(self, last: bytes = b"") -> None:
        """Complete the response with these last bytes of the body."""

    def abort(self, last: bytes = b"") -> None:
        """Truncate the response after these last bytes of the body."""

    def has_disconnected(self) -> bool:
        """Check now whether the client has disconnected.

        If so, `Pending.handle_disconnect` has been called, or is called as soon as `Handler.handle` has returned the
        `Pending`.
        """

    def has_unread_input(self) -> bool:
        """Check now whether bytes from the client wait to be read, behind which its connection may end."""


class Handler(Protocol):
    """A front end: the handler of one API's requests."""

    def handle(self, message: RequestMessage, reply: Reply) -> Pending | None:
        """Answer a request, now or later.

        Returns None if a disconnect of the client need not be reported: the request is answered already, or its
        handling does not depend on the client.
        """

    def rejection_response(self, status: int, reason: str) -> tuple[Headers, bytes]:
        """Return the headers and the body of the response to input that could not be parsed as a request."""

    def overload_response(self) -> tuple[Headers, bytes]:
        """Return the headers and the body of the 503 response to a request that was discarded before it began."""
