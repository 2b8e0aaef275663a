"""Frames of an append-only file: length, checksum, sequence number, body. A file may end anywhere.

A frame is `<IQQ`: the body's length, xxh3-64 of the sequence number and the body, the sequence number; then the body.
Source of the idea that a file cut at any byte must read as what was whole before: SQLite's write-ahead log.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

HEAD = struct.Struct("<IQQ")
_SEQ = struct.Struct("<Q")
LARGEST = 1 << 20  # bytes of a body


class Frame(NamedTuple):
    seq: int
    body: bytes


class TornFrameError(Exception):
    """The bytes from `at` on are no frame."""

    def __init__(self, at: int, why: str) -> None:
        super().__init__(f"at byte {at}: {why}")
        self.offset = at


def frame(seq: int, body: bytes, largest: int = LARGEST) -> bytes:
    """ValueError: the body is too large."""
    if len(body) > largest:
        raise ValueError(f"a body of {len(body)} bytes; {largest} are allowed")
    return HEAD.pack(len(body), xxhash.xxh3_64_intdigest(_SEQ.pack(seq) + body), seq) + body


def read(data: bytes, largest: int = LARGEST) -> Iterator[Frame]:
    """Every whole frame in order. Torn: after the last of them, where bytes are left that make none."""
    at = 0
    while at < len(data):
        if len(data) - at < HEAD.size:
            raise TornFrameError(at, "the head of a frame is not whole")
        length, digest, seq = HEAD.unpack_from(data, at)
        body = data[at + HEAD.size : at + HEAD.size + length]
        if length > largest or len(body) < length:
            raise TornFrameError(at, "a frame is not whole")
        if xxhash.xxh3_64_intdigest(_SEQ.pack(seq) + body) != digest:
            raise TornFrameError(at, "a checksum does not fit")
        yield Frame(seq, body)
        at += HEAD.size + length
