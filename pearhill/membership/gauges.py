"""Gauges: token counts as one-byte codes on a logarithmic scale, and rows of codes packed into few bytes.

Code 0 stands for no tokens; each of the codes 1 to 255 stands for about 7% more than the one before. All of them stand
for whole numbers, so that sums are exact and subtracting a gauge removes exactly the tokens that it added.
"""

from __future__ import annotations

import zlib
from bisect import bisect_right

MIN_TOKENS = 16  # of code 1
GROWTH = 1.07  # ratio between the tokens of adjacent codes
CODES = 256
TOKENS: tuple[float, ...] = (0.0, *(float(round(MIN_TOKENS * GROWTH**k)) for k in range(CODES - 1)))
# Token counts from which on the next code is the nearer one. A single token already gets code 1: rounded down to 0, the
# work of many small requests would vanish.
_BOUNDS = [1.0, *((a * b) ** 0.5 for a, b in zip(TOKENS[1:], TOKENS[2:], strict=False))]

# First byte of a packed row, which says how the row is packed.
RAW = 0
SPARSE = 1
DEFLATED = 2
MIN_DEFLATED_BYTES = 32  # shorter rows do not shrink when deflated
_RAW_DEFLATE = -15  # zlib's window bits for a stream without a header
_SET_BITS = [bytes(k for k in range(8) if byte >> k & 1) for byte in range(256)]
_MARKS = b"0" + b"1" * 255


def encode(tokens: float) -> int:
    """Returns the nearest code; token counts beyond the last code get the last code."""
    return bisect_right(_BOUNDS, tokens)


def decode(code: int) -> float:
    """Returns the tokens that a code stands for."""
    return TOKENS[code]


def pack(codes: bytes) -> bytes:
    """Packs a row of codes in the shortest of three ways, which the first byte names.

    RAW: the codes themselves. SPARSE: a bitmap of the codes other than 0, then these codes. DEFLATED: all codes,
    deflated (RFC 1951), which is effective because the replicas of a fleet have similar loads.
    """
    if not codes:
        return bytes((RAW,))
    best = bytes((RAW,)) + codes
    non_zero = codes.replace(b"\0", b"")
    bitmap_size = _bitmap_size(len(codes))
    if bitmap_size + len(non_zero) < len(codes):
        # Bit k of the bitmap stands for slot k, so the last slot is the first binary digit.
        bitmap = int(codes.translate(_MARKS)[::-1], 2).to_bytes(bitmap_size, "little")
        best = bytes((SPARSE,)) + bitmap + non_zero
    if len(best) > MIN_DEFLATED_BYTES:
        best = min(best, bytes((DEFLATED,)) + _deflate(codes), key=len)
    return best


def unpack(data: bytes, count: int) -> bytes:
    """Returns the codes of `count` slots. Raises ValueError if `data` is not that many packed codes."""
    codes = _unpack(data[:1], data[1:], count)
    if codes is None or len(codes) != count:
        raise ValueError(f"{len(data)} bytes are not {count} packed gauges")
    return codes


def _unpack(packing: bytes, packed: bytes, count: int) -> bytes | None:
    """Returns the codes, whose number the caller checks, or None if they are not packed in the given way."""
    if packing == bytes((RAW,)):
        return packed
    if packing == bytes((SPARSE,)):
        return _unpack_sparse(packed, count)
    if packing == bytes((DEFLATED,)):
        return _inflate(packed, count)
    return None


def _bitmap_size(count: int) -> int:
    return -(-count // 8)


def _unpack_sparse(packed: bytes, count: int) -> bytes | None:
    size = _bitmap_size(count)
    bits = int.from_bytes(packed[:size], "little")
    if len(packed) < size or bits.bit_count() != len(packed) - size or bits >> count:
        return None
    codes = bytearray(count)
    position = size
    for index, byte in enumerate(packed[:size]):
        for bit in _SET_BITS[byte]:
            codes[8 * index + bit] = packed[position]
            position += 1
    return bytes(codes)


def _deflate(codes: bytes) -> bytes:
    packer = zlib.compressobj(1, zlib.DEFLATED, _RAW_DEFLATE)
    return packer.compress(codes) + packer.flush()


def _inflate(packed: bytes, count: int) -> bytes | None:
    """Returns at most `count` + 1 codes, or None if they are malformed.

    The limit is needed because a datagram can contain a megabyte of deflated codes.
    """
    unpacker = zlib.decompressobj(_RAW_DEFLATE)
    try:
        codes = unpacker.decompress(packed, count + 1)
    except zlib.error:
        return None
    if not unpacker.eof or unpacker.unused_data:
        return None
    return codes
