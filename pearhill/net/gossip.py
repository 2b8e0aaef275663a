"""The dispatchers' talk over UDP: the beats of one Council, its datagrams out, theirs in. Decides nothing."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from pearhill.core.deadlines import Deadlines, Key
from pearhill.membership.gossip import GossipMessage, GossipProtocol
from pearhill.membership.gossip_messages import VERSION, GossipCodec
from pearhill.membership.members import GOSSIP_TICK_US
from pearhill.net.address import Address
from pearhill.net.datagrams import Datagrams


class Gossip:
    def __init__(
        self,
        protocol: GossipProtocol,
        codec: GossipCodec,
        peers: Mapping[str, Address],
        deadlines: Deadlines,
        datagrams: Datagrams,
    ) -> None:
        self.protocol, self.codec, self.peers, self.deadlines = protocol, codec, peers, deadlines
        self.datagrams = datagrams
        self._beat_key: Key | None = None
        self._count = 0
        self.on_count: Callable[[], None] = lambda: None  # told when another count of dispatchers shares the work

    def start(self) -> None:
        """Once the socket is open."""
        self.datagrams.receivers[VERSION] = self._take
        self._beat()

    def reconfigure(self, codec: GossipCodec, peers: Mapping[str, Address]) -> None:
        """Other keys, other peers; what is known of those that stay, stays."""
        self.codec, self.peers = codec, peers
        self.protocol.reconfigure(peers, self.deadlines.clock())

    def _beat(self) -> None:
        now = self.deadlines.clock()
        self._beat_key = self.deadlines.at(now + GOSSIP_TICK_US, self._beat)
        self._send(self.protocol.tick(now))
        if (count := self.protocol.count(now)) != self._count:
            self._count = count
            self.on_count()

    def _take(self, data: bytes, address: Address) -> None:
        message = self.codec.unpack(data, self.protocol.members.name)
        self._send(self.protocol.receive(self.deadlines.clock(), message))

    def _send(self, messages: list[GossipMessage]) -> None:
        for message in messages:
            if address := self.peers.get(message.payload.to):
                self.datagrams.send(self.codec.pack(message), address)

    def close(self) -> None:
        self.deadlines.cancel(self._beat_key)
        self.datagrams.receivers.pop(VERSION, None)
