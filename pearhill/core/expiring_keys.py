"""A set of 64-bit keys, each until a time of its own, in a buffer of fixed size.

The buffer may be memory that several processes share, of which one alone writes: a table has no other state. It is a
set-associative cache: the low bits of a key choose a bucket of `RECORDS_PER_BUCKET` records. A key that comes into a
full bucket replaces the one that would expire first.
"""

from __future__ import annotations

import struct

RECORDS_PER_BUCKET = 8
_RECORD = struct.Struct("<QQ")  # the key, or 0 if the record is empty; the time at which it expires
_BUCKET_BYTES = RECORDS_PER_BUCKET * _RECORD.size


def table_bytes(buckets: int) -> int:
    """Return the size of the buffer of a table with this number of buckets."""
    return buckets * _BUCKET_BYTES


class ExpiringKeys:
    """Keys are from 1 to 2**64 - 1 and evenly distributed, as hashes are. Times are microseconds of any one clock."""

    def __init__(self, buffer: memoryview) -> None:
        self._buffer = buffer
        self._buckets = len(buffer) // _BUCKET_BYTES

    def contains(self, key: int, now: int) -> bool:
        """Return whether the key was added and has not expired."""
        return any(found == key and expires > now for found, expires in self._records(key))

    def add(self, key: int, expires: int, now: int) -> None:
        """Add a key until `expires`, or change when it expires."""
        records = self._records(key)
        index = min(range(RECORDS_PER_BUCKET), key=lambda each: _replacement_order(records[each], key, now))
        _RECORD.pack_into(self._buffer, self._offset(key) + index * _RECORD.size, key, expires)

    def remove(self, key: int) -> None:
        """Remove a key, if it is there."""
        for index, (found, _) in enumerate(self._records(key)):
            if found == key:
                _RECORD.pack_into(self._buffer, self._offset(key) + index * _RECORD.size, 0, 0)

    def _offset(self, key: int) -> int:
        return key % self._buckets * _BUCKET_BYTES

    def _records(self, key: int) -> list[tuple[int, int]]:
        """Return the records of the key's bucket."""
        offset = self._offset(key)
        return list(_RECORD.iter_unpack(self._buffer[offset : offset + _BUCKET_BYTES]))


def _replacement_order(record: tuple[int, int], key: int, now: int) -> tuple[bool, int]:
    """Return the sort key of records: first that of the key itself, then expired ones, then the first to expire."""
    found, expires = record
    return found != key, max(expires, now)
