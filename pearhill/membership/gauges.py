"""Gauges: tokens as a code of one byte on a logarithmic scale, and rows of codes packed into few bytes.

Code 0 is no tokens; codes 1 to 255 grow by some 7% each. They stand for whole numbers, so that sums are exact and what
was added can be subtracted again to the last token.
"""

from __future__ import annotations

import zlib
from bisect import bisect_right

MIN_TOKENS = 16  # of code 1
GROWTH = 1.07  # of a code's tokens over those of the code before it
CODES = 256
TOKENS: tuple[float, ...] = (0.0, *(float(round(MIN_TOKENS * GROWTH**k)) for k in range(CODES - 1)))
# From which tokens on the next code is the nearer one. Even one token is code 1: rounded to none, the work of many
# small requests would vanish.
_BOUNDS = [1.0, *((a * b) ** 0.5 for a, b in zip(TOKENS[1:], TOKENS[2:], strict=False))]

# How a row is packed: its first byte.
RAW = 0
SPARSE = 1
DEFLATED = 2
MIN_DEFLATED_BYTES = 32  # shorter rows do not get shorter
_RAW_DEFLATE = -15  # zlib's window bits: no header
_SET_BITS = [bytes(k for k in range(8) if byte >> k & 1) for byte in range(256)]
_MARKS = b"0" + b"1" * 255


def encode(tokens: float) -> int:
    """The nearest code; beyond the last one, the last."""
    return bisect_right(_BOUNDS, tokens)


def decode(code: int) -> float:
    """The tokens a code stands for."""
    return TOKENS[code]


def pack(codes: bytes) -> bytes:
    """A row of codes as a byte that shows how it is packed, then the codes; or a bitmap of those that are not 0 and
    these alone; or all deflated (RFC 1951), since replicas of a fleet are loaded much alike. Whichever is shortest."""
    if not codes:
        return bytes((RAW,))
    best = bytes((RAW,)) + codes
    non_zero = codes.replace(b"\0", b"")
    bitmap_size = _bitmap_size(len(codes))
    if bitmap_size + len(non_zero) < len(codes):
        # Bit k of the number is slot k: the marks as binary digits, the last slot first.
        bitmap = int(codes.translate(_MARKS)[::-1], 2).to_bytes(bitmap_size, "little")
        best = bytes((SPARSE,)) + bitmap + non_zero
    if len(best) > MIN_DEFLATED_BYTES:
        best = min(best, bytes((DEFLATED,)) + _deflate(codes), key=len)
    return best


def unpack(data: bytes, count: int) -> bytes:
    """The codes of `count` slots. ValueError: it is not what `pack` makes of so many."""
    codes = _unpack(data[:1], data[1:], count)
    if codes is None or len(codes) != count:
        raise ValueError(f"{len(data)} bytes are not {count} packed gauges")
    return codes


def _unpack(how: bytes, packed: bytes, count: int) -> bytes | None:
    """None: they are certainly not packed so."""
    if how == bytes((RAW,)):
        return packed
    if how == bytes((SPARSE,)):
        return _unpack_sparse(packed, count)
    if how == bytes((DEFLATED,)):
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
    """At most one code more than there should be: a datagram can hold a megabyte, deflated."""
    unpacker = zlib.decompressobj(_RAW_DEFLATE)
    try:
        codes = unpacker.decompress(packed, count + 1)
    except zlib.error:
        return None
    if not unpacker.eof or unpacker.unused_data:
        return None
    return codes
