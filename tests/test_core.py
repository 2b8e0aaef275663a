"""The core and the state machines by themselves: no socket, no process, a clock by hand."""

import unittest
from typing import Any

from pearhill import interface as i
from pearhill import settings
from pearhill.chat.sse import BadEvents, EventParser
from pearhill.core.deadlines import Deadlines
from pearhill.core.dispatcher import Ask, Attempt, Dispatcher
from pearhill.counters import Counters
from pearhill.http1.client import ClientConnection, Data, End, Head, Lost
from pearhill.http1.messages import RequestMessage
from pearhill.http1.server import Rejected, ServerConnection
from tests.standins import SETTINGS

ADVICE, BOOKING = 0, 1


class Client:
    """What a front is told."""

    def __init__(self) -> None:
        self.told: list[str] = []

    def refuse(self, stay_away: int) -> None:
        self.told.append("refuse")

    def fail(self) -> None:
        self.told.append("fail")

    async def pass_on(self, data: bytes) -> None:
        raise AssertionError("no data here")

    def finish(self) -> None:
        self.told.append("finish")

    def abort(self) -> None:
        self.told.append("abort")


class Core(unittest.TestCase):
    def setUp(self) -> None:
        self.now, self.sent, self.released, self.reached = 10**12, list[Attempt](), list[set[int]](), True
        self.on_cancel: Any = lambda attempt: None
        self.deadlines = Deadlines(lambda: self.now)
        self.core = Dispatcher(settings.parse(SETTINGS), 1, self.deadlines, Counters())
        self.core.backend = self
        self.core.listed(True, tuple(i.Entry(n, 0, kind, 0, i.READY, 1.0, 0) for n, kind in ((1, 0), (2, 1), (3, 1))))

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt: Attempt) -> bool:
        self.on_cancel(attempt)
        return self.reached

    def release(self, request: Any, engines: set[int]) -> None:
        self.released.append(set(engines))

    def take(self, cls: int = ADVICE, ttl: int = 5_000_000) -> Client:
        client = Client()
        client.request = self.core.take(Ask(cls, ttl, prompt=3000, max_out=100), client, None)
        return client

    def wait(self, micros: int) -> None:
        end = self.now + micros
        while (earliest := self.deadlines.earliest) is not None and earliest <= end:
            self.now = max(self.now, earliest)
            self.deadlines.sweep()
        self.now = end

    def test_two_stages_then_one_answer(self):
        client = self.take()
        self.sent[0].end(i.READ, may_hold=True)
        self.assertEqual([a.engine for a in self.sent][0], 1)
        self.assertTrue(self.sent[1].begin())
        self.sent[1].end(i.ANSWERED)
        self.sent[1].end(i.BROKEN)  # one end counts
        self.assertEqual((client.told, self.released, self.core.requests), (["finish"], [], {}))

    def test_every_request_has_one_answer_by_its_deadline_whatever_the_backend_does(self):
        for cls in (ADVICE, BOOKING):
            client, at = self.take(cls), self.now
            self.wait(5_000_000)
            self.assertEqual(len(client.told), 1)
            self.assertLessEqual(self.now, at + 5_000_000)

    def test_a_router_that_fails_leaves_nobody_without_an_answer(self):
        self.core.router.handle = None  # type: ignore[method-assign, assignment]
        client = self.take()
        self.wait(6_000_000)
        self.assertEqual(client.told, ["fail"])
        self.assertGreater(self.core.counters.faults, 0)

    def test_the_clock_stops_with_the_first_event_and_a_break_is_no_end(self):
        client = self.take()
        self.sent[0].end(i.READ, may_hold=True)
        self.sent[1].begin()
        self.wait(20_000_000)
        self.assertEqual(client.told, [])
        self.sent[1].end(i.BROKEN)
        self.assertEqual((client.told, len(self.sent)), (["abort"], 2))

    def test_the_old_attempt_is_closed_before_the_next_is_sent(self):
        client, order = self.take(), list[str]()
        self.sent[0].end(i.READ, may_hold=True)
        self.on_cancel = lambda attempt: order.append(f"close {len(self.sent)}")
        self.wait(4_900_000)
        self.assertEqual(order[0], "close 2")
        self.assertGreater(len(self.sent), 2)
        self.assertEqual(len({a.request for a in self.sent if not a.over}), 0 if client.told else 1)

    def test_an_outcome_in_hand_wins_over_a_call_off(self):
        client = self.take()
        self.on_cancel = lambda attempt: attempt.end(i.READ, kept=7, may_hold=True)
        self.core.leave(client.request)
        self.assertEqual(self.core.counters.outcomes, {"read": 1})
        self.assertEqual(self.released, [{1}])

    def test_a_read_that_is_cut_off_is_released_unless_it_never_arrived(self):
        for self.reached, released in ((True, [{1}]), (False, [])):
            self.released.clear()
            client = self.take()
            self.core.leave(client.request)
            self.assertEqual((self.released, client.told, self.core.requests), (released, [], {}))

    def test_a_booking_that_was_called_off_before_it_was_sent_may_go_elsewhere(self):
        self.core.listed(False, (i.Entry(1, 0, 0, 0, i.GONE, 1.0, 0), i.Entry(5, 0, 2, 0, i.READY, 1.0, 0),
                                 i.Entry(6, 0, 2, 0, i.READY, 1.0, 0)))
        self.take(BOOKING)
        first, self.reached = self.sent[-1], False
        self.core.listed(False, (i.Entry(first.engine, 0, 2, 0, i.GONE, 1.0, 0),))
        self.assertEqual(len({a.engine for a in self.sent}), 2)


class Due(unittest.TestCase):
    def test_swept_in_order_and_what_is_added_waits_for_the_next_turn(self):
        now, ran = [0], []
        deadlines = Deadlines(lambda: now[0])
        deadlines.at(5, lambda: (ran.append("b"), deadlines.at(0, lambda: ran.append("late"))))
        deadlines.at(3, lambda: ran.append("a"))
        deadlines.cancel(deadlines.at(4, lambda: ran.append("never")))
        deadlines.at(9, lambda: ran.append("c"))
        now[0] = 5
        deadlines.sweep()
        self.assertEqual(ran, ["a", "b"])
        deadlines.sweep()
        self.assertEqual((ran, deadlines.earliest), (["a", "b", "late"], 9))


class Machines(unittest.TestCase):
    REQUEST = b"POST /a?b=1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"

    def test_requests_cut_anywhere_read_the_same(self):
        for size in (1, 2, 7, len(self.REQUEST), 2 * len(self.REQUEST)):
            machine, got = ServerConnection(), []
            stream = self.REQUEST * 2
            for at in range(0, len(stream), size):
                got += machine.feed(stream[at:at + size])
            self.assertEqual([(m.method, m.target, m.body, m.keep_alive) for m in got if isinstance(
                m, RequestMessage)], [("POST", "/a?b=1", b"abcd", True)] * 2)

    def test_nothing_is_taken_after_bad_input(self):
        machine = ServerConnection(max_body=4)
        (bad,) = machine.feed(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n")
        self.assertEqual((bad, machine.feed(self.REQUEST)), (Rejected(413, "the body is too large"), []))
        (bad,) = ServerConnection(max_body=3).feed(self.REQUEST)
        self.assertEqual(bad.status, 413)
        for coding in (b"gzip", b"chunked, chunked", b"identity"):
            head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: " + coding + b"\r\n\r\n"
            (bad,) = ServerConnection().feed(head)
            self.assertEqual(bad.status, 400)

    def test_answers_in_pieces_and_what_comes_unasked(self):
        machine = ClientConnection()
        self.assertEqual(machine.feed(b"HTTP/1.1 200 OK\r\n"), [Lost("unasked")])
        machine = ClientConnection()
        for _ in range(2):
            machine.expect()
            got = machine.feed(b"HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")
            self.assertEqual(got, [Head(200, {"a": "b", "transfer-encoding": "chunked"}), Data(b"hi")])
            self.assertEqual(machine.feed(b"0\r\n\r\n"), [End(True)])
        machine.expect()
        self.assertEqual((machine.eof(), machine.eof()), ([Lost("eof")], []))

    def test_events_cut_anywhere_keep_their_bytes(self):
        stream = b": hi\n\ndata: a\ndata: b\r\n\r\nevent: x\rdata:c\r\rid: 1\n\n"
        for size in range(1, len(stream) + 1):
            parser, got = EventParser(), []
            for at in range(0, len(stream), size):
                got += parser.feed(stream[at:at + size])
            self.assertEqual([(e.data, e.name) for e in got],
                             [(None, "message"), ("a\nb", "message"), ("c", "x"), (None, "message")])
            self.assertEqual(b"".join(e.raw for e in got), stream)
        with self.assertRaises(BadEvents):
            EventParser(most=10).feed(b"data: " + b"x" * 10)
