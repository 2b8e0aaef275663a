"""Runs of requests: each ends in exactly one outcome, which all repeats of the request get.

A run continues when its client disconnects, its answer is stored for a limited time, and a repeat under the same
idempotency key gets that answer. The store belongs to this process alone and is bounded in bytes and in time. When it
is full, the oldest answers are dropped first and only their outcomes are kept: a repeat is then rejected, so that the
request is still not executed twice.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

from loguru import logger

from pearhill.chat.answers import Answer, Spawn
from pearhill.chat.errors import ReplicaErrorResponse
from pearhill.core.deadlines import Deadlines, TimerKey

RECORD_OVERHEAD_BYTES = 512  # memory of a record without its answer


class RecordState(StrEnum):
    """The outcome of a run, or that it is still open. The values appear in log lines and error texts."""

    OPEN = "open"
    ANSWERED = "answered"
    FAILED = "failed"
    TRUNCATED = "broken"
    REJECTED = "refused"
    DECLINED = "declined"
    DISCONNECTED = "left"  # its only client disconnected before any replica may have begun it


class RunRecord:
    """The core's client for one run, which replays the run's answer to any number of clients.

    `id` is the request's id for the log. `digest` is a hash of the request, by which another request under the same key
    is detected. `only_answer` is that of its client if no other one can request it, as without a key. `on_unneeded` is
    called when this client is found to have disconnected; it may end the run.
    """

    def __init__(self, id: str, digest: bytes, spawn: Spawn, only_answer: Answer | None = None) -> None:
        self.id = id
        self.digest = digest
        self.state = RecordState.OPEN
        self.size = 0  # bytes of the answer
        self.answer_dropped = False  # the answer has been removed, and only its outcome is kept
        self.followers = 0
        self.store: RecordStore | None = None
        self.key = b""
        self.expiry: TimerKey | None = None
        self._parts: list[bytes] = []
        self._retry_after = 0  # microseconds, of a rejection
        self._replica_error: ReplicaErrorResponse | None = None
        self._spawn = spawn
        self._only_answer = only_answer
        self.on_unneeded: Callable[[], None] = lambda: None
        self._changed = asyncio.Event()

    def reject(self, retry_after: int) -> None:
        """End a run for which no attempt was made. `retry_after` is in microseconds."""
        self._retry_after = retry_after
        self._end(RecordState.REJECTED)

    def fail(self) -> None:
        """End a run that failed or reached its deadline."""
        self._end(RecordState.FAILED)

    def decline(self, response: ReplicaErrorResponse) -> None:
        """End a run whose replica answered that the request itself is at fault."""
        self._replica_error = response
        self._end(RecordState.DECLINED)

    async def forward(self, data: bytes) -> None:
        """Store events of the replica's stream for the followers."""
        if self.store:
            self.store.count_answer_bytes(len(data))
        elif not self.followers:
            return  # no client can request the answer any more: only the outcome is needed
        self.size += len(data)
        self._parts.append(data)
        self._wake_followers()

    def finish(self) -> None:
        """End a run whose answer is complete."""
        self._end(RecordState.ANSWERED)

    def abort(self) -> None:
        """End a run whose answer was truncated."""
        self._end(RecordState.TRUNCATED)

    def abandon(self) -> None:
        """End a run after an exception. If it was raised while the run ended, its followers may wait for the end."""
        if self.state == RecordState.OPEN:
            self._end(RecordState.FAILED)
        else:
            self._wake_followers()

    def has_disconnected(self) -> bool:
        """Returns whether the run has ended because its only client has disconnected, which is checked now.

        Any other run is completed even without clients, because its answer may be requested again.
        """
        if self._only_answer and self.state == RecordState.OPEN and self._only_answer.has_disconnected():
            self.on_unneeded()
        return self.state == RecordState.DISCONNECTED

    def has_unread_input(self) -> bool:
        """Returns whether bytes from the only client wait to be read. What other clients send does not matter."""
        return self._only_answer is not None and self._only_answer.has_unread_input()

    def handle_disconnect(self) -> None:
        """End a run that was not begun, and that no client waits for."""
        self._end(RecordState.DISCONNECTED)

    def add_follower(self, answer: Answer) -> Follower:
        """Start to answer one more client from this record."""
        return Follower(self, answer, self._spawn)

    async def replay(self, answer: Answer) -> None:
        """Forward the answer from its beginning: first the stored part, then new events as they arrive."""
        position = 0
        while True:
            while position < len(self._parts):
                data = self._parts[position]
                if self.store is None and not self.key:  # no other client can request the answer
                    self._parts[position] = b""
                position += 1
                await answer.forward(data)
            if self.state != RecordState.OPEN:
                break
            await self._changed.wait()
        self._end_answer(answer)

    def drop_answer(self) -> int:
        """Remove the answer and keep only the outcome. Returns the number of freed bytes."""
        freed = self.size
        self._parts = []
        self.size = 0
        self.answer_dropped = True
        return freed

    def _end_answer(self, answer: Answer) -> None:
        if self.state == RecordState.REJECTED:
            answer.reject(self._retry_after)
        elif self.state == RecordState.FAILED:
            answer.fail()
        elif self.state == RecordState.TRUNCATED:
            answer.abort()
        elif self.state == RecordState.DECLINED and self._replica_error:
            answer.decline(self._replica_error)
        else:
            answer.finish()

    def _end(self, state: RecordState) -> None:
        self.state = state
        logger.info(
            "outcome request={id} state={state} bytes={size} followers={followers}",
            id=self.id,
            state=state,
            size=self.size,
            followers=self.followers,
        )
        if self.store:
            self.store.record_ended(self)
        self._wake_followers()

    def _wake_followers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Follower:
    """One client that receives the answer of a record. When it disconnects, only its own answer ends."""

    def __init__(self, record: RunRecord, answer: Answer, spawn: Spawn) -> None:
        self._record = record
        record.followers += 1
        self._answer = answer
        self._task = spawn(record.replay(answer))
        self._task.add_done_callback(self._done)

    def handle_disconnect(self) -> None:
        """Stop the answer to a client that has disconnected."""
        self._answer.handle_disconnect()
        self._task.cancel()

    def _done(self, task: asyncio.Task[None]) -> None:
        self._record.followers -= 1
        if not task.cancelled() and task.exception():  # which is logged where the task was started
            self._answer.abandon()


class RecordStore:
    """The records of this process by idempotency key.

    `max_bytes` limits answers and records together. `retention` is the time in microseconds for which an outcome is
    kept after the end of the run.
    """

    def __init__(self, deadlines: Deadlines, max_bytes: int, retention: int) -> None:
        self._deadlines = deadlines
        self._max_bytes = max_bytes
        self._retention = retention
        self._records: dict[bytes, RunRecord] = {}
        self._ended: OrderedDict[bytes, RunRecord] = OrderedDict()  # ended, with their answers, in order of their end
        self._size = 0

    def __len__(self) -> int:
        return len(self._records)

    def reconfigure(self, max_bytes: int, retention: int) -> None:
        """Apply `max_bytes` immediately, and `retention` to runs that end from now on."""
        self._max_bytes = max_bytes
        self._retention = retention
        self._drop_answers(0)

    def get(self, key: bytes) -> RunRecord | None:
        """Returns the record of a key, or None if there is none."""
        return self._records.get(key)

    def add(self, key: bytes, record: RunRecord) -> bool:
        """Add a new record. Returns False if it does not fit even after dropping all answers without readers."""
        if not self._drop_answers(RECORD_OVERHEAD_BYTES):
            return False
        self._size += RECORD_OVERHEAD_BYTES
        record.store = self
        record.key = key
        self._records[key] = record
        return True

    def count_answer_bytes(self, size: int) -> None:
        """Count bytes of an open run's answer. It is stored beyond `max_bytes` too: a client may be reading it."""
        self._drop_answers(size)
        self._size += size

    def record_ended(self, record: RunRecord) -> None:
        """Schedule the removal of an ended record.

        The record of a rejected request is removed immediately: the request was not executed and may be repeated.
        """
        if record.state == RecordState.REJECTED:
            self._remove(record)
            return
        record.expiry = self._deadlines.schedule_after(self._retention, lambda: self._remove(record))
        self._ended[record.key] = record
        self._drop_answers(0)

    def _remove(self, record: RunRecord) -> None:
        del self._records[record.key]
        self._ended.pop(record.key, None)
        self._size -= record.size + RECORD_OVERHEAD_BYTES
        record.store = None

    def _drop_answers(self, needed: int) -> bool:
        """Drop the oldest answers without readers until `needed` bytes fit. Returns whether they fit.

        Outcomes are kept until they expire: without its outcome, a repeated request would be executed again.
        """
        being_read: list[RunRecord] = []
        while self._ended and self._size + needed > self._max_bytes:
            _, record = self._ended.popitem(last=False)
            if record.followers:
                being_read.append(record)
            else:
                self._size -= record.drop_answer()
        self._ended.update((record.key, record) for record in being_read)
        return self._size + needed <= self._max_bytes
