"""What a dispatcher in this process knows of the fleet, by gossip or by aggregators."""

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

HEADER_BYTES = 28  # of IP and UDP, counted with each datagram
# Marks: one dispatcher's load at one decode replica, where nobody else has work, says how often it has been read.
# Gossip carries the number whole; aggregators carry a code of the gauge, so that a mark returns after so many.
FIRST_GOSSIP_MARK = 1_000_000  # tokens
FIRST_MARK_CODE = 170
MARK_CODES = 72
NO_MARK = -1


def counted_dispatchers(service: ChatService, now: int) -> int | None:
    """Dispatchers that share the work, as far as this one knows. None: it knows nothing yet."""
    return service.fleet.sources.count(now) if service.fleet else None


def datagram_totals(service: ChatService) -> Counter[str]:
    """Messages and bytes at this dispatcher's fleet socket since its start."""
    return messages_and_bytes(service.fleet.datagrams.counts) if service.fleet else Counter()


def messages_and_bytes(counts: Mapping[str, int]) -> Counter[str]:
    """A datagram driver's counts as messages and bytes in each direction, headers included."""
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
    """Tokens in flight at these replicas, own and others', as a choice at this dispatcher would estimate them."""
    router = service.node.dispatcher.router
    total = 0.0
    for replica_id in replica_ids:
        replica = router.router.replicas.get(replica_id)
        if not replica:
            continue
        others = 0.0
        if router.peers:
            _, others, _ = router.peers.estimate_peer_load(
                now, replica_id, replica.tokens_queued, replica.tokens_in_flight
            )
        total += replica.tokens_in_flight + others
    return total


def marked_replica(service: ChatService) -> ReplicaState | None:
    """The decode replica at which marks are left: the same one at all dispatchers that have the same list."""
    return next(iter(service.node.dispatcher.router.router.ready[Role.DECODE]), None)


def leave_mark(service: ChatService, number: int) -> None:
    """Have this dispatcher's load at the marked replica stand for this number."""
    replica = marked_replica(service)
    if replica is None or not service.fleet:
        return
    if service.fleet.gossip:
        replica.tokens_in_flight = FIRST_GOSSIP_MARK + number
    else:
        replica.tokens_in_flight = int(TOKENS[FIRST_MARK_CODE + number % MARK_CODES])


def read_mark(service: ChatService, now: int, marker: str) -> int:
    """The last number that is known here of the dispatcher `marker`; with aggregators, its remainder by `MARK_CODES`.

    `NO_MARK`: none is known.
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


def mark_ages(read_at: list[int], sightings: Iterable[tuple[int, int]], is_whole: bool) -> list[int]:
    """Microseconds from the reading of the marker's load until each sighting of it at another dispatcher.

    `read_at`: when the load was read, by number. `sightings`: a moment, and the number that was seen; where not
    `is_whole`, its remainder by `MARK_CODES`, and the latest number that can be meant counts. Sightings of no mark are
    left out.
    """
    ages = []
    for at, number in sightings:
        last = bisect_right(read_at, at) - 1
        if not is_whole and number >= 0 and last >= 0:
            number = last - (last - number) % MARK_CODES
        if 0 <= number <= last:
            ages.append(at - read_at[number])
    return ages


class CutTransport:
    """A datagram socket that sends nothing to the addresses that are cut off."""

    def __init__(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport
        self.cut_off: set[Address] = set()

    def sendto(self, data: bytes, address: Address) -> None:
        """Send, or drop what goes to an address that is cut off."""
        if address not in self.cut_off:
            self._transport.sendto(data, address)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


def cut_off(service: ChatService, addresses: set[Address]) -> None:
    """From now on send to all but these addresses. A cut in both directions needs both sides."""
    datagrams = service.fleet.datagrams if service.fleet else None
    if datagrams is None or datagrams._transport is None:
        return
    if not isinstance(datagrams._transport, CutTransport):
        datagrams._transport = cast(asyncio.DatagramTransport, CutTransport(datagrams._transport))
    cast(CutTransport, datagrams._transport).cut_off = addresses
