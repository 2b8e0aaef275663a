"""How the core's answers look to a client of the chat API, on whichever endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from loguru import logger

from pearhill.chat.errors import JSON, SERVER, ApiError, ReplicaErrorResponse, retry_headers
from pearhill.chat.prompt import ResponseFormat
from pearhill.core.deadlines import Deadlines, Key
from pearhill.http1.handler import Reply
from pearhill.http1.messages import Headers

EVENTS: Headers = (("Content-Type", "text/event-stream; charset=utf-8"), ("Cache-Control", "no-cache"))
HEARTBEAT = b": keep-alive\n\n"
BUSY = ApiError(503, "The servers are busy; nothing was done. Please try again.", "server_overloaded", type=SERVER)
FAILED = ApiError(500, "The request failed or ran out of time. It may have run.", "request_failed", type=SERVER)
BROKEN = ApiError(502, "The server's answer broke off or made no sense.", "stream_broken", type=SERVER)


class Spawn(Protocol):
    def __call__(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]: ...


class HeartbeatTimer:
    """Comments between the events of a stream that says nothing for a while. `every`: microseconds; 0: none."""

    def __init__(self, deadlines: Deadlines, spawn: Spawn, every: int) -> None:
        self._deadlines, self._spawn, self._every = deadlines, spawn, every
        self._last = 0
        self._key: Key | None = None
        self._reply: Reply | None = None
        self.write_pending = False  # an event waits for a slow client, who needs no sign of life

    def event_sent(self, reply: Reply) -> None:
        """An event has gone out. One deadline a stream: it moves on when it is due."""
        if self._every:
            self._last, self._reply = self._deadlines.clock(), reply
            if self._key is None:
                self._key = self._deadlines.at(self._last + self._every, self._due)

    def _due(self) -> None:
        now, self._key = self._deadlines.clock(), None
        if self._reply is None:
            return
        if now >= self._last + self._every:
            self._last = now
            if not self.write_pending:
                self._spawn(self._reply.write(HEARTBEAT))
        self._key = self._deadlines.at(self._last + self._every, self._due)

    def stop(self) -> None:
        self._deadlines.cancel(self._key)
        self._key = self._reply = None


class Answer:
    """One client of the chat API, as the core sees it. `headers` go with every answer; `repeatable`: a failed request
    may be sent again; `on_over` is told the status, once."""

    def __init__(
        self,
        reply: Reply,
        words: ResponseFormat,
        stream: bool,
        repeatable: bool,
        headers: Headers,
        heart: HeartbeatTimer,
        on_over: Callable[[int, str], None],
    ) -> None:
        self.reply, self.format, self.stream, self.repeatable = reply, words, stream, repeatable
        self.headers, self.heartbeat, self._on_over = tuple(headers), heart, on_over
        self.started = self.over = False
        self.is_collectable = True  # as far as it could be put together
        self.refusal = BUSY

    def _end(self, status: int, code: str) -> bool:
        """False: its client has been answered already."""
        if self.over:
            return False
        self.over = True
        self.heartbeat.stop()
        self._on_over(status, code)
        return True

    def error(self, error: ApiError, again: bool, more: Headers = ()) -> None:
        if self._end(error.status, error.code):
            retry = ("X-Should-Retry", "true" if again else "false")
            self.reply.answer(error.status, (*JSON, *self.headers, retry, *more), error.body())

    def reject(self, stay_away: int) -> None:
        self.error(self.refusal, self.refusal.type != "insufficient_quota", retry_headers(stay_away))

    def fail(self) -> None:
        self.error(FAILED, self.repeatable)

    def decline(self, said: ReplicaErrorResponse) -> None:
        if self._end(said.status, "declined"):
            self.reply.answer(said.status, (*JSON, *self.headers, ("X-Should-Retry", "false")), said.body)

    async def forward(self, data: bytes) -> None:
        if self.over:
            return
        try:
            if not self.stream:
                return self.format.collect(data) if self.is_collectable else None
            data = self.format.stream(data)
        except Exception:
            # Danger: whatever a server has put into its events, the client must not wait for what never comes.
            logger.exception("an answer's events could not be put into words")
            if self.stream:
                return self.abort()
            self.is_collectable = False
            return
        if not data:
            return
        if not self.started:
            self.started = True
            self.reply.start(200, (*EVENTS, *self.headers))
        self.heartbeat.write_pending = True
        await self.reply.write(data)
        self.heartbeat.write_pending = False
        if not self.over:
            self.heartbeat.event_sent(self.reply)

    def finish(self) -> None:
        if self.stream and self.started:
            last = self.format.end()
            if self._end(200, ""):
                self.reply.finish(last)
        elif self.stream or not self.is_collectable:
            self.abort()
        elif self._end(200, ""):
            self.reply.answer(200, (*JSON, *self.headers), self.format.whole())

    def abort(self) -> None:
        if not self.started:
            return self.error(BROKEN, self.repeatable)
        if self._end(502, BROKEN.code):
            self.reply.abort(self.format.broken(BROKEN))

    def has_disconnected(self) -> bool:
        return self.reply.has_disconnected()

    def left(self) -> None:
        """The client has gone."""
        self._end(499, "client_left")
