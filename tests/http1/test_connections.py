"""HTTP/1.1 and event streams as pure machines: bytes in, messages out, whatever the cuts."""

import gc
import sys
import unittest
import weakref

from pearhill.http1.client import ClientConnection, Data, End, Head, Lost
from pearhill.http1.messages import RequestMessage
from pearhill.http1.server import Rejected, ServerConnection
from pearhill.http1.sse import EventParser, EventStreamError


class Connections(unittest.TestCase):
    REQUEST = b"POST /a?b=1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"

    def test_requests_cut_anywhere_parse_the_same(self):
        for size in (1, 2, 7, len(self.REQUEST), 2 * len(self.REQUEST)):
            machine, got = ServerConnection(), []
            stream = self.REQUEST * 2
            for at in range(0, len(stream), size):
                got += machine.feed(stream[at : at + size])
            self.assertEqual(
                [(m.method, m.target, m.body, m.keep_alive) for m in got if isinstance(m, RequestMessage)],
                [("POST", "/a?b=1", b"abcd", True)] * 2,
            )

    def test_nothing_is_accepted_after_bad_input(self):
        machine = ServerConnection(max_body=4)
        (bad,) = machine.feed(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n")
        self.assertEqual((bad, machine.feed(self.REQUEST)), (Rejected(413, "the body is too large"), []))
        (bad,) = ServerConnection(max_body=3).feed(self.REQUEST)
        self.assertEqual(bad.status, 413)
        for coding in (b"gzip", b"chunked, chunked", b"identity"):
            head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: " + coding + b"\r\n\r\n"
            (bad,) = ServerConnection().feed(head)
            self.assertEqual(bad.status, 400)

    def test_endless_input_is_rejected_while_it_still_arrives(self):
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

    def test_rejected_input_is_released_at_once(self):
        machine = ServerConnection()

        class Buffer:
            pass

        def read() -> weakref.ref[Buffer]:
            buffer = Buffer()
            machine.feed(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 999999\r\n\r\n")
            return weakref.ref(buffer)

        self.assertIsNone(read()())  # the connection lives on; it must not keep its callers' frames alive

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

    def test_bytes_after_an_answer_make_its_connection_unusable(self):
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
        for more, reusable in ((b"", True), (whole, False), (b"noise", False)):
            machine = ClientConnection()
            machine.expect()
            got = machine.feed(b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + whole + more)
            self.assertEqual(got, [Head(200, {"content-length": "2"}), Data(b"hi"), End(reusable, not more)])

    def test_answers_in_pieces_and_unsolicited_bytes(self):
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
        with self.assertRaises(EventStreamError):
            EventParser(most=10).feed(b"data: " + b"x" * 10)
