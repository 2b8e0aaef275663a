"""Tokens as one byte each, on a logarithmic scale, and rows of such bytes as short as they may be.

Code 0 is no tokens; codes 1 to 255 grow by some 7% each. Whole numbers, so that sums of them are exact and what was
added comes off again to the last token.
"""

from __future__ import annotations

from bisect import bisect_right

LEAST, STEP, CODES = 16, 1.07, 256  # tokens of code 1; of each code to the one before it
TOKENS: tuple[float, ...] = (0.0, *(float(round(LEAST * STEP ** k)) for k in range(CODES - 1)))
# Where the next code is the nearer one. Danger: rounded to none, the work of many small requests would vanish.
_BOUNDS = [1.0, *((a * b) ** 0.5 for a, b in zip(TOKENS[1:], TOKENS[2:], strict=False))]
RAW, SPARSE = 0, 1
_BITS = [bytes(k for k in range(8) if byte >> k & 1) for byte in range(256)]


def encode(tokens: float) -> int:
    """The nearest code; beyond the last one, the last."""
    return bisect_right(_BOUNDS, tokens)


def decode(code: int) -> float:
    return TOKENS[code]


def pack(codes: bytes) -> bytes:
    """A byte of mode; then the codes, or a bitmap of those that are not 0 and they alone, whichever is shorter."""
    dense = codes.replace(b"\0", b"")
    if -(-len(codes) // 8) + len(dense) >= len(codes):
        return bytes((RAW,)) + codes
    marks = codes.translate(_MARKS)
    # Bit k of the number is slot k: the marks as binary digits, the last slot first.
    bitmap = int(marks[::-1], 2).to_bytes(-(-len(codes) // 8), "little")
    return bytes((SPARSE,)) + bitmap + dense


_MARKS = b"0" + b"1" * 255


def fits(data: bytes, n: int) -> bool:
    """Whether `unpack` would take it, at a fraction of the cost."""
    if not data or data[0] not in (RAW, SPARSE):
        return False
    if data[0] == RAW:
        return len(data) == n + 1
    size = -(-n // 8)
    bits = int.from_bytes(data[1:size + 1], "little")
    return (len(data) >= size + 1 and bits.bit_count() == len(data) - size - 1 and bits >> n == 0
            and 0 not in data[size + 1:])


def unpack(data: bytes, n: int) -> bytes:
    """The codes of `n` slots. ValueError: it is not what `pack` makes of so many."""
    if not fits(data, n):
        raise ValueError(f"{len(data)} bytes are not {n} packed gauges")
    if data[0] == RAW:
        return data[1:]
    size = -(-n // 8)
    codes, at = bytearray(n), size + 1
    for k, byte in enumerate(data[1:size + 1]):
        for bit in _BITS[byte]:
            codes[8 * k + bit] = data[at]
            at += 1
    return bytes(codes)
