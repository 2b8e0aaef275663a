"""An aggregator over UDP: its beats, its datagrams out, the dispatchers' and the other aggregators' in. Decides
nothing.

No dispatcher's address is kept: all that an aggregator says to one is an answer, and goes where the datagram came
from that it answers. So nobody can have a dispatcher's answers sent elsewhere by what he forges or sends once more.
The other aggregators are where the file says, wherever what is said in their names comes from."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from pearhill.core.deadlines import Deadlines, Key
from pearhill.membership.aggregation_messages import VERSION, AggregationCodec, AggregationMessage
from pearhill.membership.aggregator import AGGREGATOR_TICK_US, Aggregator
from pearhill.net.address import Address
from pearhill.net.datagrams import Datagrams


class Aggregation:
    """`peers`: where the other aggregators listen."""

    def __init__(
        self,
        aggregator: Aggregator,
        codec: AggregationCodec,
        peers: Mapping[str, Address],
        deadlines: Deadlines,
        datagrams: Datagrams,
    ) -> None:
        self.aggregator, self.codec, self.peers, self.deadlines = aggregator, codec, peers, deadlines
        self.datagrams = datagrams
        self._beat_key: Key | None = None
        self.on_tick: Callable[[int], None] = lambda now: None  # told after each, with its time

    def start(self) -> None:
        """Once the socket is open."""
        self.datagrams.receivers[VERSION] = self._take
        self._beat()

    def reconfigure(self, codec: AggregationCodec, peers: Mapping[str, Address]) -> None:
        """Other keys, other peers; what is known of those that stay, stays."""
        self.codec, self.peers = codec, peers
        self.aggregator.reconfigure(peers, self.deadlines.clock())

    def _beat(self) -> None:
        now = self.deadlines.clock()
        self._beat_key = self.deadlines.at(now + AGGREGATOR_TICK_US, self._beat)
        for frame in self.aggregator.tick(now):
            if address := self.peers.get(frame.to):
                self._send(frame, address)
        self.on_tick(now)

    def _take(self, data: bytes, address: Address) -> None:
        frame = self.codec.unpack(data, self.aggregator.name)
        for answer in self.aggregator.receive(self.deadlines.clock(), frame):
            self._send(answer, address)

    def _send(self, frame: AggregationMessage, address: Address) -> None:
        self.datagrams.send(self.codec.pack(frame), address)

    def figures(self) -> dict[str, Any]:
        """What is known here, for operators."""
        return {
            "aggregator": self.aggregator.name,
            **self.aggregator.figures(self.deadlines.clock()),
            "datagrams": dict(self.datagrams.counts),
        }

    def close(self) -> None:
        self.deadlines.cancel(self._beat_key)
        self.datagrams.receivers.pop(VERSION, None)
