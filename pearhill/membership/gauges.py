"""Tokens as one byte each, on a logarithmic scale, and rows of such bytes as short as they may be.

Code 0 is no tokens; codes 1 to 255 grow by some 7% each. Whole numbers, so that sums of them are exact and what was
added comes off again to the last token.
"""

from __future__ import annotations

import zlib
from bisect import bisect_right

LEAST, STEP, CODES = 16, 1.07, 256  # tokens of code 1; of each code to the one before it
TOKENS: tuple[float, ...] = (0.0, *(float(round(LEAST * STEP**k)) for k in range(CODES - 1)))
# Where the next code is the nearer one. Danger: rounded to none, the work of many small requests would vanish.
_BOUNDS = [1.0, *((a * b) ** 0.5 for a, b in zip(TOKENS[1:], TOKENS[2:], strict=False))]
RAW, SPARSE, DEFLATED = 0, 1, 2
_BITS = [bytes(k for k in range(8) if byte >> k & 1) for byte in range(256)]
_MARKS = b"0" + b"1" * 255


def encode(tokens: float) -> int:
    """The nearest code; beyond the last one, the last."""
    return bisect_right(_BOUNDS, tokens)


def decode(code: int) -> float:
    return TOKENS[code]


def pack(codes: bytes) -> bytes:
    """A byte of mode, then the codes; or a bitmap of those that are not 0 and they alone; or deflated (RFC 1951), since
    the engines of a fleet are loaded much alike. Whichever is shortest."""
    if not codes:
        return bytes((RAW,))
    dense = codes.replace(b"\0", b"")
    best = bytes((RAW,)) + codes
    if -(-len(codes) // 8) + len(dense) < len(codes):
        # Bit k of the number is slot k: the marks as binary digits, the last slot first.
        bitmap = int(codes.translate(_MARKS)[::-1], 2).to_bytes(-(-len(codes) // 8), "little")
        best = bytes((SPARSE,)) + bitmap + dense
    if len(best) > 32:
        packer = zlib.compressobj(1, zlib.DEFLATED, -15)
        deflated = bytes((DEFLATED,)) + packer.compress(codes) + packer.flush()
        best = min(best, deflated, key=len)
    return best


def unpack(data: bytes, n: int) -> bytes:
    """The codes of `n` slots. ValueError: it is not what `pack` makes of so many."""
    codes: bytes | None = None
    if data[:1] == bytes((RAW,)):
        codes = data[1:]
    elif data[:1] == bytes((SPARSE,)):
        codes = _spread(data[1:], n)
    elif data[:1] == bytes((DEFLATED,)):
        # Danger: a datagram can hold a megabyte, deflated.
        unpacker = zlib.decompressobj(-15)
        try:
            codes = unpacker.decompress(data[1:], n + 1)
        except zlib.error:
            codes = None
        if not unpacker.eof or unpacker.unused_data:
            codes = None
    if codes is None or len(codes) != n:
        raise ValueError(f"{len(data)} bytes are not {n} packed gauges")
    return codes


def _spread(data: bytes, n: int) -> bytes | None:
    size = -(-n // 8)
    bits = int.from_bytes(data[:size], "little")
    if len(data) < size or bits.bit_count() != len(data) - size or bits >> n:
        return None
    codes, at = bytearray(n), size
    for k, byte in enumerate(data[:size]):
        for bit in _BITS[byte]:
            codes[8 * k + bit] = data[at]
            at += 1
    return bytes(codes)
