"""Requests that must end in one outcome, whoever waits for it.

The run goes on when its client leaves, its answer is kept for a while, and a repeat under the same idempotency key gets
that one answer. The store belongs to this process alone and is bounded in bytes and in time. When bytes run short the
oldest answers are released first and only their outcome is kept: a repeat is then rejected, and still nothing runs
twice.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from enum import StrEnum

from loguru import logger

from pearhill.chat.answers import Answer, Spawn
from pearhill.chat.errors import ReplicaErrorResponse
from pearhill.core.deadlines import Deadlines, TimerKey

RECORD_OVERHEAD_BYTES = 512  # what a record costs beside its answer


class RecordState(StrEnum):
    """How a run has ended, if it has. The values are in log lines and error texts."""

    OPEN = "open"
    ANSWERED = "answered"
    FAILED = "failed"
    TRUNCATED = "broken"
    REJECTED = "refused"
    DECLINED = "declined"


class Record:
    """The core's client for one run, and the source for all who want its answer.

    `id`: the request's, for the log; `digest`: of the request, to distinguish it from another under the same key.
    """

    def __init__(self, id: str, digest: bytes, spawn: Spawn) -> None:
        self.id = id
        self.digest = digest
        self.state = RecordState.OPEN
        self.size = 0  # bytes of the answer
        self.dropped = False  # the answer is not kept any more, only its outcome
        self.followers = 0
        self.store: Store | None = None
        self.key = b""
        self.expiry: TimerKey | None = None
        self._parts: list[bytes] = []
        self._retry_after = 0  # microseconds, of a rejection
        self._replica_error: ReplicaErrorResponse | None = None
        self._spawn = spawn
        self._changed = asyncio.Event()

    def reject(self, retry_after: int) -> None:
        """No attempt was made; `retry_after`: microseconds."""
        self._retry_after = retry_after
        self._end(RecordState.REJECTED)

    def fail(self) -> None:
        """The request failed, or its time ran out."""
        self._end(RecordState.FAILED)

    def decline(self, response: ReplicaErrorResponse) -> None:
        """The replica answered with an error that is the client's."""
        self._replica_error = response
        self._end(RecordState.DECLINED)

    async def forward(self, data: bytes) -> None:
        """Keep an event of the replica's stream for those who follow."""
        if self.store:
            self.store.grow(len(data))
        elif not self.followers:
            return  # nobody can request it any more: only the outcome counts
        self.size += len(data)
        self._parts.append(data)
        self._wake_followers()

    def finish(self) -> None:
        """The answer is complete."""
        self._end(RecordState.ANSWERED)

    def abort(self) -> None:
        """The answer broke off."""
        self._end(RecordState.TRUNCATED)

    def has_disconnected(self) -> bool:
        """Never: the run is completed for whoever requests its answer again."""
        return False

    def follow(self, answer: Answer) -> Follower:
        """Answer one more client from this record."""
        return Follower(self, answer, self._spawn)

    async def replay(self, answer: Answer) -> None:
        """Forward the answer from its beginning, as far as it is there, then as it comes."""
        position = 0
        while True:
            while position < len(self._parts):
                data = self._parts[position]
                if self.store is None and not self.key:  # nobody else can request what this client has read
                    self._parts[position] = b""
                position += 1
                await answer.forward(data)
            if self.state != RecordState.OPEN:
                break
            await self._changed.wait()
        self._end_answer(answer)

    def drop(self) -> int:
        """Keep only the outcome. Returns the bytes that this sets free."""
        freed = self.size
        self._parts = []
        self.size = 0
        self.dropped = True
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
            self.store.ended(self)
        self._wake_followers()

    def _wake_followers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Follower:
    """One client that waits for a record. When it disconnects, only its own answer stops."""

    def __init__(self, record: Record, answer: Answer, spawn: Spawn) -> None:
        self._record = record
        record.followers += 1
        self._answer = answer
        self._task = spawn(record.replay(answer))
        self._task.add_done_callback(self._done)

    def handle_disconnect(self) -> None:
        """The client has disconnected."""
        self._answer.handle_disconnect()
        self._task.cancel()

    def _done(self, task: asyncio.Task[None]) -> None:
        self._record.followers -= 1


class Store:
    """The records of this process by idempotency key.

    `max_bytes`: of answers and records together; `keep`: microseconds that an outcome is kept after its end.
    """

    def __init__(self, deadlines: Deadlines, max_bytes: int, keep: int) -> None:
        self._deadlines = deadlines
        self._max_bytes = max_bytes
        self._keep = keep
        self._records: dict[bytes, Record] = {}
        self._complete: OrderedDict[bytes, Record] = OrderedDict()  # ended, with their answers; the oldest first
        self._size = 0

    def __len__(self) -> int:
        return len(self._records)

    def reconfigure(self, max_bytes: int, keep: int) -> None:
        """Apply `max_bytes` at once, and `keep` from the next answer on."""
        self._max_bytes = max_bytes
        self._keep = keep
        self._free(0)

    def get(self, key: bytes) -> Record | None:
        """The record of a key, if it is kept."""
        return self._records.get(key)

    def add(self, key: bytes, record: Record) -> bool:
        """Keep a new record. False: even without the answers that nobody reads, there is no capacity for it."""
        if not self._free(RECORD_OVERHEAD_BYTES):
            return False
        self._size += RECORD_OVERHEAD_BYTES
        record.store = self
        record.key = key
        self._records[key] = record
        return True

    def grow(self, size: int) -> None:
        """Count bytes of an answer under way. It is kept complete past `max_bytes` too: someone may be reading it."""
        self._free(size)
        self._size += size

    def ended(self, record: Record) -> None:
        """Keep an ended record for its time. A rejected request has not run: its key may be used again at once."""
        if record.state == RecordState.REJECTED:
            self._forget(record)
            return
        record.expiry = self._deadlines.schedule_after(self._keep, lambda: self._forget(record))
        self._complete[record.key] = record
        self._free(0)

    def _forget(self, record: Record) -> None:
        del self._records[record.key]
        self._complete.pop(record.key, None)
        self._size -= record.size + RECORD_OVERHEAD_BYTES
        record.store = None

    def _free(self, wanted: int) -> bool:
        """Release the oldest answers that nobody is reading, until `wanted` bytes fit. False: they do not fit.

        Outcomes go only when their own time has come: a request that is forgotten altogether may run again.
        """
        being_read: list[Record] = []
        while self._complete and self._size + wanted > self._max_bytes:
            _, record = self._complete.popitem(last=False)
            if record.followers:
                being_read.append(record)
            else:
                self._size -= record.drop()
        self._complete.update((record.key, record) for record in being_read)
        return self._size + wanted <= self._max_bytes
