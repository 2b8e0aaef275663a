"""The chat front end as pure ASGI middleware, for Starlette, FastAPI and every other ASGI framework.

It answers the API's paths (`/v1/chat/completions`, `/v1/completions`, `/v1/responses`, `/v1/models`) with the same core
as the daemon, and forwards all other requests to the application. The dispatcher starts and stops with the
application's lifespan.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from loguru import logger

from pearhill.chat.front import is_chat_path
from pearhill.chat.service import ChatService
from pearhill.chat.setup import ChatSetup
from pearhill.http1.handler import Pending
from pearhill.http1.messages import Headers, RequestMessage, add_header
from pearhill.http1.response_writer import ResponseWriter
from pearhill.net.input_scheduler import input_length
from pearhill.net.memory_limit import MEMORY, MemoryLimit

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

MAX_BUFFERED_WRITES = 8  # chunks of an answer that may wait for the ASGI server before reading from the replica pauses


class AnswerTruncatedError(Exception):
    """An answer cannot be completed. The application raises it so that the ASGI server closes the connection."""


class _Reply:
    """Converts the front end's answer to ASGI messages. In the queue, None marks the end, an exception a truncation."""

    def __init__(self) -> None:
        self.messages: asyncio.Queue[Message | Exception | None] = asyncio.Queue()
        self.disconnected = False  # whether the client has disconnected
        self._pending: Pending | None = None
        self._free_writes = asyncio.Semaphore(MAX_BUFFERED_WRITES)

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send a complete answer."""
        self.start(status, (*headers, ("Content-Length", str(len(body)))))
        self.finish(body)

    def reject(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer and have the connection closed."""
        self.answer(status, (*headers, ("Connection", "close")), body)

    def start(self, status: int, headers: Headers = ()) -> None:
        """Send the status and the headers of an answer whose body follows in chunks."""
        self.messages.put_nowait(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(name.lower().encode("latin-1"), value.encode("latin-1")) for name, value in headers],
            }
        )

    async def write(self, data: bytes) -> None:
        """Send a chunk of the answer. Waits while MAX_BUFFERED_WRITES chunks wait for the ASGI server."""
        self.messages.put_nowait({"type": "http.response.body", "body": data, "more_body": True})
        await self._free_writes.acquire()

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected."""
        return self.disconnected

    def has_unread_input(self) -> bool:
        """Whether bytes from the client wait to be read: the ASGI server reads the connection."""
        return False

    def begin(self, pending: Pending | None) -> None:
        """Record the request that is being answered. The client may have disconnected before it began."""
        self._pending = pending
        if pending and self.disconnected:
            pending.handle_disconnect()

    def disconnect(self) -> None:
        """Record that the client has disconnected, and cancel its request if it has begun."""
        self.disconnected = True
        self.messages.put_nowait(None)  # ends `_send_answer`: there is no client to write to
        if self._pending:
            self._pending.handle_disconnect()

    def sent(self) -> None:
        """Record that the ASGI server has accepted a chunk."""
        self._free_writes.release()

    def finish(self, last: bytes = b"") -> None:
        """Send the last chunk, which completes the answer."""
        self.messages.put_nowait({"type": "http.response.body", "body": last})
        self.messages.put_nowait(None)

    def abort(self, last: bytes = b"") -> None:
        """Truncate the answer, after a last chunk if one is given."""
        if last:
            self.messages.put_nowait({"type": "http.response.body", "body": last, "more_body": True})
        self.messages.put_nowait(AnswerTruncatedError("the model server's answer was truncated"))


class _Upload:
    """The body of one request, counted from its first byte to the end of the answer: a `MemoryHolder`."""

    def __init__(self) -> None:
        self.held_bytes = 0
        self.complete = False  # the request has begun, and cannot be discarded any more
        self.discarded = False  # for lack of memory
        self._body = bytearray()

    @property
    def discardable_bytes(self) -> int:
        """The memory of the body while it is incomplete."""
        return 0 if self.complete else self.held_bytes

    def discard_newest(self) -> None:
        """Discard the body. The request is rejected once the rest of it has been received."""
        self.discarded = True
        self.release()

    def release(self) -> None:
        """Drop the body, and count it no longer."""
        self._body = bytearray()
        self.held_bytes = 0

    def add(self, data: bytes, max_bytes: int) -> None:
        """Add bytes, up to one past the limit."""
        if not self.discarded:
            self._body += data[: max_bytes + 1 - len(self._body)]
            self.held_bytes = len(self._body)

    def take(self) -> bytes:
        """Return the complete body, which counts until `release`."""
        body = bytes(self._body)
        self._body = bytearray()
        return body


class PearhillMiddleware:
    """ASGI middleware for the chat API. `setup` comes from `load` or `read` in `pearhill.chat.setup`."""

    def __init__(self, app: App, setup: ChatSetup) -> None:
        self.app = app
        self.setup = setup
        self.service: ChatService | None = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer the API's paths here, and forward everything else to the application."""
        if scope["type"] == "lifespan":
            await self._lifespan(scope, receive, send)
        elif scope["type"] == "http" and is_chat_path(scope["path"]):
            await self._chat(scope, receive, send)
        else:
            await self.app(scope, receive, send)

    async def _start(self) -> ChatService:
        if self.service is None:
            self.service = ChatService(self.setup)
            await self.service.open()
        return self.service

    async def _stop(self) -> None:
        service = self.service
        self.service = None
        if service:
            await service.close()

    async def _lifespan(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the application's own lifespan, and start the dispatcher before the start is reported as complete."""

        async def observe_and_send(message: Message) -> None:
            """Start or stop the dispatcher before the server is notified of the application's start or shutdown."""
            if message["type"] == "lifespan.startup.complete":
                await self._start()
            elif message["type"].startswith("lifespan.shutdown."):
                await self._stop()
            await send(message)

        try:
            await self.app(scope, receive, observe_and_send)
        finally:
            await self._stop()

    async def _chat(self, scope: Scope, receive: Receive, send: Send) -> None:
        service = await self._start()  # if the server or the application does not support lifespan
        upload = _Upload()
        try:
            if await self._receive_body(receive, upload, service.node.request_memory):
                await self._answer(service, scope, upload, receive, send)
        finally:
            upload.release()
            service.node.request_memory.update(upload)

    async def _answer(self, service: ChatService, scope: Scope, upload: _Upload, receive: Receive, send: Send) -> None:
        reply = _Reply()
        if upload.discarded:
            service.node.counters.record_refusal(MEMORY)
            reply.answer(503, *service.front.overload_response())
            return await self._send_answer(reply, send)
        if upload.held_bytes > self.setup.max_body:
            service.node.counters.rejected += 1
            extra, text = service.front.rejection_response(413, "the body is too large")
            reply.reject(413, extra, text)
            return await self._send_answer(reply, send)
        request = _request(scope, upload.take())
        request.arrived = service.node.deadlines.clock()  # the client's time runs while the request waits for its turn
        watch = asyncio.create_task(self._watch_disconnect(receive, reply))
        response = ResponseWriter(reply)
        pending: Pending | None = None
        try:
            pending = await service.node.input_scheduler.run(
                lambda: service.front.handle(request, response), input_length(len(request.body))
            )
            reply.begin(pending)
            await self._send_answer(reply, send)
        except BaseException:
            if pending:
                pending.handle_disconnect()
            raise
        finally:
            watch.cancel()

    async def _receive_body(self, receive: Receive, upload: _Upload, memory: MemoryLimit) -> bool:
        """Receive a body, cut off one byte past the limit, unless it is discarded. Returns False if the client
        disconnected before its end."""
        while not upload.complete:
            message = await receive()
            if message["type"] == "http.disconnect":
                return False
            upload.add(message.get("body", b""), self.setup.max_body)
            memory.update(upload)
            memory.reclaim()
            upload.complete = not message.get("more_body", False)
        return True

    @staticmethod
    async def _watch_disconnect(receive: Receive, reply: _Reply) -> None:
        """Wait until the client disconnects, and cancel its request."""
        while (await receive())["type"] != "http.disconnect":
            pass
        reply.disconnect()

    @staticmethod
    async def _send_answer(reply: _Reply, send: Send) -> None:
        """Send the messages of the answer. Raises AnswerTruncatedError if the answer cannot be completed."""
        while (message := await reply.messages.get()) is not None:
            if isinstance(message, Exception):
                logger.info("asgi: an answer was truncated")
                raise message
            await send(message)
            if message.get("more_body"):
                reply.sent()


def _request(scope: Scope, body: bytes) -> RequestMessage:
    headers: dict[str, str] = {}
    for name, value in scope["headers"]:
        add_header(headers, name.decode("latin-1").lower(), value.decode("latin-1"))
    query = scope.get("query_string", b"").decode("latin-1")
    target = scope["path"] + (f"?{query}" if query else "")
    return RequestMessage(scope["method"], target, headers, body)
