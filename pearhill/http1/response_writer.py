"""The response to one request on a connection that carries several, one after the other."""

from __future__ import annotations

import enum
from collections.abc import Callable

from pearhill.http1.handler import Reply
from pearhill.http1.messages import Headers


class ResponseState(enum.Enum):
    """How far a response is."""

    NOT_STARTED = enum.auto()
    STARTED = enum.auto()  # its head is given, and pieces of its body may follow
    ENDED = enum.auto()


class ResponseWriter:
    """A `Reply` for one request, which refuses whatever comes after the end of its response.

    The connection may carry the next response by then, which late pieces, comments, errors or trailers would corrupt.
    """

    def __init__(self, reply: Reply) -> None:
        self._reply = reply
        self._state = ResponseState.NOT_STARTED

    @property
    def ended(self) -> bool:
        """Whether the response is complete or truncated."""
        return self._state == ResponseState.ENDED

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send a complete response. One that has started is truncated instead."""
        if self._end_unstarted():
            self._send_or_abort(lambda: self._reply.answer(status, headers, body))

    def reject(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response to invalid input. One that has started is truncated instead."""
        if self._end_unstarted():
            self._send_or_abort(lambda: self._reply.reject(status, headers, body))

    def start(self, status: int, headers: Headers = ()) -> None:
        """Begin a response whose body follows in pieces."""
        if self._state == ResponseState.NOT_STARTED:
            self._state = ResponseState.STARTED
            self._reply.start(status, headers)

    async def write(self, data: bytes) -> None:
        """Send a piece of the body. Returns once the send buffer has room for more."""
        if self._state == ResponseState.STARTED:
            await self._reply.write(data)

    def finish(self, last: bytes = b"") -> None:
        """Complete the response. One that has not started has no head, and is truncated instead."""
        if self._state == ResponseState.NOT_STARTED:
            self.abort()
        elif not self.ended:
            self._state = ResponseState.ENDED
            self._send_or_abort(lambda: self._reply.finish(last))

    def abort(self, last: bytes = b"") -> None:
        """Truncate the response after these last bytes of the body, which need a head before them."""
        if self.ended:
            return
        started = self._state == ResponseState.STARTED
        self._state = ResponseState.ENDED
        self._reply.abort(last if started else b"")

    def has_disconnected(self) -> bool:
        """Check now whether the client has disconnected."""
        return self._reply.has_disconnected()

    def has_unread_input(self) -> bool:
        """Check now whether bytes from the client wait to be read."""
        return self._reply.has_unread_input()

    def _send_or_abort(self, send: Callable[[], None]) -> None:
        """Send the end of the response. If that raises, the client gets a close in its place."""
        try:
            send()
        except Exception:
            self._reply.abort()
            raise

    def _end_unstarted(self) -> bool:
        """End the response. Returns whether a complete one may be sent."""
        if self._state == ResponseState.STARTED:
            self.abort()
        if self.ended:
            return False
        self._state = ResponseState.ENDED
        return True
