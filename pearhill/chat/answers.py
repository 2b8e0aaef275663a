"""Writes the core's answers to clients of the chat API, in the format of any endpoint."""

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
CLIENT_CLOSED_REQUEST = 499  # only logged: a disconnected client cannot receive a status
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
    """Sends a comment on a stream whenever it has had no event for `interval` microseconds. 0 disables it."""

    def __init__(self, deadlines: Deadlines, spawn: Spawn, interval: int) -> None:
        self._deadlines = deadlines
        self._spawn = spawn
        self._interval = interval
        self._last_sent = 0
        self._key: TimerKey | None = None
        self._reply: Reply | None = None
        self.write_pending = False  # an event is buffered for a slow client: a comment would only queue behind it

    def event_sent(self, reply: Reply) -> None:
        """Restart the interval. Each stream has one timer, which is rescheduled when it is due, not at every event."""
        if self._interval:
            self._last_sent = self._deadlines.clock()
            self._reply = reply
            if self._key is None:
                self._key = self._deadlines.schedule_at(self._last_sent + self._interval, self._due)

    def stop(self) -> None:
        """Cancel the timer: no further comments are sent."""
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

    `headers` are part of every response. `repeatable` says whether the client may send the request again after a
    failure. `on_end` is called once, with the final status and the code for the log.
    """

    def __init__(
        self,
        reply: Reply,
        response_format: ResponseFormat,
        stream: bool,
        repeatable: bool,
        headers: Headers,
        heartbeat: HeartbeatTimer,
        on_end: Callable[[int, str], None],
    ) -> None:
        self.reply = reply
        self.format = response_format
        self.stream = stream
        self.repeatable = repeatable
        self.headers = tuple(headers)
        self.heartbeat = heartbeat
        self._on_over = on_end
        self.started = False
        self.ended = False
        self.is_collectable = True  # whether all events so far could be merged into one answer
        self.rejection_error = BUSY  # the response to a rejected request

    def reject(self, retry_after: int) -> None:
        """Answer a request for which no attempt was made. `retry_after` is in microseconds."""
        may_retry = self.rejection_error.type != ErrorType.INSUFFICIENT_QUOTA
        self._answer_error(self.rejection_error, may_retry, retry_headers(retry_after))

    def fail(self) -> None:
        """Answer a request that failed or reached its deadline."""
        self._answer_error(FAILED, self.repeatable)

    def decline(self, response: ReplicaErrorResponse) -> None:
        """Forward a replica's error response that says that the request itself is at fault."""
        if self._end(response.status, "declined"):
            headers = (*JSON, *self.headers, ("X-Should-Retry", "false"))
            self.reply.answer(response.status, headers, response.body)

    async def forward(self, data: bytes) -> None:
        """Send complete events of the replica's stream in the endpoint's format, or collect them for one response."""
        if self.ended:
            return
        try:
            if not self.stream:
                return self.format.collect_events(data) if self.is_collectable else None
            data = self.format.convert_events(data)
        except Exception:
            # Events of a replica may have any content. If this exception escaped, the client would get no response.
            logger.exception("chat: the events of an answer could not be converted to the format of the endpoint")
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
        if not self.ended:
            self.heartbeat.event_sent(self.reply)

    def finish(self) -> None:
        """End a complete answer."""
        if self.stream and self.started:
            last = self.format.encode_end()
            if self._end(200, ""):
                self.reply.finish(last)
            return
        if self.stream or not self.is_collectable:
            self.abort()
            return
        if self._end(200, ""):
            self.reply.answer(200, (*JSON, *self.headers), self.format.encode_complete())

    def abort(self) -> None:
        """End an answer that was truncated."""
        if not self.started:
            self._answer_error(TRUNCATED, self.repeatable)
            return
        if self._end(502, TRUNCATED.code):
            self.reply.abort(self.format.encode_truncation(TRUNCATED))

    def abandon(self) -> None:
        """End the answer after an exception, whose cause may be anything that this object uses."""
        self.ended = True
        self.heartbeat.stop()
        self.reply.answer(FAILED.status, JSON, FAILED.body())  # truncates an answer that has begun

    def has_disconnected(self) -> bool:
        """Returns whether the client has disconnected."""
        return self.reply.has_disconnected()

    def has_unread_input(self) -> bool:
        """Returns whether bytes from the client wait to be read."""
        return self.reply.has_unread_input()

    def handle_disconnect(self) -> None:
        """Record the disconnection of the client."""
        self._end(CLIENT_CLOSED_REQUEST, "client_left")

    def _answer_error(self, error: ApiError, may_retry: bool, retry_after: Headers = ()) -> None:
        if self._end(error.status, error.code):
            should_retry = ("X-Should-Retry", "true" if may_retry else "false")
            self.reply.answer(error.status, (*JSON, *self.headers, should_retry, *retry_after), error.body())

    def _end(self, status: int, code: str) -> bool:
        """Record the end of the answer. Returns False if the client has been answered already or has disconnected."""
        if self.ended:
            return False
        self.ended = True
        self.heartbeat.stop()
        self._on_over(status, code)
        return True
