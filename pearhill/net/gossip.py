"""Gossip over UDP: runs the ticks of one GossipProtocol, and carries its datagrams. It makes no decisions itself."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from pearhill.core.deadlines import Deadlines, TimerKey
from pearhill.membership.gossip import GossipMessage, GossipProtocol
from pearhill.membership.gossip_messages import VERSION, GossipCodec
from pearhill.membership.members import GOSSIP_TICK_US
from pearhill.net.address import Address
from pearhill.net.datagrams import Datagrams


class Gossip:
    """Drives `protocol`. `peers` has the addresses of the other dispatchers by name."""

    def __init__(
        self,
        protocol: GossipProtocol,
        codec: GossipCodec,
        peers: Mapping[str, Address],
        deadlines: Deadlines,
        datagrams: Datagrams,
    ) -> None:
        self.protocol = protocol
        self.codec = codec
        self.peers = peers
        self.deadlines = deadlines
        self.datagrams = datagrams
        self.on_count_change: Callable[[], None] = lambda: None  # called when the number of dispatchers changes
        self._tick_timer: TimerKey | None = None
        self._count = 0

    def start(self) -> None:
        """Start ticking and receiving. The socket must be open."""
        self.datagrams.receivers[VERSION] = self._receive
        self._tick()

    def reconfigure(self, codec: GossipCodec, peers: Mapping[str, Address]) -> None:
        """Replace the keys and peers. State about the peers that remain is retained."""
        self.codec = codec
        self.peers = peers
        self.protocol.reconfigure(peers, self.deadlines.clock())

    def _tick(self) -> None:
        now = self.deadlines.clock()
        self._tick_timer = self.deadlines.schedule_at(now + GOSSIP_TICK_US, self._tick)
        self._send(self.protocol.tick(now))
        count = self.protocol.count(now)
        if count != self._count:
            self._count = count
            self.on_count_change()

    def _receive(self, data: bytes, address: Address) -> None:
        message = self.codec.unpack(data, self.protocol.members.name)
        self._send(self.protocol.receive(self.deadlines.clock(), message))

    def _send(self, messages: list[GossipMessage]) -> None:
        for message in messages:
            address = self.peers.get(message.payload.to)
            if address:
                self.datagrams.send(self.codec.pack(message), address)

    def close(self) -> None:
        """Stop ticking and receiving."""
        self.deadlines.cancel(self._tick_timer)
        self.datagrams.receivers.pop(VERSION, None)
