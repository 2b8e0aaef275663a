"""The ids of clients' requests: which are open, and which may have been executed and may not be executed again.

A client gives each request a fresh id. An id that comes again is another client's mistake: a replica could not tell
the two requests apart, and one that must not be executed twice would be.
"""

from __future__ import annotations

import enum
import hashlib
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from pearhill.core.expiring_keys import ExpiringKeys, table_bytes

RETENTION_US = 600_000_000  # how long the id of a request that may have been executed is remembered
BUCKETS = 1024  # of the table of one process
TABLE_BYTES = table_bytes(BUCKETS)
KEY_BITS = 62  # so that a key can be a position in a file, which is below 2**63
_KEY_BYTES = 8


def request_key(request_id: str) -> int:
    """Return the number that stands for an id, from 1 to 2**KEY_BITS - 1, the same in every process."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest) >> (8 * _KEY_BYTES - KEY_BITS) or 1


class ClaimResult(enum.Enum):
    """Whether a request with an id may begin."""

    GRANTED = enum.auto()
    OPEN = enum.auto()  # another request with this id is open, maybe at another process
    MAY_HAVE_EXECUTED = enum.auto()  # an earlier request with this id must not be repeated
    UNKNOWN = enum.auto()  # the system could not tell, and the request must not be repeated


class IdLocks(Protocol):
    """Locks on keys between the processes of one dispatcher. A process that exits loses its locks."""

    def acquire(self, key: int) -> bool:
        """Lock a key. Returns False if another process holds it. Raises OSError if that cannot be determined."""

    def release(self, key: int) -> None:
        """Unlock a key."""


class NoIdLocks:
    """Locks of a process that shares its ids with no other."""

    def acquire(self, key: int) -> bool:
        """Lock a key."""
        return True

    def release(self, key: int) -> None:
        """Unlock a key."""


class RequestIds:
    """The ids that this process has open, and those that may have been executed at any process.

    `own` is the table that this process writes; `others` are those of the other processes. `clock` returns the
    microseconds of a clock that all of them share.
    """

    def __init__(
        self,
        own: ExpiringKeys | None = None,
        others: Sequence[ExpiringKeys] = (),
        locks: IdLocks | None = None,
        clock: Callable[[], int] = lambda: time.monotonic_ns() // 1000,
    ) -> None:
        self._own = own or ExpiringKeys(memoryview(bytearray(TABLE_BYTES)))
        self._others = others
        self._locks = locks or NoIdLocks()
        self._clock = clock
        self._open: dict[str, int] = {}  # the key of each open id

    def claim(self, request_id: str, repeatable: bool) -> ClaimResult:
        """Record that a request with this id is open, until `release`. `repeatable`: it may be executed twice."""
        if request_id in self._open:
            return ClaimResult.OPEN
        key = request_key(request_id)
        try:
            if not self._locks.acquire(key):
                return ClaimResult.OPEN
        except OSError:
            if not repeatable:
                return ClaimResult.UNKNOWN
        # Only now: the other process records an execution while it holds the lock.
        if self._may_have_executed(key):
            self._locks.release(key)
            return ClaimResult.MAY_HAVE_EXECUTED
        self._open[request_id] = key
        return ClaimResult.GRANTED

    def record_execution(self, request_id: str) -> None:
        """Record that an open request is about to be executed and must not be repeated. It is known from now on, even
        if this process is killed."""
        key = self._open.get(request_id)
        if key is not None:
            now = self._clock()
            self._own.add(key, now + RETENTION_US, now)

    def release(self, request_id: str, may_have_executed: bool) -> None:
        """Record that a request has ended. What `record_execution` said of it is revoked unless it holds."""
        key = self._open.pop(request_id, None)
        if key is None:
            return
        if not may_have_executed:
            self._own.remove(key)
        self._locks.release(key)

    def _may_have_executed(self, key: int) -> bool:
        now = self._clock()
        return self._own.contains(key, now) or any(table.contains(key, now) for table in self._others)
