"""Frames of an append-only file: length, checksum, sequence number, body. A file may be cut off at any byte.

A frame is `<IQQ`: the body's length, xxh3-64 of the sequence number and the body, the sequence number; then the body.
As in SQLite's write-ahead log, a file that is cut off at any byte reads as the complete frames before that byte.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

FRAME_HEAD = struct.Struct("<IQQ")
MAX_BODY_BYTES = 1 << 20
_SEQUENCE_NUMBER = struct.Struct("<Q")


class Frame(NamedTuple):
    """One record and its sequence number."""

    seq: int
    body: bytes


class TornFrameError(Exception):
    """The bytes from `offset` on are not a valid frame."""

    def __init__(self, offset: int, reason: str) -> None:
        super().__init__(f"at byte {offset}: {reason}")
        self.offset = offset


def encode_frame(seq: int, body: bytes, max_body_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Returns the bytes of a frame. Raises ValueError if the body is too large."""
    if len(body) > max_body_bytes:
        raise ValueError(f"a frame body of {len(body)} bytes is too large; {max_body_bytes} are allowed")
    return FRAME_HEAD.pack(len(body), _digest(seq, body), seq) + body


def decode_frames(data: bytes, max_body_bytes: int = MAX_BODY_BYTES) -> Iterator[Frame]:
    """Yields every complete frame in order.

    Raises TornFrameError after the last of them if the remaining bytes are not a valid frame.
    """
    offset = 0
    while offset < len(data):
        if len(data) - offset < FRAME_HEAD.size:
            raise TornFrameError(offset, "incomplete frame header")
        length, digest, seq = FRAME_HEAD.unpack_from(data, offset)
        body = data[offset + FRAME_HEAD.size : offset + FRAME_HEAD.size + length]
        if length > max_body_bytes or len(body) < length:
            raise TornFrameError(offset, "incomplete or oversized frame body")
        if _digest(seq, body) != digest:
            raise TornFrameError(offset, "checksum mismatch")
        yield Frame(seq, body)
        offset += FRAME_HEAD.size + length


def _digest(seq: int, body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(_SEQUENCE_NUMBER.pack(seq) + body)
