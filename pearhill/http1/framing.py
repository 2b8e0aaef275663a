"""Limits the bytes of a message outside its body: its head, the extensions of its chunks, its trailers."""

from __future__ import annotations

MAX_FRAMING_BYTES = 32 * 1024
# What each chunk needs beside its data: its size in up to 16 hexadecimal digits, and two line ends (RFC 9112, 7.1).
CHUNK_FRAMING_BYTES = 20


class FramingMeter:
    """Counts these bytes from read to read, less `chunk_allowance` bytes for each chunk with data: there may be any
    number of chunks, and a parser keeps none of their framing. So only what is endless exceeds the limit.

    Call `begin_read`, then `add_body` and `add_chunk` for what the parser reports, and `end_read`.
    """

    def __init__(self, chunk_allowance: int) -> None:
        self.framing_bytes = 0
        self._chunk_allowance = chunk_allowance
        self._read_bytes = 0  # of the present read, outside the body
        self._chunks = 0  # that the present read has completed

    def start_message(self) -> None:
        """Begin to count anew. Bytes of the present read do not count: some of them belong to the message before."""
        self.framing_bytes = 0
        self._read_bytes = 0
        self._chunks = 0

    def begin_read(self, size: int) -> None:
        """Start a read of `size` bytes."""
        self._read_bytes = size
        self._chunks = 0

    def add_body(self, size: int) -> None:
        """Record that `size` bytes of the present read belong to the body."""
        self._read_bytes -= size

    def add_chunk(self) -> None:
        """Record that a chunk with data has ended in the present read."""
        self._chunks += 1

    def end_read(self) -> bool:
        """End the read. Returns whether the message is within the limit."""
        framing_bytes = max(0, self._read_bytes) - self._chunks * self._chunk_allowance
        self.framing_bytes = max(0, self.framing_bytes + framing_bytes)
        return self.framing_bytes <= MAX_FRAMING_BYTES
