"""One UDP socket, and the drivers of a reporter and an aggregator on it, with the test's own clock."""

import contextlib
import random
from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger

from pearhill.core.deadlines import Deadlines
from pearhill.membership.aggregation_messages import AggregationCodec, Hello, HelloAck
from pearhill.membership.aggregator import Aggregator
from pearhill.membership.message_authenticator import MessageRejectedError
from pearhill.net.aggregation import Aggregation
from pearhill.net.datagrams import REJECTION_LOG_INTERVAL_US, Datagrams
from pearhill.net.reporting import MIN_TICK_INTERVAL_US, Reporting

S = 1_000_000
CODEC = AggregationCodec([b"k" * 16])


class DatagramsCase:
    @pytest.fixture(autouse=True)
    def set_up(self) -> Iterator[None]:
        self.now, self.sent, self.lines = 1000 * S, list[tuple[bytes, Any]](), list[str]()
        self.deadlines = Deadlines(lambda: self.now)
        self.datagrams = Datagrams(self.deadlines)
        self.datagrams.connection_made(self)  # type: ignore[arg-type]
        sink = logger.add(self.lines.append, format="{message}")
        yield
        logger.remove(sink)

    # The interface of the transport.
    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: Any) -> None:
        self.sent.append((data, address))

    def run_for(self, micros: int) -> None:
        end = self.now + micros
        try:
            while (due := self.deadlines.earliest) is not None and due <= end:
                self.now = max(self.now, due)
                self.deadlines.run_due()
        finally:
            self.now = end


class TestRejectedDatagrams(DatagramsCase):
    def test_rejected_datagrams_are_counted_and_logged_once_a_minute_with_their_reasons(self) -> None:
        def receiver(data: bytes, address: Any) -> None:
            if len(data) > 1:
                raise MessageRejectedError("forged")

        self.datagrams.receivers[2] = receiver
        for data in (b"\2", b"\2x", b"\2x", b"\1", b""):
            self.datagrams.datagram_received(data, ("10.0.0.9", 77))
        assert self.datagrams.counts == {
            "received": 5,
            "bytes_in": 6,
            "taken": 1,
            "rejected forged": 2,
            "rejected version": 1,
            "rejected size": 1,
        }
        assert len(self.lines) == 1
        self.run_for(REJECTION_LOG_INTERVAL_US)
        self.run_for(2 * REJECTION_LOG_INTERVAL_US)  # nothing more was rejected, so nothing is logged
        self.datagrams.datagram_received(b"\1", ("10.0.0.8", 77))
        assert [str(line).strip() for line in self.lines] == [
            "fleet: 1 datagrams were rejected: reasons=forged:1, the last from 10.0.0.9:77",
            "fleet: 3 datagrams were rejected: reasons=forged:1,size:1,version:1, the last from 10.0.0.9:77",
            "fleet: 1 datagrams were rejected: reasons=version:1, the last from 10.0.0.8:77",
        ]


class TestAggregation(DatagramsCase):
    def test_dispatchers_are_answered_at_the_source_address_and_aggregators_at_the_configured_one(self) -> None:
        aggregator = Aggregator("a1", ["a2"], self.now, random.Random(1))
        driver = Aggregation(aggregator, CODEC, {"a2": ("10.0.0.2", 2)}, self.deadlines, self.datagrams)
        driver.start()
        assert {address for _, address in self.sent} == {("10.0.0.2", 2)}
        self.sent.clear()

        def receive_hello(sender: str, sequence: int, address: tuple[str, int]) -> list[Any]:
            self.sent.clear()
            self.datagrams.datagram_received(CODEC.pack(Hello(sender, "a1", 5, sequence, 9)), address)
            return [(CODEC.unpack(data, sender), to) for data, to in self.sent]

        for sequence, port in ((1, 11), (2, 12)):  # a dispatcher's address may change
            ((answer, to),) = receive_hello("d1", sequence, ("10.0.0.3", port))
            assert isinstance(answer, HelloAck)
            assert to == ("10.0.0.3", port)
        assert receive_hello("d1", 2, ("6.6.6.6", 6)) == []  # replayed from elsewhere: nothing is sent there
        assert receive_hello("a2", 1, ("6.6.6.6", 6)) == []


class TestReporting(DatagramsCase):
    def test_ticks_run_at_a_minimum_interval_and_are_not_postponed_by_received_datagrams(self) -> None:
        case = self

        class AlwaysDueReporter:
            name, ticks, sizes = "d1", list[int](), list[int]()

            def next_tick(self, now: int) -> int:
                return max(now, self.due)

            def tick(self, now: int) -> list[Any]:
                self.ticks.append(now)
                if len(self.ticks) == 3:
                    raise ValueError("a fault")
                return []

            def receive(self, now: int, frame: Any, size: int) -> list[Any]:
                assert size == len(case.data)
                return []

            def count(self, now: int) -> int:
                return 2 + len(self.ticks) // 4

            def leave(self, now: int) -> list[Any]:
                return [Hello("d1", "a1", 5, 1, 9), Hello("d1", "a7", 5, 2, 9)]

            def record_sent(self, size: int) -> None:
                self.sizes.append(size)

            due = case.now

        reporter, counts, at = AlwaysDueReporter(), list[int](), ("10.0.0.2", 2)
        driver = Reporting(reporter, CODEC, {"a1": at}, self.deadlines, self.datagrams)  # type: ignore[arg-type]
        driver.on_count_change = lambda: counts.append(reporter.count(self.now))
        driver.start()
        self.data = CODEC.pack(HelloAck("a1", "d1", 5, 1, 9))
        for _ in range(5):  # a reporter whose tick is always due is ticked at intervals, even after an error
            with contextlib.suppress(ValueError):
                self.run_for(MIN_TICK_INTERVAL_US)
        for _ in range(100):
            self.datagrams.datagram_received(self.data, at)
            self.run_for(MIN_TICK_INTERVAL_US // 10)
        assert len(reporter.ticks) >= 14
        assert all(b - a >= MIN_TICK_INTERVAL_US for a, b in zip(reporter.ticks, reporter.ticks[1:], strict=False))
        assert counts[:2] == [2, 3]
        driver.close()  # notifies the aggregators, and neither sends nor receives any more
        assert [(len(data), address) for data, address in self.sent] == [(reporter.sizes[0], at)]
        ticks = len(reporter.ticks)
        self.run_for(S)
        self.datagrams.datagram_received(self.data, at)
        assert (len(reporter.ticks), self.datagrams.counts["rejected version"]) == (ticks, 1)
