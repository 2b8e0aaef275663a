"""A table of the admin endpoint's calls by path. A 2xx status means yes; 4xx and 5xx mean no."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from pearhill.http1.handler import Reply
from pearhill.http1.messages import Headers, RequestMessage

TEXT: Headers = (("Content-Type", "text/plain"),)
JSON: Headers = (("Content-Type", "application/json"), ("Cache-Control", "no-store"))

Call = Callable[[str, Reply], None]  # takes the query string
Route = tuple[str, Call]  # the method, and the function that answers the call


class InvalidCallError(Exception):
    """The parameters of a call are invalid; the text is returned to the caller."""


class CallTable:
    """Dispatches calls by path. Answers 404 to an unknown path, 405 to a wrong method, 400 to an InvalidCallError."""

    def __init__(self, routes: Mapping[str, Route]) -> None:
        self._routes = routes

    def handle(self, message: RequestMessage, reply: Reply) -> None:
        """Answer one call."""
        path, _, query = message.target.partition("?")
        if path not in self._routes:
            return reply.answer(404, TEXT, b"no such call\n")
        method, call = self._routes[path]
        if message.method != method:
            return reply.answer(405, (*TEXT, ("Allow", method)), f"this call is a {method}\n".encode())
        try:
            call(query, reply)
        except InvalidCallError as e:
            reply.answer(400, TEXT, f"{e}\n".encode())

    def rejection_response(self, status: int, reason: str) -> tuple[Headers, bytes]:
        """Returns the headers and the body of an answer to an invalid HTTP request."""
        return TEXT, f"{reason}\n".encode()

    def overload_response(self) -> tuple[Headers, bytes]:
        """Returns the headers and the body of the response to a call that was discarded before it began."""
        return TEXT, b"too many calls at once; this one was not carried out\n"
