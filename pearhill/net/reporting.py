"""A dispatcher's reports to aggregators over UDP: runs the ticks of one Reporter, sends its datagrams, and passes it
the answers. It makes no decisions itself."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from pearhill.core.deadlines import Deadlines, TimerKey
from pearhill.membership.aggregation_messages import VERSION, AggregationCodec, AggregationMessage
from pearhill.membership.aggregator_choice import AggregatorSite
from pearhill.membership.reporter import Reporter
from pearhill.net.address import Address
from pearhill.net.datagrams import Datagrams

MIN_TICK_INTERVAL_US = 10_000


class Reporting:
    """Drives `reporter`. `addresses` has the addresses of the aggregators by name."""

    def __init__(
        self,
        reporter: Reporter,
        codec: AggregationCodec,
        addresses: Mapping[str, Address],
        deadlines: Deadlines,
        datagrams: Datagrams,
    ) -> None:
        self.reporter = reporter
        self.codec = codec
        self.addresses = addresses
        self.deadlines = deadlines
        self.datagrams = datagrams
        self.on_count_change: Callable[[], None] = lambda: None  # called when the number of dispatchers changes
        self.on_exchange: Callable[[int], None] = lambda now: None  # called after each tick and answer, with its time
        self._tick_timer: TimerKey | None = None
        self._tick_due: int | None = None
        self._last_tick = 0
        self._count: int | None = None

    def start(self) -> None:
        """Start ticking and receiving. The socket must be open."""
        self.datagrams.receivers[VERSION] = self._receive
        self._tick()

    def reconfigure(
        self, codec: AggregationCodec, sites: Iterable[AggregatorSite], addresses: Mapping[str, Address]
    ) -> None:
        """Replace the keys and aggregators. The aggregator in use stays in use if it is still listed."""
        self.codec = codec
        self.addresses = addresses
        self.reporter.reconfigure(sites, self.deadlines.clock())
        self._schedule_tick(self.deadlines.clock())

    def _tick(self) -> None:
        now = self.deadlines.clock()
        self._last_tick = now
        self._tick_due = None
        try:
            self._send(self.reporter.tick(now))
        finally:
            self._schedule_tick(now)
        self._notify(now)

    def _receive(self, data: bytes, address: Address) -> None:
        now = self.deadlines.clock()
        message = self.codec.unpack(data, self.reporter.name)
        self._send(self.reporter.receive(now, message, len(data)))
        self._schedule_tick(now)
        self._notify(now)

    def _schedule_tick(self, now: int) -> None:
        """Set the timer of the next tick.

        Without a minimum interval, ticks that are always due would occupy the process. The interval counts from the
        last tick: if it counted from now, each datagram that is received would postpone the next tick.
        """
        due = max(self._last_tick + MIN_TICK_INTERVAL_US, self.reporter.next_tick(now))
        if due == self._tick_due:
            return
        self.deadlines.cancel(self._tick_timer)
        self._tick_timer = self.deadlines.schedule_at(due, self._tick)
        self._tick_due = due

    def _notify(self, now: int) -> None:
        count = self.reporter.count(now)
        if count != self._count:
            self._count = count
            self.on_count_change()
        self.on_exchange(now)

    def _send(self, messages: list[AggregationMessage]) -> None:
        for message in messages:
            data = self.codec.pack(message)
            address = self.addresses.get(message.to)
            if address and self.datagrams.send(data, address):
                self.reporter.record_sent(len(data))

    def close(self) -> None:
        """Notify the aggregator that this dispatcher disconnects, so that it is not waited for. The socket must still
        be open."""
        self.deadlines.cancel(self._tick_timer)
        self._send(self.reporter.leave(self.deadlines.clock()))
        self.datagrams.receivers.pop(VERSION, None)
