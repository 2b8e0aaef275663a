"""An aggregator over UDP: runs the ticks of one Aggregator, sends its datagrams, and passes it the datagrams of
dispatchers and other aggregators. It makes no decisions itself.

Dispatchers' addresses are not stored. Everything that an aggregator sends to a dispatcher is an answer, and is sent to
the source address of the datagram that it answers. Forged or replayed datagrams therefore cannot redirect the answers
to a dispatcher. Other aggregators are sent to at their configured addresses, whatever the source address of datagrams
in their names.
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
    """Drives `aggregator`. `peers` has the addresses of the other aggregators by name."""

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
        self._tick_timer: TimerKey | None = None

    def start(self) -> None:
        """Start ticking and receiving. The socket must be open."""
        self.datagrams.receivers[VERSION] = self._receive
        self._tick()

    def reconfigure(self, codec: AggregationCodec, peers: Mapping[str, Address]) -> None:
        """Replace the keys and peers. State about the peers that remain is retained."""
        self.codec = codec
        self.peers = peers
        self.aggregator.reconfigure(peers, self.deadlines.clock())

    def _tick(self) -> None:
        now = self.deadlines.clock()
        self._tick_timer = self.deadlines.schedule_at(now + AGGREGATOR_TICK_US, self._tick)
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
        """Return the aggregator's state and counters, for operators."""
        return {
            "aggregator": self.aggregator.name,
            **self.aggregator.figures(self.deadlines.clock()),
            "datagrams": dict(self.datagrams.counts),
        }

    def close(self) -> None:
        """Stop ticking and receiving."""
        self.deadlines.cancel(self._tick_timer)
        self.datagrams.receivers.pop(VERSION, None)
