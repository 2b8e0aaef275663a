"""Reads what a dispatcher in this process has received about the fleet, by gossip or from aggregators.

It also writes and reads marks, which measure the age of that data, and cuts off addresses for network partitions.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, cast

from pearhill.chat.service import ChatService
from pearhill.membership.gauges import TOKENS, encode
from pearhill.net.address import Address
from pearhill.routing.replica_state import ReplicaState
from pearhill.routing.topology import Role

HEADER_BYTES = 28  # IP and UDP headers, which are counted for each datagram
# Marks measure the age of load data: one dispatcher writes into its load at one decode replica how often its load has
# been read. No other dispatcher has work there. Gossip transmits the number exactly. Aggregators transmit a code of the
# gauge, so that marks repeat after `MARK_CODES`.
FIRST_GOSSIP_MARK = 1_000_000  # tokens
FIRST_MARK_CODE = 170
MARK_CODES = 72
NO_MARK = -1


def counted_dispatchers(service: ChatService, now: int) -> int | None:
    """Returns how many dispatchers this one counts in the fleet, or None if it has no count yet."""
    return service.fleet.sources.count(now) if service.fleet else None


def datagram_totals(service: ChatService) -> Counter[str]:
    """Returns messages and bytes at this dispatcher's fleet socket since its start."""
    return messages_and_bytes(service.fleet.datagrams.counts) if service.fleet else Counter()


def messages_and_bytes(counts: Mapping[str, int]) -> Counter[str]:
    """Returns the counts of a datagram driver as messages and bytes per direction, including headers."""
    received = counts.get("received", 0)
    sent = counts.get("sent", 0)
    return Counter(
        {
            "messages_in": received,
            "messages_out": sent,
            "bytes_in": counts.get("bytes_in", 0) + HEADER_BYTES * received,
            "bytes_out": counts.get("bytes_out", 0) + HEADER_BYTES * sent,
        }
    )


def estimated_tokens(service: ChatService, now: int, replica_ids: list[int]) -> float:
    """Returns the tokens in flight at these replicas, as this dispatcher estimates them when it chooses a replica.

    They include its own tokens and those of its peers.
    """
    router = service.node.dispatcher.router
    total = 0.0
    for replica_id in replica_ids:
        replica = router.router.replicas.get(replica_id)
        if not replica:
            continue
        peer_tokens = 0.0
        if router.peers:
            _, peer_tokens, _ = router.peers.estimate_peer_load(
                now, replica_id, replica.tokens_queued, replica.tokens_in_flight
            )
        total += replica.tokens_in_flight + peer_tokens
    return total


def marked_replica(service: ChatService) -> ReplicaState | None:
    """Returns the decode replica of the marks, or None. It is the same at all dispatchers with the same list."""
    return next(iter(service.node.dispatcher.router.router.ready[Role.DECODE]), None)


def write_mark(service: ChatService, number: int) -> None:
    """Encode `number` in this dispatcher's load at the marked replica."""
    replica = marked_replica(service)
    if replica is None or not service.fleet:
        return
    if service.fleet.gossip:
        replica.tokens_in_flight = FIRST_GOSSIP_MARK + number
    else:
        replica.tokens_in_flight = int(TOKENS[FIRST_MARK_CODE + number % MARK_CODES])


def read_mark(service: ChatService, now: int, marker: str) -> int:
    """Returns the last number that was received from the dispatcher `marker`, or `NO_MARK` if there is none.

    With aggregators, it is the remainder of the number modulo `MARK_CODES`.
    """
    replica = marked_replica(service)
    fleet = service.fleet
    if replica is None or fleet is None:
        return NO_MARK
    if fleet.gossip:
        row = fleet.gossip.protocol.peer_loads.latest_load(marker, replica.id)
        return row.total_tokens - FIRST_GOSSIP_MARK if row else NO_MARK
    assert fleet.reporting
    peer_load = fleet.reporting.reporter.peer_load(now, replica.id)
    return max(NO_MARK, encode(peer_load.total_tokens) - FIRST_MARK_CODE) if peer_load else NO_MARK


def mark_ages(read_at: list[int], observations: Iterable[tuple[int, int]], is_exact: bool) -> list[int]:
    """Returns the microseconds from each reading of the marker's load until its observation at another dispatcher.

    `read_at` lists when the load was read, by number. An observation is a time and the number that was read. If not
    `is_exact`, the number is a remainder modulo `MARK_CODES`, and stands for the latest number with this remainder.
    Observations without a mark are left out.
    """
    ages = []
    for at, number in observations:
        last = bisect_right(read_at, at) - 1
        if not is_exact and number >= 0 and last >= 0:
            number = last - (last - number) % MARK_CODES
        if 0 <= number <= last:
            ages.append(at - read_at[number])
    return ages


class CutTransport:
    """A datagram transport that drops datagrams to the addresses in `cut_off`."""

    def __init__(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport
        self.cut_off: set[Address] = set()

    def sendto(self, data: bytes, address: Address) -> None:
        """Send a datagram, or drop it if its destination is cut off."""
        if address not in self.cut_off:
            self._transport.sendto(data, address)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


def cut_off(service: ChatService, addresses: set[Address]) -> None:
    """Drop all datagrams to these addresses from now on. A cut in both directions has to be made at both sides."""
    datagrams = service.fleet.datagrams if service.fleet else None
    if datagrams is None or datagrams._transport is None:
        return
    if not isinstance(datagrams._transport, CutTransport):
        datagrams._transport = cast(asyncio.DatagramTransport, CutTransport(datagrams._transport))
    cast(CutTransport, datagrams._transport).cut_off = addresses
