"""Input becomes requests in order, each with its time of arrival, and the number of waiting requests is limited."""

import asyncio
import socket
from typing import Any

from pearhill.http1.messages import RequestMessage
from pearhill.http1.server import HEADER_OBJECT_BYTES, Discarded, Rejected
from pearhill.net.input_scheduler import LONG_REQUEST_BYTES, PART_COST_BYTES, InputLength
from pearhill.net.request_intake import (
    HEAD_READ_BYTES,
    MANY_PARTS,
    MAX_PIPELINED_REQUESTS,
    READ_BYTES,
    RequestIntake,
)
from pearhill.net.socket_reader import SocketReader
from tests.net.loops import UvloopTestCase

MAX_BODY = 100
GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
NOW = 1_000_000_000


class TestRequestIntake(UvloopTestCase):
    async def asyncSetUp(self) -> None:
        self.ours, theirs = socket.socketpair()
        self.addCleanup(self.ours.close)
        self.addCleanup(theirs.close)
        self.continues = 0
        reader = SocketReader(asyncio.get_running_loop(), self.ours)
        self.intake = RequestIntake(reader, self.ours, lambda: NOW, MAX_BODY, delayed_accept=False)

    def feed(self, data: bytes, answering: bool = False) -> None:
        def send_continue() -> None:
            self.continues += 1

        self.intake.feed(memoryview(data), answering, send_continue)

    def targets(self) -> list[str | int]:
        """Return what waits, as the target of each request, the status of each rejection, and 503 for a discarded
        request."""
        return [self.target(each) for each in self.intake.waiting]

    @staticmethod
    def target(message: RequestMessage | Rejected | Discarded) -> str | int:
        if isinstance(message, RequestMessage):
            return message.target
        return message.status if isinstance(message, Rejected) else 503

    async def test_requests_wait_in_order(self) -> None:
        self.feed(b"".join(GET % number for number in range(3)))
        assert self.targets() == ["/0", "/1", "/2"]

    async def test_a_large_read_is_only_made_for_the_rest_of_a_request(self) -> None:
        buffer = memoryview(bytearray(READ_BYTES))
        assert len(self.intake.limit_read(buffer)) == HEAD_READ_BYTES
        self.feed(POST % (0, 9))
        assert self.intake.in_message
        assert len(self.intake.limit_read(buffer)) == READ_BYTES
        self.feed(b"123456789")
        assert not self.intake.in_message
        assert len(self.intake.limit_read(buffer)) == HEAD_READ_BYTES

    async def test_a_flood_of_requests_ends_with_a_rejection_and_later_requests_are_discarded(self) -> None:
        self.feed(b"".join(GET % number for number in range(20)), answering=True)
        assert self.targets() == [*(f"/{number}" for number in range(MAX_PIPELINED_REQUESTS)), 429]
        self.feed(GET % 99, answering=True)
        assert len(self.intake.waiting) == MAX_PIPELINED_REQUESTS + 1

    async def test_one_request_more_may_wait_while_none_is_being_answered(self) -> None:
        self.feed(b"".join(GET % number for number in range(20)))
        assert self.targets() == [*(f"/{number}" for number in range(MAX_PIPELINED_REQUESTS + 1)), 429]

    async def test_waiting_bodies_are_limited_to_the_maximum_size_of_one_body(self) -> None:
        body = b"x" * (MAX_BODY // 2 + 1)
        self.feed(b"".join(POST % (number, len(body)) + body for number in range(3)), answering=True)
        assert self.targets() == ["/0", "/1", 429]

    async def test_a_malformed_request_is_rejected(self) -> None:
        self.feed(b"nonsense\r\n\r\n")
        (rejected,) = self.intake.waiting
        assert isinstance(rejected, Rejected)
        assert rejected.status == 400

    async def test_no_interim_response_is_sent_while_another_request_waits(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n"
        self.feed(head)
        assert self.continues == 1
        self.feed(b"x")
        self.feed(head)  # while another request waits
        assert self.continues == 1

    async def test_no_interim_response_is_sent_while_a_request_is_being_answered(self) -> None:
        self.feed(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n", answering=True)
        assert self.continues == 0

    async def test_a_delayed_read_does_not_change_the_arrival_time_of_a_request(self) -> None:
        """Its deadline counts from the arrival of its last byte, and not from when there was memory to read it."""
        self.intake.socket_reader.delayed_s = 0.25
        self.feed(GET % 0)
        self.intake.socket_reader.delayed_s = 0.0
        self.feed(GET % 1)
        waiting: list[Any] = list(self.intake.waiting)
        assert [each.arrived for each in waiting] == [NOW - 250_000, NOW]

    async def test_a_request_that_waited_in_the_input_scheduler_arrived_when_its_socket_became_readable(self) -> None:
        """The client's time runs meanwhile, and a replica may be given no more than what is left of it."""
        self.intake.readable_since = NOW - 300_000
        self.feed(GET % 0)
        waiting: list[Any] = list(self.intake.waiting)
        assert waiting[0].arrived == NOW - 300_000

    async def test_a_request_is_long_from_its_received_bytes_on_whatever_these_are(self) -> None:
        """The framing of small chunks takes long to read although the body is short."""
        large_bodies = RequestIntake(
            self.intake.socket_reader, self.ours, lambda: NOW, READ_BYTES, delayed_accept=False
        )
        lengths = []
        for data in (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"1\r\nx\r\n" * (LONG_REQUEST_BYTES // 6 + 1),
            b"0\r\n\r\n",
        ):
            large_bodies.feed(memoryview(data), False, lambda: None)
            lengths.append(large_bodies.input_length)
        assert lengths == [InputLength.SHORT, InputLength.LONG, InputLength.SHORT]

    async def test_a_request_in_small_parts_costs_more_than_its_bytes(self) -> None:
        """Guards against picture (b) of the second review: short fields cost a hundred times as much as a body, and
        requests of thousands of them counted as short ones."""
        self.feed(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * (LONG_REQUEST_BYTES // PART_COST_BYTES + 1))
        assert self.intake.input_length is InputLength.LONG
        assert not self.intake.fragmented  # not yet
        self.feed(b"a:\r\n" * MANY_PARTS)
        assert self.intake.fragmented
        self.feed(b"Host: a\r\n\r\n")
        assert (self.intake.input_cost, self.intake.fragmented) == (0, False)

    async def test_many_parts_of_usual_size_are_not_taken_for_small_ones(self) -> None:
        self.feed(b"GET / HTTP/1.1\r\n" + b"".join(b"x-field-%d: some-value\r\n" % n for n in range(MANY_PARTS)))
        assert not self.intake.fragmented

    async def test_an_incomplete_body_is_discarded_first_and_the_requests_behind_it_are_still_read(self) -> None:
        self.feed(POST % (0, 3) + b"abc" + POST % (1, 9) + b"half")
        self.intake.discard_newest()
        assert self.targets() == ["/0"]
        self.feed(b"later" + GET % 2)
        assert self.targets() == ["/0", 503, "/2"]

    async def test_a_discarded_body_that_exceeds_its_limit_is_rejected_as_any_other(self) -> None:
        self.feed(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
        self.intake.discard_newest()
        self.feed(b"%x\r\n" % MAX_BODY + b"x" * MAX_BODY + b"\r\n")
        assert self.targets() == [413]

    async def test_waiting_requests_are_discarded_before_one_whose_head_is_incomplete(self) -> None:
        self.feed(GET % 0 + GET % 1 + b"GET /2 HTTP/1.1\r\nHost: a\r\n")
        expected: list[list[str | int]] = [["/0", 503], [503, 503], [503, 503, 503]]
        for targets in expected:
            self.intake.discard_newest()
            assert self.targets() == targets
        assert self.intake.waiting_bytes == 0
        self.feed(b"\r\n" + GET % 3)
        assert len(self.intake.waiting) == 3

    async def test_a_request_counts_until_it_is_answered_with_its_headers(self) -> None:
        headers = b"".join(b"a%d: b\r\n" % number for number in range(100))
        self.feed(b"GET / HTTP/1.1\r\n" + headers)
        partial = self.intake.waiting_bytes
        assert partial > 100 * HEADER_OBJECT_BYTES
        self.feed(b"Host: a\r\nContent-Length: 50\r\n\r\n" + b"x" * 50)
        complete = self.intake.waiting_bytes
        assert complete >= partial + 50
        self.intake.take()
        assert (self.intake.waiting_bytes, self.intake.unanswered_bytes) == (0, complete)
        self.intake.end_answer()
        assert self.intake.unanswered_bytes == 0
