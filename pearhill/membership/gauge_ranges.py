"""Splits the gauges of a slot table into ranges that each fit one datagram."""

from __future__ import annotations

from typing import NamedTuple

from pearhill.membership.aggregation_messages import MAX_PACKED_GAUGE_BYTES, SLOTS_PER_PART
from pearhill.membership.gauges import pack


class GaugeRange(NamedTuple):
    """Packed gauges of `slot_count` slots from `first_slot` on: all tokens (loads) and the queued ones (waits)."""

    first_slot: int
    slot_count: int
    loads: bytes
    waits: bytes


EMPTY_RANGE = GaugeRange(0, 0, b"\0", b"\0")


def single_range(loads: bytes, waits: bytes, reserved_bytes: int = 0) -> GaugeRange | None:
    """Returns all slots as one range, or None if the packed gauges and `reserved_bytes` do not fit one datagram.

    `loads` and `waits` are codes by slot, of equal length.
    """
    full_range = GaugeRange(0, len(loads), pack(loads), pack(waits))
    if len(full_range.loads) + len(full_range.waits) + reserved_bytes > MAX_PACKED_GAUGE_BYTES:
        return None
    return full_range


def split_into_ranges(loads: bytes, waits: bytes) -> list[GaugeRange]:
    """Returns one range per SLOTS_PER_PART slots; each fits one datagram even uncompressed."""
    return [_range_from(first_slot, loads, waits) for first_slot in range(0, len(loads), SLOTS_PER_PART)]


def _range_from(first_slot: int, loads: bytes, waits: bytes) -> GaugeRange:
    range_loads = loads[first_slot : first_slot + SLOTS_PER_PART]
    range_waits = waits[first_slot : first_slot + SLOTS_PER_PART]
    return GaugeRange(first_slot, len(range_loads), pack(range_loads), pack(range_waits))
