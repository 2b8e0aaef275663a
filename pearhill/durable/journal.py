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
import time
from collections import deque
from collections.abc import Callable

from pearhill.durable.frames import encode_frame
from pearhill.durable.recovery import MAX_STATE_BYTES, snapshots

SEGMENT_BYTES = 64 << 20  # after which a new segment begins
RETRY_INTERVAL_S = 1.0  # between tries of a disk that fails
CLOSING_RETRY_INTERVAL_S = 0.05  # the same while the journal is being closed
MAX_WAITING_BYTES = 8 << 20  # that may wait for a disk
CLOSE_TIMEOUT_S = 5.0
KEPT_SNAPSHOTS = 2  # the one before the latest stays, in case the latest is damaged
FILE_MODE = 0o640


class Journal:
    """Appends frames to a folder that `recover` has made fit; `seq` is the last number in it.

    `append` never waits. `on_synced(seq)` and `on_failure(error)` are called on the writing thread; None as the
    error: it works again.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seq: int,
        on_synced: Callable[[int], None],
        on_failure: Callable[[OSError | None], None],
        segment_bytes: int = SEGMENT_BYTES,
        max_waiting_bytes: int = MAX_WAITING_BYTES,
    ) -> None:
        self.folder = folder
        self.seq = seq
        self._segment_bytes = segment_bytes
        self._max_waiting_bytes = max_waiting_bytes
        self._on_synced = on_synced
        self._on_failure = on_failure
        self._changed = threading.Condition()
        self._waiting: deque[tuple[int, bytes]] = deque()  # not written yet
        self._unsynced: deque[tuple[int, bytes]] = deque()  # written, not synced
        self._bytes = 0  # of both
        self._snapshot: tuple[int, bytes] | None = None  # that waits for the disk
        self._close_by: float | None = None  # of the monotonic clock, in seconds; None: nobody has closed it
        self._file: int | None = None
        self._size = 0
        self._failed = False
        self._retry_at_once = threading.Event()
        self._thread = threading.Thread(target=self._run, name="journal", daemon=True)
        self._thread.start()

    @property
    def is_full(self) -> bool:
        """Whether nothing more fits: the disk has failed for too long."""
        return self._bytes >= self._max_waiting_bytes

    def append(self, body: bytes) -> int:
        """The frame's number. BufferError: too much waits for the disk; ValueError: the body is too large. Nothing was
        taken then."""
        if self.is_full:
            raise BufferError("too much waits for the disk")
        with self._changed:
            data = encode_frame(self.seq + 1, body)
            self.seq += 1
            self._waiting.append((self.seq, data))
            self._bytes += len(data)
            self._changed.notify()
            return self.seq

    def snapshot(self, state: bytes) -> None:
        """Keep the state as it is after the last frame appended. It replaces an older one that still waits.

        ValueError: it is too large. Then the older ones and all frames after them stay.
        """
        if len(state) > MAX_STATE_BYTES:
            raise ValueError(f"a snapshot of {len(state)} bytes; {MAX_STATE_BYTES} are allowed")
        with self._changed:
            self._snapshot = (self.seq, state)
            self._changed.notify()

    def close(self, timeout: float = CLOSE_TIMEOUT_S) -> bool:
        """Write and sync what waits, trying for so many seconds while the disk fails. False: it could not be done."""
        with self._changed:
            self._close_by = time.monotonic() + timeout
            self._changed.notify()
        self._retry_at_once.set()
        self._thread.join(timeout)
        return not self._thread.is_alive() and not self._bytes

    @property
    def unwritten(self) -> tuple[int, int]:
        """How many frames are not written and synced, and their bytes."""
        with self._changed:
            return len(self._waiting) + len(self._unsynced), self._bytes

    # The writing thread.

    def _run(self) -> None:
        while self._wait_for_work():
            try:
                self._write()
                self._write_snapshot()
                self._record_recovery()
            except OSError as e:
                self._give_up_segment()
                self._record_failure(e)
                if not self._wait_for_retry():
                    break
        self._close_file()

    def _wait_for_work(self) -> bool:
        """Wait until something is to be written. False: nothing is, and the journal is closed."""
        with self._changed:
            while not self._has_work() and self._close_by is None:
                self._changed.wait()
            return self._has_work()

    def _wait_for_retry(self) -> bool:
        """Wait until the disk is to be tried again. False: the journal is being closed, and its time is over."""
        if self._close_by is None:
            self._retry_at_once.wait(RETRY_INTERVAL_S)
            return True
        time.sleep(CLOSING_RETRY_INTERVAL_S)
        return time.monotonic() < self._close_by

    def _has_work(self) -> bool:
        return bool(self._waiting or self._snapshot or self._unsynced)

    def _record_recovery(self) -> None:
        if self._failed:
            self._failed = False
            self._on_failure(None)

    def _record_failure(self, error: OSError) -> None:
        if not self._failed:
            self._failed = True
            self._on_failure(error)

    def _write(self) -> None:
        """Write and sync all that waits."""
        with self._changed:
            batch = list(self._waiting)
        if not batch and not self._unsynced:
            return
        if batch:
            self._open_segment(batch[0][0])
            assert self._file is not None
            self._size += _write_all(self._file, b"".join(piece for _, piece in batch))
        with self._changed:
            for _ in batch:
                self._unsynced.append(self._waiting.popleft())
        assert self._file is not None
        os.fsync(self._file)
        self._acknowledge()
        if self._size >= self._segment_bytes:
            self._close_file()

    def _acknowledge(self) -> None:
        with self._changed:
            last = self._unsynced[-1][0]
            self._bytes -= sum(len(piece) for _, piece in self._unsynced)
            self._unsynced.clear()
        self._on_synced(last)

    def _open_segment(self, first: int) -> None:
        if self._file is not None:
            return
        # A file of that name holds nothing that was acknowledged: it begins with a frame that was given up.
        path = self.folder / f"{first:020}.log"
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, FILE_MODE)
        self._size = 0
        _sync_folder(self.folder)

    def _write_snapshot(self) -> None:
        """Put the snapshot that waits in its place, whole or not at all, and remove those before the last two."""
        with self._changed:
            wanted = self._snapshot
        if wanted is None:
            return
        seq, state = wanted
        path = self.folder / f"{seq:020}.state"
        temporary = path.with_suffix(".new")
        _write_file(temporary, encode_frame(seq, state, MAX_STATE_BYTES))
        os.rename(temporary, path)
        _sync_folder(self.folder)
        for old in snapshots(self.folder)[:-KEPT_SNAPSHOTS]:
            old.unlink()
        with self._changed:
            if self._snapshot == wanted:
                self._snapshot = None

    def _give_up_segment(self) -> None:
        """After a failed write or sync it is unknown what the file holds.

        What was not acknowledged goes to a new segment, whole; the old one may hold some of it too, under the same
        numbers.
        """
        with self._changed:
            self._waiting.extendleft(reversed(self._unsynced))
            self._unsynced.clear()
        self._close_file()

    def _close_file(self) -> None:
        if self._file is not None:
            with contextlib.suppress(OSError):
                os.close(self._file)
            self._file = None


def _write_all(file: int, data: bytes) -> int:
    """Write all of the data; returns its size."""
    left = memoryview(data)
    while left:
        left = left[os.write(file, left) :]
    return len(data)


def _write_file(path: pathlib.Path, data: bytes) -> None:
    """Write and sync a new file."""
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        _write_all(file, data)
        os.fsync(file)
    finally:
        os.close(file)


def _sync_folder(folder: pathlib.Path) -> None:
    """Make what was created or renamed in a folder durable."""
    file = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(file)
    finally:
        os.close(file)
