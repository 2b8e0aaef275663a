"""An aggregator over UDP: the ticks of one Aggregator, its datagrams out, those of dispatchers and of other aggregators
in. Decides nothing.

No dispatcher's address is kept: all that an aggregator sends to one is an answer, and goes where the datagram that it
answers came from. So nobody can have a dispatcher's answers sent elsewhere by forged or replayed datagrams. The other
aggregators are where the file has them, wherever datagrams in their names come from.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from pearhill.core.deadlines import Deadlines, TimerKey
from pearhill.membership.aggregation_messages import VERSION, AggregationCodec, AggregationMessage
from pearhill.membership.aggregator import AGGREGATOR_TICK_US, Aggregator
from pearhill.net.address import Address
from pearhill.net.datagrams import Datagrams


class Aggregation:
    """Drives `aggregator`. `peers`: where the other aggregators listen, by name."""

    def __init__(
        self,
        aggregator: Aggregator,
        codec: AggregationCodec,
        peers: Mapping[str, Address],
        deadlines: Deadlines,
        datagrams: Datagrams,
    ) -> None:
        self.aggregator = aggregator
        self.codec = codec
        self.peers = peers
        self.deadlines = deadlines
        self.datagrams = datagrams
        self.on_tick: Callable[[int], None] = lambda now: None  # called after each tick, with its time
        self._tick_key: TimerKey | None = None

    def start(self) -> None:
        """Begin to tick and to receive, once the socket is open."""
        self.datagrams.receivers[VERSION] = self._receive
        self._tick()

    def reconfigure(self, codec: AggregationCodec, peers: Mapping[str, Address]) -> None:
        """Use other keys and other peers; what is known of those that stay, stays."""
        self.codec = codec
        self.peers = peers
        self.aggregator.reconfigure(peers, self.deadlines.clock())

    def _tick(self) -> None:
        now = self.deadlines.clock()
        self._tick_key = self.deadlines.schedule_at(now + AGGREGATOR_TICK_US, self._tick)
        for message in self.aggregator.tick(now):
            address = self.peers.get(message.to)
            if address:
                self._send(message, address)
        self.on_tick(now)

    def _receive(self, data: bytes, address: Address) -> None:
        message = self.codec.unpack(data, self.aggregator.name)
        for answer in self.aggregator.receive(self.deadlines.clock(), message):
            self._send(answer, address)

    def _send(self, message: AggregationMessage, address: Address) -> None:
        self.datagrams.send(self.codec.pack(message), address)

    def figures(self) -> dict[str, Any]:
        """What is known here, for operators."""
        return {
            "aggregator": self.aggregator.name,
            **self.aggregator.figures(self.deadlines.clock()),
            "datagrams": dict(self.datagrams.counts),
        }

    def close(self) -> None:
        """Neither tick nor receive any more."""
        self.deadlines.cancel(self._tick_key)
        self.datagrams.receivers.pop(VERSION, None)
