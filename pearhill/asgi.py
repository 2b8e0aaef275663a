"""The chat front as pure ASGI middleware, for Starlette, FastAPI and every other ASGI framework.

It answers the API's paths (`/v1/chat/completions`, `/v1/completions`, `/v1/responses`, `/v1/models`) by the same core
as the daemon, and passes all else on to the application.
The dispatcher starts and ends with the application's lifespan.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from loguru import logger

from pearhill.chat.front import owns
from pearhill.chat.service import ChatService
from pearhill.chat.setup import ChatSetup
from pearhill.http1.handler import Pending
from pearhill.http1.messages import Headers, RequestMessage, add_header

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

MAX_BUFFERED_WRITES = 8  # pieces of an answer that may wait for the server before the model server is held back


class AnswerTruncatedError(Exception):
    """Raised out of the application once an answer cannot be whole: the server then closes the connection."""


class _Reply:
    """Takes the front's answer and hands it on as ASGI messages; None is the end, an exception the break."""

    def __init__(self) -> None:
        self.messages: asyncio.Queue[Message | Exception | None] = asyncio.Queue()
        self.left = False
        self._room = asyncio.Semaphore(MAX_BUFFERED_WRITES)

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        self.start(status, (*headers, ("Content-Length", str(len(body)))))
        self.messages.put_nowait({"type": "http.response.body", "body": body})
        self.messages.put_nowait(None)

    def reject(self, status: int, headers: Headers, body: bytes) -> None:
        self.answer(status, (*headers, ("Connection", "close")), body)

    def start(self, status: int, headers: Headers = ()) -> None:
        self.messages.put_nowait(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(name.lower().encode("latin-1"), value.encode("latin-1")) for name, value in headers],
            }
        )

    async def write(self, data: bytes) -> None:
        self.messages.put_nowait({"type": "http.response.body", "body": data, "more_body": True})
        await self._room.acquire()

    def has_disconnected(self) -> bool:
        return self.left

    def sent(self) -> None:
        self._room.release()

    def finish(self, last: bytes = b"") -> None:
        self.messages.put_nowait({"type": "http.response.body", "body": last})
        self.messages.put_nowait(None)

    def abort(self, last: bytes = b"") -> None:
        if last:
            self.messages.put_nowait({"type": "http.response.body", "body": last, "more_body": True})
        self.messages.put_nowait(AnswerTruncatedError("the model server's answer broke off"))


class PearhillMiddleware:
    """`setup` is an operator's file read by `pearhill.chat.setup.load`, or the like from `read`."""

    def __init__(self, app: App, setup: ChatSetup) -> None:
        self.app, self.setup = app, setup
        self.service: ChatService | None = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await self._lifespan(scope, receive, send)
        elif scope["type"] == "http" and owns(scope["path"]):
            await self._chat(scope, receive, send)
        else:
            await self.app(scope, receive, send)

    async def _start(self) -> ChatService:
        if self.service is None:
            self.service = ChatService(self.setup)
            await self.service.open()
        return self.service

    async def _stop(self) -> None:
        service, self.service = self.service, None
        if service:
            await service.close()

    async def _lifespan(self, scope: Scope, receive: Receive, send: Send) -> None:
        """The application's own lifespan runs inside; the dispatcher is up before its start is told as complete."""

        async def tell(message: Message) -> None:
            if message["type"] == "lifespan.startup.complete":
                await self._start()
            elif message["type"].startswith("lifespan.shutdown."):
                await self._stop()
            await send(message)

        try:
            await self.app(scope, receive, tell)
        finally:
            await self._stop()

    async def _chat(self, scope: Scope, receive: Receive, send: Send) -> None:
        service = await self._start()  # where the server or the application knows no lifespan
        reply = _Reply()
        most = self.setup.max_body
        body = await self._body(receive, most)
        if body is None:
            return
        headers: dict[str, str] = {}
        for name, value in scope["headers"]:
            add_header(headers, name.decode("latin-1").lower(), value.decode("latin-1"))
        query = scope.get("query_string", b"").decode("latin-1")
        target = scope["path"] + (f"?{query}" if query else "")
        if len(body) > most:
            service.node.counters.rejected += 1
            extra, text = service.front.rejected(413, "the body is too large")
            reply.reject(413, extra, text)
            return await self._pump(reply, send)
        pending = service.front.handle(RequestMessage(scope["method"], target, headers, body), reply)
        watch = asyncio.create_task(self._watch(receive, pending, reply))
        try:
            await self._pump(reply, send)
        except BaseException:
            if pending:
                pending.left()
            raise
        finally:
            watch.cancel()

    @staticmethod
    async def _body(receive: Receive, most: int) -> bytes | None:
        """The whole body, cut one byte past the limit; None where the client has gone before its end."""
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            body = (body + message.get("body", b""))[: most + 1]
            if not message.get("more_body", False):
                return body

    @staticmethod
    async def _watch(receive: Receive, pending: Pending | None, reply: _Reply) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        reply.left = True
        if pending:
            pending.left()
        reply.messages.put_nowait(None)  # nobody is there to write to

    @staticmethod
    async def _pump(reply: _Reply, send: Send) -> None:
        while (message := await reply.messages.get()) is not None:
            if isinstance(message, Exception):
                logger.info("asgi: an answer has broken off")
                raise message
            await send(message)
            if message.get("more_body"):
                reply.sent()
