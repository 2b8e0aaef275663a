"""An append-only journal in a folder. A thread writes and syncs in batches, so that the event loop never waits for it.

`NNNNNNNNNN.log` are segments, named by their first sequence number; `NNNNNNNNNN.state` are snapshots, named by the
last sequence number that they include. After a failed sync the system may have dropped written data, so every
unacknowledged frame is written again, to a new segment. Readers use each sequence number once, however often it was
written. Source: the PostgreSQL project's account of fsync errors (2018).
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

SEGMENT_BYTES = 64 << 20  # size at which a new segment begins
RETRY_INTERVAL_S = 1.0  # between two attempts while the disk fails
CLOSING_RETRY_INTERVAL_S = 0.05  # between two attempts while the journal is being closed
MAX_PENDING_BYTES = 8 << 20  # limit on the bytes that wait for the disk
CLOSE_TIMEOUT_S = 5.0
RETAINED_SNAPSHOTS = 2  # the second latest is retained in case the latest is damaged
FILE_MODE = 0o640


class Journal:
    """Appends frames to a folder that `recover` has prepared; `seq` is the last sequence number in it.

    `append` never waits for the disk. `on_synced(seq)` and `on_failure(error)` are called on the writing thread;
    `on_failure(None)` means that the disk works again.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seq: int,
        on_synced: Callable[[int], None],
        on_failure: Callable[[OSError | None], None],
        segment_bytes: int = SEGMENT_BYTES,
        max_pending_bytes: int = MAX_PENDING_BYTES,
    ) -> None:
        self.folder = folder
        self.seq = seq
        self._segment_bytes = segment_bytes
        self._max_pending_bytes = max_pending_bytes
        self._on_synced = on_synced
        self._on_failure = on_failure
        self._changed = threading.Condition()
        self._queued: deque[tuple[int, bytes]] = deque()  # not written yet
        self._unsynced: deque[tuple[int, bytes]] = deque()  # written, not synced
        self._pending_bytes = 0  # total size of the frames in both queues
        self._pending_snapshot: tuple[int, bytes] | None = None  # waits for the disk
        self._close_by: float | None = None  # monotonic time in seconds, or None while the journal is open
        self._file: int | None = None
        self._size = 0
        self._failed = False
        self._retry_at_once = threading.Event()
        self._thread = threading.Thread(target=self._run, name="journal", daemon=True)
        self._thread.start()

    @property
    def is_full(self) -> bool:
        """Whether the buffer is full because the disk has failed for too long."""
        return self._pending_bytes >= self._max_pending_bytes

    def append(self, body: bytes) -> int:
        """Append a frame and return its sequence number.

        Raises BufferError if too many bytes wait for the disk, or ValueError if the body is too large. Nothing is
        appended in either case.
        """
        if self.is_full:
            raise BufferError("too many bytes wait for the disk")
        with self._changed:
            data = encode_frame(self.seq + 1, body)
            self.seq += 1
            self._queued.append((self.seq, data))
            self._pending_bytes += len(data)
            self._changed.notify()
            return self.seq

    def snapshot(self, state: bytes) -> None:
        """Store the state after the last appended frame. It replaces an older snapshot that still waits for the disk.

        Raises ValueError if the state is too large. The older snapshots and all frames after them remain in that case.
        """
        if len(state) > MAX_STATE_BYTES:
            raise ValueError(f"a snapshot of {len(state)} bytes is too large; {MAX_STATE_BYTES} are allowed")
        with self._changed:
            self._pending_snapshot = (self.seq, state)
            self._changed.notify()

    def close(self, timeout: float = CLOSE_TIMEOUT_S) -> bool:
        """Write and sync all pending data, retrying for `timeout` seconds while the disk fails.

        Returns whether everything has been written and synced.
        """
        with self._changed:
            self._close_by = time.monotonic() + timeout
            self._changed.notify()
        self._retry_at_once.set()
        self._thread.join(timeout)
        return not self._thread.is_alive() and not self._pending_bytes

    @property
    def unwritten(self) -> tuple[int, int]:
        """The number of frames that are not written and synced yet, and their size in bytes."""
        with self._changed:
            return len(self._queued) + len(self._unsynced), self._pending_bytes

    # The writing thread.

    def _run(self) -> None:
        while self._wait_for_work():
            try:
                self._write()
                self._write_snapshot()
                self._record_recovery()
            except OSError as e:
                self._abandon_segment()
                self._record_failure(e)
                if not self._wait_for_retry():
                    break
        self._close_file()

    def _wait_for_work(self) -> bool:
        """Wait until there is data to write. Returns False if there is none and the journal is closed."""
        with self._changed:
            while not self._has_work() and self._close_by is None:
                self._changed.wait()
            return self._has_work()

    def _wait_for_retry(self) -> bool:
        """Wait until the next attempt to write. Returns False if the time for closing the journal is over."""
        if self._close_by is None:
            self._retry_at_once.wait(RETRY_INTERVAL_S)
            return True
        time.sleep(CLOSING_RETRY_INTERVAL_S)
        return time.monotonic() < self._close_by

    def _has_work(self) -> bool:
        return bool(self._queued or self._pending_snapshot or self._unsynced)

    def _record_recovery(self) -> None:
        if self._failed:
            self._failed = False
            self._on_failure(None)

    def _record_failure(self, error: OSError) -> None:
        if not self._failed:
            self._failed = True
            self._on_failure(error)

    def _write(self) -> None:
        """Write and sync all pending frames."""
        with self._changed:
            batch = list(self._queued)
        if not batch and not self._unsynced:
            return
        if batch:
            self._open_segment(batch[0][0])
            assert self._file is not None
            self._size += _write_all(self._file, b"".join(frame for _, frame in batch))
        with self._changed:
            for _ in batch:
                self._unsynced.append(self._queued.popleft())
        assert self._file is not None
        os.fsync(self._file)
        self._acknowledge()
        if self._size >= self._segment_bytes:
            self._close_file()

    def _acknowledge(self) -> None:
        with self._changed:
            last = self._unsynced[-1][0]
            self._pending_bytes -= sum(len(frame) for _, frame in self._unsynced)
            self._unsynced.clear()
        self._on_synced(last)

    def _open_segment(self, first: int) -> None:
        if self._file is not None:
            return
        # An existing file of this name contains no acknowledged frame: its first frame is written again here, after an
        # earlier attempt failed.
        path = self.folder / f"{first:020}.log"
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, FILE_MODE)
        self._size = 0
        _sync_folder(self.folder)

    def _write_snapshot(self) -> None:
        """Write the pending snapshot and move it into place atomically, and remove all but the latest snapshots."""
        with self._changed:
            pending = self._pending_snapshot
        if pending is None:
            return
        seq, state = pending
        path = self.folder / f"{seq:020}.state"
        temporary = path.with_suffix(".new")
        _write_file(temporary, encode_frame(seq, state, MAX_STATE_BYTES))
        os.rename(temporary, path)
        _sync_folder(self.folder)
        for old in snapshots(self.folder)[:-RETAINED_SNAPSHOTS]:
            old.unlink()
        with self._changed:
            if self._pending_snapshot == pending:
                self._pending_snapshot = None

    def _abandon_segment(self) -> None:
        """Close the segment after a failed write or sync, when its contents are unknown.

        All unacknowledged frames are written to a new segment; the old one may contain some of them too, under the same
        sequence numbers.
        """
        with self._changed:
            self._queued.extendleft(reversed(self._unsynced))
            self._unsynced.clear()
        self._close_file()

    def _close_file(self) -> None:
        if self._file is not None:
            with contextlib.suppress(OSError):
                os.close(self._file)
            self._file = None


def _write_all(file: int, data: bytes) -> int:
    """Write all of the data, and return its size in bytes."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(file, remaining) :]
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
    """Make files that were created or renamed in the folder durable."""
    file = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(file)
    finally:
        os.close(file)
