"""An append-only journal in a folder: written and synced in batches by a thread, so that the loop waits for no disk.

`NNNNNNNNNN.log` are segments, named by their first sequence number; `NNNNNNNNNN.state` are snapshots, named by the
last number that they hold. A frame counts once by its number, however often it was written: after a failed sync the
system may have dropped what it took, so everything that was not acknowledged is written again, to a new segment.
Source: the PostgreSQL project's account of fsync errors (2018).
"""

from __future__ import annotations

import contextlib
import os
import pathlib
import threading
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from pearhill.durable.frames import Frame, TornFrameError, frame, read

SEGMENT = 64 << 20  # bytes after which a new one begins
RETRY = 1.0  # seconds between tries of a disk that fails
WAITING = 8 << 20  # bytes that may wait for a disk
LARGEST_STATE = 1 << 30


class CorruptJournalError(Exception):
    """The folder holds what this journal did not write, or a file is damaged in its middle."""


class RecoveredJournal(NamedTuple):
    """What a folder held. `cut`: bytes of a torn tail, which were moved aside."""

    seq: int
    state: bytes | None
    state_seq: int
    frames: list[Frame]
    torn_bytes: int


def _sync_folder(folder: pathlib.Path) -> None:
    number = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


def segments(folder: pathlib.Path) -> list[pathlib.Path]:
    return sorted(folder.glob("[0-9]" * 20 + ".log"))


def frames_of(folder: pathlib.Path) -> list[Frame]:
    """Every frame of a folder, each number once, in order; only read. Corrupt: one is damaged in its middle."""
    found: dict[int, bytes] = {}
    paths = segments(folder)
    for path in paths:
        try:
            for one in read(path.read_bytes()):
                found.setdefault(one.seq, one.body)
        except TornFrameError as e:
            # A torn end is what a crash leaves: of the last segment, or of one that was given up after an error, whose
            # frames then stand again in the next.
            if path is not paths[-1] and not _goes_on(found, paths[paths.index(path) + 1]):
                raise CorruptJournalError(f"{path.name}: {e}") from None
    return [Frame(seq, found[seq]) for seq in sorted(found)]


def _goes_on(found: dict[int, bytes], following: pathlib.Path) -> bool:
    """Whether the next segment begins no later than right behind what has been read."""
    return int(following.stem) <= max(found, default=0) + 1


def recover(folder: pathlib.Path) -> RecoveredJournal:
    """Make a folder fit for writing on: cut a torn tail (kept beside it as `.torn`), find the latest good snapshot.
    Corrupt: it is damaged in its middle. OSError: it cannot be read or written."""
    folder.mkdir(parents=True, exist_ok=True)
    cut = 0
    frames_ = frames_of(folder)
    if paths := segments(folder):
        data = paths[-1].read_bytes()
        try:
            for _ in read(data):
                pass
        except TornFrameError as e:
            cut = len(data) - e.offset
            with open(paths[-1].with_suffix(".torn"), "ab") as aside:
                aside.write(data[e.offset :])
            os.truncate(paths[-1], e.offset)
    state, state_seq = None, 0
    for path in sorted(folder.glob("[0-9]" * 20 + ".state"), reverse=True):
        try:
            (one,) = read(path.read_bytes(), LARGEST_STATE)
        except (TornFrameError, ValueError):
            logger.warning("journal: snapshot {name} is not whole and is passed over", name=path.name)
            continue
        state, state_seq = one.body, one.seq
        break
    if state is None and not frames_ and any(folder.glob("[0-9]" * 20 + ".state")):
        raise CorruptJournalError("no snapshot is whole, and there are no segments")
    for before, after in zip(frames_, frames_[1:], strict=False):
        if after.seq != before.seq + 1 and after.seq > state_seq + 1:
            raise CorruptJournalError(f"charges {before.seq + 1} to {after.seq - 1} are missing")
    first = frames_[0].seq if frames_ else 1
    if first > state_seq + 1:
        raise CorruptJournalError(f"charges {state_seq + 1} to {first - 1} are missing, and no snapshot holds them")
    last = frames_[-1].seq if frames_ else 0
    return RecoveredJournal(max(last, state_seq), state, state_seq, [f for f in frames_ if f.seq > state_seq], cut)


class Journal:
    """`append` never waits. `on_synced(seq)` and `on_failure(error)` are called on the writing thread; None as the
    error: it works again."""

    def __init__(
        self,
        folder: pathlib.Path,
        seq: int,
        on_synced: Callable[[int], None],
        on_failure: Callable[[OSError | None], None],
        segment: int = SEGMENT,
        waiting: int = WAITING,
    ) -> None:
        self.folder, self.seq, self._segment, self._most = folder, seq, segment, waiting
        self._on_synced, self._on_failure = on_synced, on_failure
        self._lock, self._news = threading.Lock(), threading.Condition()
        self._waiting: deque[tuple[int, bytes]] = deque()  # not written yet
        self._unsynced: deque[tuple[int, bytes]] = deque()  # written, not synced
        self._bytes = 0  # of both
        self._snapshot: tuple[int, bytes] | None = None
        self._closing = False
        self._file: int | None = None
        self._size = 0
        self._failed = False
        self._pause = threading.Event()
        self._thread = threading.Thread(target=self._run, name="journal", daemon=True)
        self._thread.start()

    @property
    def full(self) -> bool:
        """Nothing more fits: the disk has failed for too long."""
        return self._bytes >= self._most

    def append(self, body: bytes) -> int:
        """The frame's number. BufferError: too much waits for the disk; nothing was taken."""
        if self.full:
            raise BufferError("too much waits for the disk")
        with self._news:
            self.seq += 1
            data = frame(self.seq, body)
            self._waiting.append((self.seq, data))
            self._bytes += len(data)
            self._news.notify()
            return self.seq

    def snapshot(self, state: bytes) -> None:
        """Keep the state as it is after the last frame appended. An older one still waiting gives way."""
        with self._news:
            self._snapshot = (self.seq, state)
            self._news.notify()

    def close(self, within: float = 5.0) -> bool:
        """Write and sync what waits. False: it could not be done in so many seconds."""
        with self._news:
            self._closing = True
            self._news.notify()
        self._pause.set()
        self._thread.join(within)
        return not self._thread.is_alive() and not self._bytes

    # The thread.

    def _run(self) -> None:
        while True:
            with self._news:
                while not (self._waiting or self._snapshot or self._closing or self._unsynced):
                    self._news.wait()
                if self._closing and not (self._waiting or self._snapshot or self._unsynced):
                    break
            try:
                self._write()
                self._keep_state()
                if self._failed:
                    self._failed = False
                    self._on_failure(None)
            except OSError as e:
                self._give_up()
                if not self._failed:
                    self._failed = True
                    self._on_failure(e)
                if self._closing:
                    break
                self._pause.wait(RETRY)
        self._shut()

    def _write(self) -> None:
        with self._news:
            batch = list(self._waiting)
        if not batch and not self._unsynced:
            return
        if batch:
            data = memoryview(b"".join(piece for _, piece in batch))
            self._open(batch[0][0])
            assert self._file is not None
            while data:
                size = os.write(self._file, data)
                data = data[size:]
                self._size += size
        with self._news:
            for _ in batch:
                self._unsynced.append(self._waiting.popleft())
        assert self._file is not None
        os.fsync(self._file)
        with self._news:
            last = self._unsynced[-1][0]
            self._bytes -= sum(len(piece) for _, piece in self._unsynced)
            self._unsynced.clear()
        self._on_synced(last)
        if self._size >= self._segment:
            self._shut()

    def _open(self, first: int) -> None:
        if self._file is not None:
            return
        # A file of that name holds nothing that was acknowledged: it begins with a frame that was given up.
        path = self.folder / f"{first:020}.log"
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o640)
        self._size = 0
        _sync_folder(self.folder)

    def _keep_state(self) -> None:
        with self._news:
            wanted = self._snapshot
        if wanted is None:
            return
        seq, state = wanted
        path = self.folder / f"{seq:020}.state"
        number = os.open(path.with_suffix(".new"), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o640)
        try:
            data = memoryview(frame(seq, state, LARGEST_STATE))
            while data:
                data = data[os.write(number, data) :]
            os.fsync(number)
        finally:
            os.close(number)
        os.rename(path.with_suffix(".new"), path)
        _sync_folder(self.folder)
        for old in sorted(self.folder.glob("[0-9]" * 20 + ".state"))[:-2]:  # the one before stays, should this go bad
            old.unlink()
        with self._news:
            if self._snapshot == wanted:
                self._snapshot = None

    def _give_up(self) -> None:
        """Danger: after a failed write or sync nobody knows what the file holds. What was not acknowledged goes to a
        new segment, whole; the old one may hold some of it too, under the same numbers."""
        with self._news:
            self._waiting.extendleft(reversed(self._unsynced))
            self._unsynced.clear()
        self._shut()

    def _shut(self) -> None:
        if self._file is not None:
            with contextlib.suppress(OSError):
                os.close(self._file)
            self._file = None
