"""A table of operators' calls by path, one call a connection: 2xx means yes, 4xx and 5xx mean no."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from pearhill.http1.handler import Reply
from pearhill.http1.messages import Headers, RequestMessage

TEXT: Headers = (("Content-Type", "text/plain"),)
JSON: Headers = (("Content-Type", "application/json"), ("Cache-Control", "no-store"))

Call = Callable[[str, Reply], None]  # gets the query
Route = tuple[str, Call]  # the method, and what answers the call


class InvalidCallError(Exception):
    """A call that cannot be read; the text is for its caller."""


class CallTable:
    """Answers calls by their path: 404 for an unknown one, 405 for another method, 400 for an InvalidCallError."""

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

    def rejected(self, status: int, why: str) -> tuple[Headers, bytes]:
        """Headers and body of an answer to what is no HTTP request."""
        return TEXT, f"{why}\n".encode()
