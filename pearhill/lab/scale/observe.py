"""What a dispatcher knows of the fleet, whichever way it learns it: for a choice, for operators, for this run."""

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

HEADERS = 28  # bytes of IP and UDP round each datagram, counted with it
# Marks: one dispatcher's gauge at one writer, where nobody else has work, says how often it was read. Talk carries it
# whole; aggregators in steps of one code, so that it comes round again after so many.
TALK_MARK, FIRST_CODE, CODES = 1_000_000, 170, 72


def count(service: ChatService, now: int) -> int | None:
    """Dispatchers that share the work, as far as this one knows. None: it knows nothing yet."""
    return service.fleet.sources.count(now) if service.fleet else None


def counters(service: ChatService) -> Counter[str]:
    """Datagrams and their bytes at this dispatcher's socket, since its start."""
    return datagrams(service.fleet.datagrams.counts) if service.fleet else Counter()


def datagrams(counts: Mapping[str, int]) -> Counter[str]:
    """A driver's own counts as messages and bytes each way, headers among them."""
    came, sent = counts.get("received", 0), counts.get("sent", 0)
    return Counter(
        {
            "messages_in": came,
            "messages_out": sent,
            "bytes_in": counts.get("bytes_in", 0) + HEADERS * came,
            "bytes_out": counts.get("bytes_out", 0) + HEADERS * sent,
        }
    )


def seen(service: ChatService, now: int, engines: list[int]) -> float:
    """Tokens under way at these engines in all, as a choice here would reckon them."""
    scout = service.node.dispatcher.router
    total = 0.0
    for number in engines:
        if engine := scout.router.replicas.get(number):
            total += engine.tokens_in_flight + (
                scout.peers.others(now, number, engine.tokens_queued, engine.tokens_in_flight)[1] if scout.peers else 0
            )
    return total


def marked(service: ChatService) -> ReplicaState | None:
    """The writer at which one dispatcher leaves its marks: the same one at all that have the same list."""
    return next(iter(service.node.dispatcher.router.router.ready[Role.DECODE]), None)


def mark(service: ChatService, number: int) -> None:
    """Have the gauge at the marked writer say this number, from now on."""
    if (engine := marked(service)) and service.fleet:
        engine.tokens_in_flight = (
            TALK_MARK + number if service.fleet.gossip else int(TOKENS[FIRST_CODE + number % CODES])
        )


def read_mark(service: ChatService, now: int, marker: str) -> int:
    """The number that a choice here would stand on now, or what is left of it (aggregators). -1: none."""
    engine, fleet = marked(service), service.fleet
    if engine is None or fleet is None:
        return -1
    if fleet.gossip:
        row = fleet.gossip.protocol.peer_loads.last_row(marker, engine.id)
        return row.total_tokens - TALK_MARK if row else -1
    assert fleet.reporting
    theirs = fleet.reporting.reporter.peer_load(now, engine.id)
    return max(-1, encode(theirs.total_tokens) - FIRST_CODE) if theirs else -1


def mark_ages(read_at: list[int], seen: Iterable[tuple[int, int]], talk: bool) -> list[int]:
    """Microseconds from when the marker's gauge was read (`read_at`, by number) until it was seen elsewhere: `seen` are
    moments and numbers, or what is left of them."""
    ages = []
    for at, number in seen:
        last = bisect_right(read_at, at) - 1
        if not talk and number >= 0 and last >= 0:
            number = last - (last - number) % CODES
        if 0 <= number <= last:
            ages.append(at - read_at[number])
    return ages


class CutTransport:
    """A socket past which nothing goes to some addresses."""

    def __init__(self, real: asyncio.DatagramTransport) -> None:
        self.real, self.far = real, set[Address]()

    def sendto(self, data: bytes, address: Address) -> None:
        if address not in self.far:
            self.real.sendto(data, address)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


def cut(service: ChatService, far: set[Address]) -> None:
    """From now on nothing goes to these; none: everything goes. A cut needs both sides."""
    datagrams = service.fleet.datagrams if service.fleet else None
    if datagrams is None or datagrams._transport is None:
        return
    if not isinstance(datagrams._transport, CutTransport):
        datagrams._transport = cast(asyncio.DatagramTransport, CutTransport(datagrams._transport))
    cast(CutTransport, datagrams._transport).far = far
