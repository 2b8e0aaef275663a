"""The ids of clients' requests: which are open, and which may have been executed and may not be executed again.

A client gives each request a fresh id. An id that comes again is another client's mistake: a replica could not tell
the two requests apart, and one that must not be executed twice would be.
"""

from __future__ import annotations

import enum
import hashlib
import time
from collections.abc import Callable

from pearhill.core.expiring_keys import ExpiringKeys, table_bytes

RETENTION_US = 600_000_000  # how long the id of a request that may have been executed is remembered
BUCKETS = 1024  # of the table of one process
TABLE_BYTES = table_bytes(BUCKETS)
_KEY_BYTES = 8


def request_key(request_id: str) -> int:
    """Return the number that stands for an id, which is not 0."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest) or 1


class ClaimResult(enum.Enum):
    """Whether a request with an id may begin."""

    GRANTED = enum.auto()
    OPEN = enum.auto()  # another request with this id is open
    MAY_HAVE_EXECUTED = enum.auto()  # an earlier request with this id must not be repeated


class RequestIds:
    """The ids that are open, and those that may have been executed. `clock` returns microseconds."""

    def __init__(self, clock: Callable[[], int] = lambda: time.monotonic_ns() // 1000) -> None:
        self._executed = ExpiringKeys(memoryview(bytearray(TABLE_BYTES)))
        self._clock = clock
        self._open: dict[str, int] = {}  # the key of each open id

    def claim(self, request_id: str) -> ClaimResult:
        """Record that a request with this id is open, until `release`."""
        if request_id in self._open:
            return ClaimResult.OPEN
        key = request_key(request_id)
        if self._executed.contains(key, self._clock()):
            return ClaimResult.MAY_HAVE_EXECUTED
        self._open[request_id] = key
        return ClaimResult.GRANTED

    def record_execution(self, request_id: str) -> None:
        """Record that an open request is about to be executed and must not be repeated."""
        key = self._open.get(request_id)
        if key is not None:
            now = self._clock()
            self._executed.add(key, now + RETENTION_US, now)

    def release(self, request_id: str, may_have_executed: bool) -> None:
        """Record that a request has ended. What `record_execution` said of it is revoked unless it holds."""
        key = self._open.pop(request_id, None)
        if key is not None and not may_have_executed:
            self._executed.remove(key)
