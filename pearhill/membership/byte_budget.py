"""A dispatcher's bytes to and from aggregators, held to a rate: new ones wait until the earlier are paid for."""

from __future__ import annotations

MAX_BYTES_PER_S = 6000  # both ways together
HEADER_BYTES = 28  # IPv4 and UDP headers of a datagram
MAX_SAVED_US = 500_000  # of the rate that may be saved up


class ByteBudget:
    """`paid_at`: the time, in microseconds, by which all that was transferred is paid for."""

    def __init__(self, now: int) -> None:
        self.paid_at = now
        self.bytes_in = 0
        self.bytes_out = 0

    def sent(self, now: int, size: int) -> None:
        """A datagram of `size` bytes went out."""
        self.bytes_out += size + HEADER_BYTES
        self.pay(now, size)

    def received(self, size: int) -> None:
        """A datagram of `size` bytes came in; it is paid for only once it is known to be new."""
        self.bytes_in += size + HEADER_BYTES

    def pay(self, now: int, size: int) -> None:
        """Put the next datagram off by the time that one of `size` bytes takes at MAX_BYTES_PER_S."""
        cost = (size + HEADER_BYTES) * 1_000_000 // MAX_BYTES_PER_S
        self.paid_at = max(self.paid_at, now - MAX_SAVED_US) + cost
