"""The core and the state machines by themselves: no socket, no process, a clock by hand."""

import asyncio
import errno
import gc
import os
import sys
import unittest
import weakref
from dataclasses import replace
from typing import Any
from unittest.mock import Mock, patch

from pearhill import settings
from pearhill.core.deadlines import Deadlines
from pearhill.core.dispatcher import Dispatcher
from pearhill.core.request import Attempt, RequestSpec
from pearhill.counters import Counters
from pearhill.http1.client import ClientConnection, Data, End, Head, Lost
from pearhill.http1.messages import RequestMessage
from pearhill.http1.server import Rejected, ServerConnection
from pearhill.http1.sse import BadEvents, EventParser
from pearhill.net.backend import HttpBackend
from pearhill.net.errors import PoolExhaustedError
from pearhill.net.pool import DISCOVERY_CONNECTIONS, ConnectionPurpose, Pool
from pearhill.platform.front import Payload
from pearhill.platform.replica import ReplicaDialect
from pearhill.routing.actions import Action, RejectRequest, SendAttempt
from pearhill.routing.outcomes import Outcome
from pearhill.routing.topology import Endpoint, Phase
from tests.standins import SETTINGS

ADVICE, BOOKING = 0, 1


class Client:
    """What a front is told."""

    def __init__(self) -> None:
        self.told: list[str] = []
        self.closed = False  # unseen until somebody looks

    def reject(self, stay_away: int) -> None:
        self.told.append("refuse")

    def fail(self) -> None:
        self.told.append("fail")

    async def forward(self, data: bytes) -> None:
        raise AssertionError("no data here")

    def finish(self) -> None:
        self.told.append("finish")

    def abort(self) -> None:
        self.told.append("abort")

    def has_disconnected(self) -> bool:
        return self.closed


class Core(unittest.TestCase):
    def setUp(self) -> None:
        self.now, self.sent, self.released, self.reached = 10**12, list[Attempt](), list[set[int]](), True
        self.reminded = list[set[int]]()
        self.on_cancel: Any = lambda attempt: None
        self.deadlines = Deadlines(lambda: self.now)
        self.core = Dispatcher(settings.parse(SETTINGS), 1, self.deadlines, Counters())
        self.core.backend = self
        self.core.update_endpoints(
            True, tuple(Endpoint(n, 0, kind, 0, Phase.READY, 1.0, 0) for n, kind in ((1, 0), (2, 1), (3, 1)))
        )

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt: Attempt) -> bool:
        self.on_cancel(attempt)
        return self.reached

    def has_started(self, attempt: Attempt) -> bool:
        return self.reached

    def release(self, request: Any, engines: set[int]) -> None:
        self.released.append(set(engines))

    def release_unless_fetched(self, request: Any, engines: set[int]) -> None:
        self.reminded.append(set(engines))

    def take(self, cls: int = ADVICE, ttl: int = 5_000_000) -> Client:
        client = Client()
        client.request = self.core.accept(
            RequestSpec(cls, ttl, prompt_tokens=3000, max_output_tokens=100), client, None
        )
        return client

    def wait(self, micros: int) -> None:
        end = self.now + micros
        while (earliest := self.deadlines.earliest) is not None and earliest <= end:
            self.now = max(self.now, earliest)
            self.deadlines.sweep()
        self.now = end

    def test_two_stages_then_one_answer(self):
        client = self.take()
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.assertEqual([a.replica for a in self.sent][0], 1)
        self.assertTrue(self.sent[1].start_response())
        self.sent[1].end(Outcome.ANSWERED)
        self.sent[1].end(Outcome.TRUNCATED)  # one end counts
        self.assertEqual((client.told, self.released, self.core.requests), (["finish"], [], {}))

    def test_what_waits_for_its_connection_goes_elsewhere_when_the_list_takes_its_engine_away(self):
        """Not when bytes of it are out: then it may run, and two would be out. Nothing is spent on it: with as many
        attempts as are allowed, more engines go than that."""
        most = SETTINGS["allowed"]["max-attempts"]
        for phase, reached in ((Phase.DRAINING, False), (Phase.GONE, False), (Phase.DRAINING, True)):
            with self.subTest(phase=phase, reached=reached):
                self.setUp()
                self.reached = reached
                self.core.update_endpoints(
                    True, tuple(Endpoint(n, 0, 2, 0, Phase.READY, 1.0, 0) for n in range(10, most + 13))
                )
                client = self.take(BOOKING)
                for _ in range(most + 2):
                    at = self.sent[-1].replica
                    self.core.update_endpoints(False, (Endpoint(at, 0, 2, 0, phase, 1.0, 0),))
                self.assertEqual(client.told, [])
                self.assertEqual(len({a.replica for a in self.sent}), 1 if reached else most + 3)
                self.assertEqual(self.core.counters.outcomes[Outcome.WITHDRAWN], 0 if reached else most + 2)
                self.assertFalse([e.id for e in self.core.router.router.engines.values() if e.fails.weight])
                self.sent[-1].start_response()
                self.sent[-1].end(Outcome.ANSWERED)
                self.assertEqual((client.told, self.released, self.core.requests), (["finish"], [], {}))

    def test_nothing_is_begun_for_a_client_that_is_seen_to_have_gone(self):
        """Neither at the choice nor at the first byte; what was held for it is let go of."""
        client = self.take()
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.assertTrue(self.sent[1].may_start())
        client.closed, self.reached = True, False
        self.assertFalse(self.sent[1].may_start())
        self.assertEqual((client.told, self.released, self.core.requests, self.core.counters.left), ([], [{1}], {}, 1))
        client = self.take()
        client.closed = True
        self.sent[2].end(Outcome.PREFILLED, may_hold=True)
        self.assertEqual((len(self.sent), client.told, self.released, self.core.counters.left), (3, [], [{1}, {1}], 2))
        self.assertEqual(self.core.requests, {})

    def test_an_attempt_whose_time_to_be_written_is_over_never_ran_and_blames_nobody(self):
        """A state is fetched within `release-within` or let go; it waits for a connection until then."""
        client = self.take(BOOKING)
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        within = SETTINGS["extra"]["release-within"]
        self.assertEqual(self.sent[1].send_before, self.now + within)
        self.reached = False
        self.now += within
        self.assertFalse(self.sent[1].may_start())
        self.assertEqual((self.core.counters.outcomes[Outcome.WITHDRAWN], self.released, client.told), (1, [{1}], []))
        self.assertFalse([e.id for e in self.core.router.router.engines.values() if e.fails.value])
        self.assertEqual(self.sent[2].replica, 1)  # read anew: it has run nowhere

    def test_a_booking_that_was_being_written_when_its_time_was_over_may_have_run(self):
        """Its last byte may have left in the very turn; refused, or sent elsewhere, it would run twice."""
        client = self.take(BOOKING)
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.now = self.sent[1].send_before
        self.sent[1].withdraw()
        self.assertEqual((client.told, len(self.sent), self.released), (["fail"], 2, [{1, self.sent[1].replica}]))
        self.assertEqual(self.core.counters.outcomes[Outcome.WITHDRAWN], 0)

    def test_what_a_fetch_without_a_sign_is_for_is_let_go_of_in_time_and_once_more_at_its_end(self):
        within = SETTINGS["extra"]["release-within"]
        client = self.take()
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.wait(within - 1)
        self.assertEqual(self.reminded, [])
        self.wait(1)
        self.assertEqual((self.reminded, self.released, len(self.sent)), ([{1}], [], 2))
        self.core.disconnect(client.request)
        self.assertEqual((self.released, client.request.interrupted), ([{1, self.sent[1].replica}], True))

    def test_a_fetch_that_has_begun_in_time_needs_no_release(self):
        self.take()
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.sent[1].start_response()
        self.wait(SETTINGS["extra"]["release-within"])
        self.assertEqual((self.reminded, self.released), ([], []))

    def test_a_second_attempt_is_not_sent_while_one_is_out_whatever_the_router_wants(self):
        handle = self.core.router.handle
        self.core.router.handle = lambda now, event: [  # type: ignore[method-assign]
            action
            for sent in handle(now, event)
            for action in ([sent, replace(sent, replica=3)] if isinstance(sent, SendAttempt) else [sent])
        ]
        self.take(BOOKING)
        self.assertEqual(len(self.sent), 1)

    def test_an_effect_is_not_repeated_nor_its_request_refused_whatever_the_router_wants(self):
        """Both are counted as violations; the client hears that it failed."""
        client = self.take(BOOKING)
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        number, writer = client.request.number, self.sent[1].replica
        wanted: list[Action] = [SendAttempt(number, writer, 10**6)]
        self.core.router.handle = lambda now, event: [wanted.pop()] if wanted else []  # type: ignore[method-assign]
        self.sent[1].end(Outcome.TRUNCATED, may_hold=True)
        self.assertEqual(len(self.sent), 2)
        wanted.append(RejectRequest(number, 0))
        self.core.update_endpoints(False, ())
        self.assertEqual(client.told, ["fail"])
        self.assertEqual(dict(self.core.counters.violations), {"may-have-run": 1, "refused-after-effect": 1})

    def test_a_client_that_leaves_while_its_connection_comes_up_blames_no_engine(self):
        self.reached = False
        for _ in range(5):
            client = self.take()
            self.core.disconnect(client.request)
        self.assertEqual(self.core.counters.outcomes, {Outcome.NOT_SENT: 5})
        self.assertFalse([e.id for e in self.core.router.router.engines.values() if e.fails.weight])

    def test_a_request_whose_time_was_over_before_its_turn_is_refused_and_not_sent(self):
        client = Client()
        self.core.accept(
            RequestSpec(BOOKING, 1000, prompt_tokens=3000, max_output_tokens=100), client, None, arrived=self.now - 1000
        )
        self.assertEqual((client.told, self.sent, self.core.requests), (["refuse"], [], {}))
        self.assertEqual(self.core.counters.refusals, {"expired": 1})

    def test_an_engine_that_the_list_does_not_name_as_ready_gets_nothing_whatever_the_router_wants(self):
        for phase in (Phase.DRAINING, Phase.GONE):
            self.setUp()
            self.core.endpoints = {n: replace(e, phase=phase) for n, e in self.core.endpoints.items()}
            client = self.take()
            self.assertEqual((self.sent, client.told), ([], ["refuse"]))

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
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.sent[1].start_response()
        self.wait(20_000_000)
        self.assertEqual(client.told, [])
        self.sent[1].end(Outcome.TRUNCATED)
        self.assertEqual((client.told, len(self.sent)), (["abort"], 2))

    def test_the_old_attempt_is_closed_before_the_next_is_sent(self):
        client, order = self.take(), list[str]()
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.on_cancel = lambda attempt: order.append(f"close {len(self.sent)}")
        self.wait(4_900_000)
        self.assertEqual(order[0], "close 2")
        self.assertGreater(len(self.sent), 2)
        self.assertEqual(len({a.request for a in self.sent if not a.ended}), 0 if client.told else 1)

    def test_an_outcome_in_hand_wins_over_a_call_off(self):
        client = self.take()
        self.on_cancel = lambda attempt: attempt.end(Outcome.PREFILLED, cached_tokens=7, may_hold=True)
        self.core.disconnect(client.request)
        self.assertEqual(self.core.counters.outcomes, {"read": 1})
        self.assertEqual(self.released, [{1}])

    def test_a_read_that_is_cut_off_is_released_unless_it_never_arrived(self):
        for self.reached, released in ((True, [{1}]), (False, [])):
            self.released.clear()
            client = self.take()
            self.core.disconnect(client.request)
            self.assertEqual((self.released, client.told, self.core.requests), (released, [], {}))

    def test_a_booking_that_was_called_off_before_it_was_sent_may_go_elsewhere(self):
        self.core.update_endpoints(
            False,
            (
                Endpoint(1, 0, 0, 0, Phase.GONE, 1.0, 0),
                Endpoint(5, 0, 2, 0, Phase.READY, 1.0, 0),
                Endpoint(6, 0, 2, 0, Phase.READY, 1.0, 0),
            ),
        )
        self.take(BOOKING)
        first, self.reached = self.sent[-1], False
        self.core.update_endpoints(False, (Endpoint(first.replica, 0, 2, 0, Phase.GONE, 1.0, 0),))
        self.assertEqual(len({a.replica for a in self.sent}), 2)


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
                got += machine.feed(stream[at : at + size])
            self.assertEqual(
                [(m.method, m.target, m.body, m.keep_alive) for m in got if isinstance(m, RequestMessage)],
                [("POST", "/a?b=1", b"abcd", True)] * 2,
            )

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

    def test_what_never_ends_is_turned_away_while_it_still_comes(self):
        block, head = b"x" * 8192, b"POST / HTTP/1.1\r\nHost: x\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        for start in (head + b"A: ", head, b"GET /", chunked + b"1;a=", chunked + b"0\r\nA: ", b""):
            with self.subTest(start=start):
                machine, got = ServerConnection(), []
                for part in (start, *[block if start else b"\r\n" * 4096] * 6):
                    got += machine.feed(part)
                self.assertEqual([e.status for e in got], [431])
        for start in (b"HTTP/1.1 200 OK\r\nA: ", b"HTTP/1.1 200 ", b""):
            with self.subTest(start=start):
                client, got = ClientConnection(), []
                client.expect()
                for part in (start, *[block if start else b"HTTP/1.1 100 Continue\r\n\r\n" * 400] * 6):
                    got += client.feed(part)
                self.assertEqual([type(e) for e in got if client.awaiting or e != Lost("unasked")], [Lost])

    def test_a_whole_body_in_small_pieces_is_no_endless_head(self):
        parts = [b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n", *[b"x" * 1000] * 200] * 2
        machine = ServerConnection()
        self.assertEqual([len(e.body) for part in parts for e in machine.feed(part)], [200_000] * 2)

    def test_a_trailer_is_no_header_and_a_header_that_comes_twice_is_a_list(self):
        head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nA: 1\r\na: 2\r\n\r\n0\r\nB: 3\r\n\r\n"
        (got,) = ServerConnection().feed(head)
        self.assertEqual((got.headers["a"], "b" in got.headers), ("1, 2", False))
        for more in (
            b"Host: y",
            b"Content-Length: -1",
            b"Content-Length: +1",
            b"Content-Length: 1\r\n" * 2 + b"A: b",
            b"Upgrade: h2c\r\nConnection: upgrade",
        ):
            (bad,) = ServerConnection().feed(b"POST / HTTP/1.1\r\nHost: x\r\n" + more + b"\r\n\r\n")
            self.assertEqual(bad.status, 400)

    def test_what_is_turned_away_is_let_go_of_at_once(self):
        machine = ServerConnection()

        class Buffer:
            pass

        def read() -> weakref.ref[Buffer]:
            buffer = Buffer()
            machine.feed(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 999999\r\n\r\n")
            return weakref.ref(buffer)

        self.assertIsNone(read()())  # the machine lives on; it must not hold those who fed it

    def test_nothing_of_a_request_or_a_connection_is_kept(self):
        machine, enabled = ServerConnection(), gc.isenabled()
        (message,) = machine.feed(self.REQUEST)
        self.assertEqual(sys.getrefcount(message), 2)  # this name and the call's own: its body goes with its answer
        client = ClientConnection()
        gc.disable()
        try:
            gone = weakref.ref(machine), weakref.ref(client)
            machine.close()
            client.close()
            del machine, client
            self.assertEqual([ref() for ref in gone], [None, None])
        finally:
            if enabled:
                gc.enable()

    def test_a_chunk_counts_once_its_end_proves_its_size(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for spoilt in (
            b"3\r\nhello\r\n",
            b"9\r\nhello\r\n0\r\n\r\n",
            b"g\r\n",
            b"-5\r\nhello\r\n",
            b"BFFFFFFF\r\n" + b"x" * 300_000,
        ):
            with self.subTest(spoilt=spoilt[:20]):
                machine, got = ClientConnection(), []
                machine.expect()
                for part in (head + b"2\r\nhi\r\n", spoilt):
                    got += machine.feed(part)
                self.assertEqual([type(e) for e in got], [Head, Data, Lost])

    def test_whatever_follows_an_answer_ends_its_connection(self):
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
        for more, reusable in ((b"", True), (whole, False), (b"noise", False)):
            machine = ClientConnection()
            machine.expect()
            got = machine.feed(b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + whole + more)
            self.assertEqual(got, [Head(200, {"content-length": "2"}), Data(b"hi"), End(reusable, not more)])

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
                got += parser.feed(stream[at : at + size])
            self.assertEqual(
                [(e.data, e.name) for e in got],
                [(None, "message"), (b"a\nb", "message"), (b"c", "x"), (None, "message")],
            )
            self.assertEqual(b"".join(e.raw for e in got), stream)
        with self.assertRaises(BadEvents):
            EventParser(most=10).feed(b"data: " + b"x" * 10)


class Books(unittest.IsolatedAsyncioTestCase):
    """What is kept of servers, and room for what must get through."""

    async def asyncSetUp(self) -> None:
        self.now = 0
        self.deadlines = Deadlines(lambda: self.now)
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.address = server.sockets[0].getsockname()
        self.pool = Pool(
            asyncio.get_running_loop(),
            self.deadlines,
            Counters(),
            connect_timeout=10**6,
            idle_timeout=10**6,
            max_connections=1,
            reserved_connections=DISCOVERY_CONNECTIONS + 2,
        )
        self.addCleanup(self.pool.close)

    async def test_calls_that_keep_the_books_get_through_a_crowd(self):
        """And a crowd of those that get through a crowd still leaves room for the list of servers."""
        for use, room in (
            (ConnectionPurpose.REQUEST, 1),
            (ConnectionPurpose.CONTROL, 2),
            (ConnectionPurpose.DISCOVERY, DISCOVERY_CONNECTIONS),
        ):
            for _ in range(room):
                await self.pool.acquire(self.address, use)
            for no_more in range(use + 1):
                with self.assertRaises(PoolExhaustedError):
                    await self.pool.acquire(self.address, no_more)

    async def test_a_shortage_of_descriptors_here_is_no_fault_of_the_engines(self):
        backend = HttpBackend(self.pool, ReplicaDialect())
        backend.update_addresses({1: self.address}, [], full=True)
        await self.pool.acquire(self.address)
        attempt = Mock(replica=1, deadline=10**6, send_before=0)
        backend.send(attempt)
        await backend.exchanges[attempt].task
        attempt.end.assert_called_once_with(Outcome.NOT_SENT, 0, False, 0, None)

    async def test_a_system_out_of_descriptors_or_ports_is_no_fault_of_the_engines(self):
        """Neither is an attempt spent on it at once: it may be over in a moment."""
        backend = HttpBackend(self.pool, ReplicaDialect())
        backend.update_addresses({1: self.address}, [], full=True)
        for number in (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL):
            attempt = Mock(replica=1, deadline=self.now + 10**7, send_before=0, ended=False, may_start=lambda: False)
            with patch("pearhill.net.pool.socket.socket", side_effect=OSError(number, os.strerror(number))):
                backend.send(attempt)
                task = backend.exchanges[attempt].task
                for _ in range(100):
                    await asyncio.sleep(0)
                self.assertFalse(task.done(), errno.errorcode[number])
                self.now += 10**6  # the time for a connection is over
                while not task.done():
                    self.deadlines.sweep()
                    await asyncio.sleep(0)
            attempt.end.assert_called_once_with(Outcome.NOT_SENT, 0, False, 0, None)

    async def test_an_attempt_whose_last_byte_is_not_written_when_its_time_is_over_is_taken_back(self):
        """A server that reads slowly would run it only then."""
        backend = HttpBackend(self.pool, ReplicaDialect())
        backend.update_addresses({1: self.address}, [], full=True)
        request = Mock(number=1, state_holders=(), payload=Payload("r1", "POST", "/", bytes(64 << 20), ""))
        attempt = Mock(replica=1, deadline=10**9, send_before=500_000, request=request)
        backend.send(attempt)
        while not backend.exchanges[attempt].may_have_sent:
            await asyncio.sleep(0)
        self.now = attempt.send_before - 1
        self.deadlines.sweep()
        attempt.withdraw.assert_not_called()
        self.now = attempt.send_before
        self.deadlines.sweep()
        attempt.withdraw.assert_called_once_with()
        self.assertTrue(backend.has_started(attempt))
        self.assertTrue(backend.cancel(attempt))

    async def test_servers_that_have_left_are_forgotten_once_nothing_is_owed_to_them(self):
        backend = HttpBackend(self.pool, ReplicaDialect())
        for n in range(1000):
            backend.update_addresses({n: self.address}, [], full=True)  # each list names one server, and a new one
            self.assertIn(n - 1 if n else n, backend.addresses)  # a release may still be owed to the last one
            self.now += 1_000_000
            self.deadlines.sweep()
        self.assertLess(len(backend.addresses), 100)
        backend.update_addresses({}, [999], full=False)
        backend.update_addresses({999: self.address}, [], full=False)  # it is back
        self.now += 100_000_000
        self.deadlines.sweep()
        self.assertEqual(set(backend.addresses), {999})
        connection = await self.pool.acquire(self.address)
        self.pool.put_back(connection)
        self.assertEqual(list(self.pool.idle), [self.address])
        backend.update_addresses({}, [999], full=False)
        self.assertEqual((self.pool.idle, connection.closed), ({}, True))
