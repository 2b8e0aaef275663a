"""How the core's answers look to a client of the chat API, on whichever endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from loguru import logger

from pearhill.chat.errors import JSON, ApiError, ErrorType, ReplicaErrorResponse, retry_headers
from pearhill.chat.prompt import ResponseFormat
from pearhill.core.deadlines import Deadlines, TimerKey
from pearhill.http1.handler import Reply
from pearhill.http1.messages import Headers

EVENT_STREAM_HEADERS: Headers = (("Content-Type", "text/event-stream; charset=utf-8"), ("Cache-Control", "no-cache"))
HEARTBEAT = b": keep-alive\n\n"
CLIENT_CLOSED_REQUEST = 499  # logged only: nobody is there to read a status
BUSY = ApiError(
    503, "The servers are busy; nothing was done. Please try again.", "server_overloaded", type=ErrorType.SERVER
)
FAILED = ApiError(
    500, "The request failed or ran out of time. It may have run.", "request_failed", type=ErrorType.SERVER
)
TRUNCATED = ApiError(502, "The server's answer broke off or made no sense.", "stream_broken", type=ErrorType.SERVER)


class Spawn(Protocol):
    """Starts a task that its owner keeps a reference to until it is done."""

    def __call__(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start `work`."""


class HeartbeatTimer:
    """Sends a comment on a stream that has had no event for `interval` microseconds (0: never), and after each more."""

    def __init__(self, deadlines: Deadlines, spawn: Spawn, interval: int) -> None:
        self._deadlines = deadlines
        self._spawn = spawn
        self._interval = interval
        self._last_sent = 0
        self._key: TimerKey | None = None
        self._reply: Reply | None = None
        self.write_pending = False  # an event waits for a slow client: a comment would only wait behind it

    def event_sent(self, reply: Reply) -> None:
        """Restart the interval. There is one deadline a stream, which is put off when it is due, not at every event."""
        if self._interval:
            self._last_sent = self._deadlines.clock()
            self._reply = reply
            if self._key is None:
                self._key = self._deadlines.schedule_at(self._last_sent + self._interval, self._due)

    def stop(self) -> None:
        """Send nothing any more."""
        self._deadlines.cancel(self._key)
        self._key = None
        self._reply = None

    def _due(self) -> None:
        now = self._deadlines.clock()
        self._key = None
        if self._reply is None:
            return
        if now >= self._last_sent + self._interval:
            self._last_sent = now
            if not self.write_pending:
                self._spawn(self._reply.write(HEARTBEAT))
        self._key = self._deadlines.schedule_at(self._last_sent + self._interval, self._due)


class Answer:
    """The core's client for one client of the chat API.

    `headers` go with every answer; `repeatable`: a failed request may be sent again; `on_over` is called once, with the
    final status and its code for the log.
    """

    def __init__(
        self,
        reply: Reply,
        response_format: ResponseFormat,
        stream: bool,
        repeatable: bool,
        headers: Headers,
        heartbeat: HeartbeatTimer,
        on_over: Callable[[int, str], None],
    ) -> None:
        self.reply = reply
        self.format = response_format
        self.stream = stream
        self.repeatable = repeatable
        self.headers = tuple(headers)
        self.heartbeat = heartbeat
        self._on_over = on_over
        self.started = False
        self.over = False
        self.is_collectable = True  # the events so far could be put together
        self.rejection_error = BUSY  # what a rejected request is answered

    def reject(self, retry_after: int) -> None:
        """No attempt was made; `retry_after`: microseconds."""
        may_retry = self.rejection_error.type != ErrorType.INSUFFICIENT_QUOTA
        self._answer_error(self.rejection_error, may_retry, retry_headers(retry_after))

    def fail(self) -> None:
        """The request failed, or its time ran out."""
        self._answer_error(FAILED, self.repeatable)

    def decline(self, response: ReplicaErrorResponse) -> None:
        """The replica answered with an error that is the client's."""
        if self._end(response.status, "declined"):
            headers = (*JSON, *self.headers, ("X-Should-Retry", "false"))
            self.reply.answer(response.status, headers, response.body)

    async def forward(self, data: bytes) -> None:
        """Send complete events of the replica's stream in the endpoint's format, or keep them for one answer."""
        if self.over:
            return
        try:
            if not self.stream:
                return self.format.collect(data) if self.is_collectable else None
            data = self.format.stream(data)
        except Exception:
            # Whatever a replica has put into its events: without this the client would wait for what never comes.
            logger.exception("an answer's events could not be put into words")
            if self.stream:
                return self.abort()
            self.is_collectable = False
            return
        if not data:
            return
        if not self.started:
            self.started = True
            self.reply.start(200, (*EVENT_STREAM_HEADERS, *self.headers))
        self.heartbeat.write_pending = True
        await self.reply.write(data)
        self.heartbeat.write_pending = False
        if not self.over:
            self.heartbeat.event_sent(self.reply)

    def finish(self) -> None:
        """The answer is complete."""
        if self.stream and self.started:
            last = self.format.end()
            if self._end(200, ""):
                self.reply.finish(last)
            return
        if self.stream or not self.is_collectable:
            self.abort()
            return
        if self._end(200, ""):
            self.reply.answer(200, (*JSON, *self.headers), self.format.complete())

    def abort(self) -> None:
        """The answer broke off."""
        if not self.started:
            self._answer_error(TRUNCATED, self.repeatable)
            return
        if self._end(502, TRUNCATED.code):
            self.reply.abort(self.format.truncated(TRUNCATED))

    def has_disconnected(self) -> bool:
        """Whether the client has gone."""
        return self.reply.has_disconnected()

    def handle_disconnect(self) -> None:
        """The client has disconnected."""
        self._end(CLIENT_CLOSED_REQUEST, "client_left")

    def _answer_error(self, error: ApiError, may_retry: bool, retry_after: Headers = ()) -> None:
        if self._end(error.status, error.code):
            should_retry = ("X-Should-Retry", "true" if may_retry else "false")
            self.reply.answer(error.status, (*JSON, *self.headers, should_retry, *retry_after), error.body())

    def _end(self, status: int, code: str) -> bool:
        """Note the end of the answer. False: the client has been answered already, or has gone."""
        if self.over:
            return False
        self.over = True
        self.heartbeat.stop()
        self._on_over(status, code)
        return True
