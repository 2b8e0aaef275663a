"""Requests that must end in one outcome whoever waits for it: the run goes on when its client leaves, what came
of it is kept a while, and a repeat under the same idempotency key gets that one answer.

The store belongs to this process alone and is bounded in bytes and in time. When bytes run short the oldest
answers are let go of first and only their outcome is kept: a repeat is then told so, and still nothing runs twice.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from loguru import logger

from pearhill.chat.answers import Answer, Spawn
from pearhill.chat.errors import ReplicaErrorResponse
from pearhill.core.deadlines import Deadlines, Key

OPEN, ANSWERED, FAILED, BROKEN, REFUSED, DECLINED = "open", "answered", "failed", "broken", "refused", "declined"
OVERHEAD = 512  # bytes that an entry costs beside its answer


class Record:
    """The core's client for one run, and the source for all who want its answer."""

    def __init__(self, id: str, digest: bytes, spawn: Spawn) -> None:
        self.id, self.digest = id, digest
        self.state, self.stay_away = OPEN, 0
        self.said: ReplicaErrorResponse | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.dropped = False  # the answer is not kept any more, only its outcome
        self.followers = 0
        self._spawn, self._news = spawn, asyncio.Event()
        self.store: Store | None = None
        self.key = b""
        self.expiry: Key | None = None

    # The core's client.

    def reject(self, stay_away: int) -> None:
        self.stay_away = stay_away
        self._end(REFUSED)

    def fail(self) -> None:
        self._end(FAILED)

    def decline(self, said: ReplicaErrorResponse) -> None:
        self.said = said
        self._end(DECLINED)

    async def forward(self, data: bytes) -> None:
        if self.store:
            self.store.grow(len(data))
        elif not self.followers:
            return  # nobody can ask for it any more: only the outcome counts
        self.size += len(data)
        self.parts.append(data)
        self._wake()

    def finish(self) -> None:
        self._end(ANSWERED)

    def abort(self) -> None:
        self._end(BROKEN)

    def has_disconnected(self) -> bool:
        return False  # it is seen through for whoever asks for it again

    # Inside.

    def _end(self, state: str) -> None:
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
        self._wake()

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def follow(self, answer: Answer) -> Follower:
        return Follower(self, answer, self._spawn)

    async def replay(self, answer: Answer) -> None:
        """The answer from its beginning, as far as it is there, then as it comes."""
        at = 0
        while True:
            while at < len(self.parts):
                at += 1
                data = self.parts[at - 1]
                if self.store is None and not self.key:  # nobody else can ask for what this client has read
                    self.parts[at - 1] = b""
                await answer.forward(data)
            if self.state != OPEN:
                break
            await self._news.wait()
        if self.state == REFUSED:
            answer.reject(self.stay_away)
        elif self.state == FAILED:
            answer.fail()
        elif self.state == BROKEN:
            answer.abort()
        elif self.state == DECLINED and self.said:
            answer.decline(self.said)
        else:
            answer.finish()

    def drop(self) -> int:
        """Keep only the outcome; the bytes that this sets free."""
        freed = self.size
        self.parts, self.size, self.dropped = [], 0, True
        return freed


class Follower:
    """One client that waits for a record; its leaving stops nothing but itself."""

    def __init__(self, record: Record, answer: Answer, spawn: Spawn) -> None:
        self._record = record
        record.followers += 1
        self._answer = answer
        self._task = spawn(record.replay(answer))
        self._task.add_done_callback(self._over)

    def _over(self, task: asyncio.Task[None]) -> None:
        self._record.followers -= 1

    def left(self) -> None:
        self._answer.left()
        self._task.cancel()


class Store:
    def __init__(self, deadlines: Deadlines, max_bytes: int, keep: int) -> None:
        self._deadlines, self.max_bytes, self.keep = deadlines, max_bytes, keep
        self._records: dict[bytes, Record] = {}
        self._whole: OrderedDict[bytes, Record] = OrderedDict()  # ended, with their answers; the oldest first
        self.size = 0

    def __len__(self) -> int:
        return len(self._records)

    def reconfigure(self, max_bytes: int, keep: int) -> None:
        """In force at once for the bytes, and from the next answer on for the time that it is kept."""
        self.max_bytes, self.keep = max_bytes, keep
        self._make_room(0)

    def get(self, key: bytes) -> Record | None:
        return self._records.get(key)

    def add(self, key: bytes, record: Record) -> bool:
        """False: even with every answer let go of there is no room to remember one more."""
        if not self._make_room(OVERHEAD):
            return False
        self.size += OVERHEAD
        record.store, record.key = self, key
        self._records[key] = record
        return True

    def grow(self, size: int) -> None:
        self._make_room(size)  # an answer under way is kept whole all the same: someone may be reading it
        self.size += size

    def ended(self, record: Record) -> None:
        if record.state == REFUSED:  # never run: the key is as good as new
            return self._forget(record)
        record.expiry = self._deadlines.after(self.keep, lambda: self._forget(record))
        self._whole[record.key] = record
        self._make_room(0)

    def _forget(self, record: Record) -> None:
        del self._records[record.key]
        self._whole.pop(record.key, None)
        self.size -= record.size + OVERHEAD
        record.store = None

    def _make_room(self, wanted: int) -> bool:
        """Let go of the oldest answers that nobody is reading. What is forgotten altogether may run again, so
        outcomes go only when their own time has come."""
        read: list[Record] = []
        while self._whole and self.size + wanted > self.max_bytes:
            _, record = self._whole.popitem(last=False)
            if record.followers:
                read.append(record)
            else:
                self.size -= record.drop()
        self._whole.update((record.key, record) for record in read)
        return self.size + wanted <= self.max_bytes
