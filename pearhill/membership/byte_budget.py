"""Limits the byte rate between a dispatcher and aggregators: a report waits until earlier bytes are paid for."""

from __future__ import annotations

MAX_BYTES_PER_S = 6000  # both directions together
HEADER_BYTES = 28  # IPv4 and UDP headers of a datagram
MAX_BURST_US = 500_000  # unused time that may be saved up for a burst


class ByteBudget:
    """A budget of MAX_BYTES_PER_S. At `paid_at`, in microseconds, all bytes transferred so far are paid for."""

    def __init__(self, now: int) -> None:
        self.paid_at = now
        self.bytes_in = 0
        self.bytes_out = 0

    def record_sent(self, now: int, size: int) -> None:
        """Counts and pays for an outgoing datagram of `size` bytes."""
        self.bytes_out += size + HEADER_BYTES
        self.pay(now, size)

    def record_received(self, size: int) -> None:
        """Counts an incoming datagram of `size` bytes; the caller pays for it once it is not a replay."""
        self.bytes_in += size + HEADER_BYTES

    def pay(self, now: int, size: int) -> None:
        """Delays the next datagram by the time that one of `size` bytes takes at MAX_BYTES_PER_S."""
        cost = (size + HEADER_BYTES) * 1_000_000 // MAX_BYTES_PER_S
        self.paid_at = max(self.paid_at, now - MAX_BURST_US) + cost
