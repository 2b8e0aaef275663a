"""The dispatchers' talk over UDP: the beats of one Council, its datagrams out, theirs in. Decides nothing."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, cast

from loguru import logger

from pearhill.core.deadlines import Deadlines, Key
from pearhill.membership.council import Council, Message
from pearhill.membership.datagram import Codec, Rejected
from pearhill.membership.members import BEAT
from pearhill.net.address import Address
from pearhill.spread.evenness import evenness

if TYPE_CHECKING:
    from pearhill.node import Node

TOLD_EVERY = 10_000_000  # one line for datagrams that were not taken


class Talk(asyncio.DatagramProtocol):
    def __init__(self, council: Council, codec: Codec, peers: Mapping[str, Address], deadlines: Deadlines) -> None:
        self.council, self.codec, self.peers, self.deadlines = council, codec, peers, deadlines
        self.transport: asyncio.DatagramTransport | None = None
        self.counts: Counter[str] = Counter()
        self._beat_key: Key | None = None
        self._count, self._told_at = 0, 0
        self.on_count: Callable[[int], None] = lambda count: None  # told how many dispatchers share the work

    async def open(self, address: Address) -> Address:
        """OSError: the address cannot be used."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        assert self.transport
        host, port = self.transport.get_extra_info("sockname")[:2]
        self._beat()
        return host, port

    def reconfigure(self, codec: Codec, peers: Mapping[str, Address]) -> None:
        """Other keys, other peers; what is known of those that stay, stays."""
        self.codec, self.peers = codec, peers
        self.council.reconfigure(peers, self.deadlines.clock())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # uvloop has one of its own

    def _beat(self) -> None:
        now = self.deadlines.clock()
        self._beat_key = self.deadlines.at(now + BEAT, self._beat)
        self._send(self.council.beat(now))
        if (count := self.council.count(now)) != self._count:
            logger.info("fleet: {count} dispatchers share the work, {there} of them are heard of", count=count,
                        there=len(self.council.members.there()))
            self._count = count
            self.on_count(count)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        now = self.deadlines.clock()
        try:
            message = self.codec.unpack(data, self.council.members.me)
        except Rejected as e:
            self.counts[f"rejected {e}"] += 1
            if now - self._told_at > TOLD_EVERY:  # Danger: whoever floods the port would fill the log as well
                self._told_at = now
                logger.warning("fleet: a datagram from {peer} is not taken: reason={reason}",
                               peer="{}:{}".format(*addr[:2]), reason=str(e))
            return
        self.counts["taken"] += 1
        self._send(self.council.heard(now, message))

    def error_received(self, exc: Exception) -> None:
        self.counts[f"unsent {type(exc).__name__}"] += 1  # a peer's port is closed: its silence tells the same

    def _send(self, messages: list[Message]) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        for message in messages:
            if address := self.peers.get(message.say.to):
                self.transport.sendto(self.codec.pack(message), address)
                self.counts["sent"] += 1

    def told(self, node: Node) -> dict[str, Any]:
        """What is known here of the fleet, for operators."""
        now, council = self.deadlines.clock(), self.council
        engines, total, scout = list[dict[str, Any]](), dict[str, float](), node.dispatcher.router
        for engine, (waiting, load, avoided) in scout.figures(now).items():
            theirs = council.others(now, engine, waiting, load)
            address = "{}:{}".format(*node.backend.addresses.get(engine, ("", 0)))
            total[address] = load + theirs[1]
            engines.append({"address": address, "avoided": avoided,
                            "mine": {"waiting": waiting, "load": load},
                            "others": {"waiting": round(theirs[0]), "load": round(theirs[1]),
                                       "sure": round(theirs[2], 3)}})
        even = evenness(total)
        return {"name": council.members.me, "count": council.count(now),
                "members": {name: {"state": m.state, "incarnation": m.incarnation, "for_s": (now - m.since) / 1e6}
                            for name, m in council.members.members.items()},
                "engines": engines, "datagrams": dict(self.counts),
                "evenness": {"peak_over_mean": round(even.peak, 3), "gini": round(even.gini, 3),
                             "idle": list(even.idle)}}

    def close(self) -> None:
        self.deadlines.cancel(self._beat_key)
        if self.transport:
            self.transport.close()
