"""A dispatcher's reports to aggregators over UDP: the beats of one Reporter, its datagrams out, their answers in.
Decides nothing."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from pearhill.core.deadlines import Deadlines, Key
from pearhill.membership.aggregation_messages import VERSION, AggregationCodec, AggregationMessage
from pearhill.membership.aggregator_choice import AggregatorSite
from pearhill.membership.reporter import Reporter
from pearhill.net.address import Address
from pearhill.net.datagrams import Datagrams

MIN_TICK_INTERVAL_US = 10_000  # between two beats


class Reporting:
    """`addresses`: where the aggregators listen, by name."""

    def __init__(
        self,
        reporter: Reporter,
        codec: AggregationCodec,
        addresses: Mapping[str, Address],
        deadlines: Deadlines,
        datagrams: Datagrams,
    ) -> None:
        self.reporter, self.codec, self.addresses, self.deadlines = reporter, codec, addresses, deadlines
        self.datagrams = datagrams
        self._beat_key: Key | None = None
        self._beat_at: int | None = None  # what it is set for
        self._last_beat = 0
        self._count: int | None = None
        self.on_count: Callable[[], None] = lambda: None  # told when another count of dispatchers shares the work
        self.on_exchange: Callable[[int], None] = (
            lambda now: None
        )  # told after each beat and each answer, with its time

    def start(self) -> None:
        """Once the socket is open."""
        self.datagrams.receivers[VERSION] = self._take
        self._beat()

    def reconfigure(
        self, codec: AggregationCodec, sites: Iterable[AggregatorSite], addresses: Mapping[str, Address]
    ) -> None:
        """Other keys, other aggregators; the one in use stays in use if it is still named."""
        self.codec, self.addresses = codec, addresses
        self.reporter.reconfigure(sites, self.deadlines.clock())
        self._arm(self.deadlines.clock())

    def _beat(self) -> None:
        now = self._last_beat = self.deadlines.clock()
        self._beat_at = None
        try:
            self._send(self.reporter.tick(now))
        finally:
            self._arm(now)
        self._turn(now)

    def _take(self, data: bytes, address: Address) -> None:
        now, frame = self.deadlines.clock(), self.codec.unpack(data, self.reporter.name)
        self._send(self.reporter.receive(now, frame, len(data)))
        self._arm(now)
        self._turn(now)

    def _arm(self, now: int) -> None:
        # Danger: a beat that is due at once, over and over, would be all that this process does. Counted from now and
        # not from the last one, each datagram that comes in would put it off.
        at = max(self._last_beat + MIN_TICK_INTERVAL_US, self.reporter.next_tick(now))
        if at != self._beat_at:
            self.deadlines.cancel(self._beat_key)
            self._beat_key, self._beat_at = self.deadlines.at(at, self._beat), at

    def _turn(self, now: int) -> None:
        if (count := self.reporter.count(now)) != self._count:
            self._count = count
            self.on_count()
        self.on_exchange(now)

    def _send(self, frames: list[AggregationMessage]) -> None:
        for frame in frames:
            data, address = self.codec.pack(frame), self.addresses.get(frame.to)
            if address and self.datagrams.send(data, address):
                self.reporter.sent(len(data))

    def close(self) -> None:
        """Take leave, so that nobody waits for this one; the socket is open still."""
        self.deadlines.cancel(self._beat_key)
        self._send(self.reporter.leave(self.deadlines.clock()))
        self.datagrams.receivers.pop(VERSION, None)
