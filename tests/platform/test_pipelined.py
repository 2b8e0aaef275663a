"""Requests that are queued behind another one on the same connection: their timeouts run, and a drain answers them."""

import signal
import socket
import threading
import time
from typing import Any

from tests.platform.test_owed import SERVED, LoopbackDispatcher, loopback, read_answer, request  # noqa: F401
from tests.standins import STREAM_CHUNKS, STREAM_END, Standin

WAITED_S = 3.0
TIMEOUT_MS = 5000


class Answers:
    """Reads consecutive answers on one connection. All are read through one buffer: a second buffer would miss the
    bytes that the first has read ahead."""

    def __init__(self, sock: socket.socket) -> None:
        self.file = sock.makefile("rb")

    def makefile(self, mode: str) -> "Answers":
        return self

    def close(self) -> None:
        """Keep the buffer open for the next answer."""

    def __getattr__(self, name: str) -> Any:
        return getattr(self.file, name)

    def next(self) -> tuple[int, bytes]:
        """Return one answer, or (0, b"") if the connection ends without one."""
        return read_answer(self)  # type: ignore[arg-type]


def test_a_replica_is_given_no_more_time_than_the_client_has_left(loopback: LoopbackDispatcher) -> None:  # noqa: F811
    """Queued requests wait for the answer to the first, and their timeouts run from their last byte. A request whose
    timeout passes in the queue is rejected without being forwarded."""
    server = Standin()

    def respond(handler: Any, body: bytes) -> None:
        if handler.headers["Request-Id"] == "p1":
            server.release_answers.wait(20)
        handler.chunks(*STREAM_CHUNKS, STREAM_END)

    server.respond = respond
    loopback.start((server, "all-in-one"))
    client = loopback.connect()
    client.sendall(request("p1", "advice", 20_000) + request("p2", "advice", TIMEOUT_MS) + request("p3", "advice", 500))
    server.wait_for("POST")
    began = time.monotonic()
    while time.monotonic() < began + WAITED_S:
        pass
    server.release_answers.set()
    answers = Answers(client)
    assert [answers.next()[0] for _ in range(3)] == [200, 200, 503]
    given_ms = next(int(h["Request-Timeout-Ms"]) for h in server.headers if h.get("Request-Id") == "p2")
    assert given_ms <= TIMEOUT_MS - WAITED_S * 1000, given_ms


def test_requests_received_before_a_drain_are_answered(loopback: LoopbackDispatcher) -> None:  # noqa: F811
    """The first answer was sent during the drain and closed its connection, so that the other requests were lost."""
    server, ending = Standin(), threading.Event()
    server.respond = lambda handler, body: (ending.wait(20), handler.chunks(*STREAM_CHUNKS, STREAM_END))
    program = loopback.start((server, "all-in-one"))
    client = loopback.connect()
    client.sendall(request("d1") + request("d2") + request("d3"))
    server.wait_for("POST")
    program.process.send_signal(signal.SIGTERM)
    program.wait_line("draining")
    ending.set()
    answers = Answers(client)
    assert [answers.next() for _ in range(3)] == [(200, SERVED)] * 3
    assert program.process.wait(20) == 0


def test_a_request_long_after_sigterm_is_rejected(loopback: LoopbackDispatcher) -> None:  # noqa: F811
    """If it were in flight when the platform kills the process, it would be lost; rejected, it is served elsewhere."""
    server, over = Standin(), threading.Event()
    server.respond = lambda handler, body: (over.wait(20), handler.chunks(*STREAM_CHUNKS, STREAM_END))
    program = loopback.start((server, "all-in-one"))
    client = loopback.connect()
    client.sendall(request("e1"))
    server.wait_for("POST")
    program.process.send_signal(signal.SIGTERM)
    program.wait_line("draining")
    began = time.monotonic()
    while time.monotonic() < began + 0.7:
        pass
    client.sendall(request("e2"))
    over.set()
    answers = Answers(client)
    assert answers.next() == (200, SERVED)
    assert answers.next()[0] == 503
    assert server.post_count == 1
