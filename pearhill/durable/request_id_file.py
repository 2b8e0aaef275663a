"""A file that the processes of one dispatcher share during a takeover: locks on request ids, and one table of ids for
each process.

A lock on an id is a lock on one byte of the file, beyond its end (`man 2 fcntl`). The system ends it with its process,
however that exits, so a process that hangs keeps its ids and one that is killed loses them at once. The tables are
memory that all processes map; what one of them has written stays when it exits. Neither waits for a disk.
"""

from __future__ import annotations

import contextlib
import fcntl
import mmap
import os

from pearhill.core.expiring_keys import ExpiringKeys
from pearhill.core.request_ids import KEY_BITS, TABLE_BYTES, RequestIds
from pearhill.durable.shared_files import shared_file

MAX_PROCESSES = 4  # that can share the file at one time
FILE_BYTES = MAX_PROCESSES * TABLE_BYTES
FORMAT_VERSION = 1
KEYS_BEGIN = 1 << KEY_BITS  # position of the lock on key 0; the bytes before it are the tables


class RequestIdFile:
    """The file of the processes named `name` in a folder. Raises OSError if it cannot be used.

    `boot` is the id of the machine's current boot: times in the tables are of a clock that starts with it. The file
    must not be opened twice in one process, whose locks would all end when one of the descriptors is closed.
    """

    def __init__(self, folder: str, name: str, boot: str) -> None:
        self.path = shared_file(folder, name, boot, FORMAT_VERSION, "ids")
        self._descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            # Without its space, an access to the mapped file would end the process once the disk is full.
            os.posix_fallocate(self._descriptor, 0, FILE_BYTES)
            self._own_table = self._acquire_table()
            self._map = mmap.mmap(self._descriptor, FILE_BYTES)
        except OSError:
            os.close(self._descriptor)
            raise

    def request_ids(self) -> RequestIds:
        """Return the ids that this process shares with the others."""
        view = memoryview(self._map)
        tables = [ExpiringKeys(view[start : start + TABLE_BYTES]) for start in range(0, FILE_BYTES, TABLE_BYTES)]
        own = tables.pop(self._own_table)
        return RequestIds(own, tables, self)

    def acquire(self, key: int) -> bool:
        """Lock a key. Returns False if another process holds it. Raises OSError if that cannot be determined."""
        return self._lock(KEYS_BEGIN + key)

    def release(self, key: int) -> None:
        """Unlock a key. One that cannot be unlocked now stays locked to other processes until this one exits."""
        with contextlib.suppress(OSError):
            fcntl.lockf(self._descriptor, fcntl.LOCK_UN, 1, KEYS_BEGIN + key)

    def _acquire_table(self) -> int:
        """Lock a table that no other process writes, and return its number. Keys of its last writer stay in it."""
        for number in range(MAX_PROCESSES):
            if self._lock(number * TABLE_BYTES):
                return number
        raise OSError(f"more than {MAX_PROCESSES} processes use {self.path.name}")

    def _lock(self, position: int) -> bool:
        try:
            fcntl.lockf(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, position)
        except (BlockingIOError, PermissionError):  # the system may report either of them
            return False
        return True
