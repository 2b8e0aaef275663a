"""Held state on a prefill replica is released in time if the fetch never arrives, or if its end arrives late."""

import contextlib
import socket
import threading
from typing import Any

import pytest

from tests.platform.test_owed import LoopbackDispatcher, loopback, request  # noqa: F401
from tests.standins import Standin, StandinHandler

READ = b'{"cached_tokens":0}'
RELEASE_TIMEOUT_S = 5  # the rule allows 0.6 s


def answer_reads(handler: Any, body: bytes) -> None:
    handler.send_response_body(204) if handler.command == "DELETE" else handler.send_response_body(202, READ)


def test_held_state_is_released_in_time_though_the_fetch_never_arrives(loopback: LoopbackDispatcher) -> None:  # noqa: F811
    """The decode replica's connection stops responding without an error, so the fetch written to it is never executed.
    A release does no harm while a fetch is in progress, so it is sent long before the attempt times out."""
    prefill, decode, over = Standin(), Standin(), threading.Event()
    outcomes: list[dict[str, int]] = []
    released = threading.Event()

    def read(handler: StandinHandler, body: bytes) -> None:
        if handler.command == "DELETE":
            outcomes.append(program.counters()["outcomes"])
            released.set()
        answer_reads(handler, body)

    prefill.respond = read
    decode.respond = lambda handler, body: (
        handler.send_response_body(204) if handler.command == "DELETE" else over.wait(20)  # as if nothing had arrived
    )
    program = loopback.start((prefill, "reader"), (decode, "writer"))
    client = loopback.connect()
    client.sendall(request("h1", "advice", 20_000))
    assert released.wait(20)
    over.set()
    assert "timeout" not in outcomes[0], outcomes
    assert "cancelled" not in outcomes[0], outcomes


def test_a_release_is_repeated_after_a_fetch_whose_end_is_noticed_late(loopback: LoopbackDispatcher) -> None:  # noqa: F811
    """A release that overtakes the close of the fetch releases nothing while the decode replica waits for the state, so
    another one must follow the close."""
    prefill, decode = Standin(), Standin()
    deletes = threading.Semaphore(0)

    def read(handler: StandinHandler, body: bytes) -> None:
        answer_reads(handler, body)
        if handler.command == "DELETE":
            deletes.release()

    def write(handler: StandinHandler, body: bytes) -> None:
        if handler.command == "DELETE":
            return handler.send_response_body(204)
        handler.connection.recv(1)

    prefill.respond, decode.respond = read, write
    loopback.start((prefill, "reader"), (decode, "writer"))
    client = loopback.connect()
    client.sendall(request("h2", "advice", 4000))
    decode.wait_for("POST")
    client.close()
    for _ in range(2):  # one shows that the prefill replica is reachable, one follows the close at once
        assert deletes.acquire(timeout=20)
    assert deletes.acquire(timeout=20), "no release came once the decode had seen the end of the fetch"


class Reader(Standin):
    """A prefill replica whose reads end when the test says so, whether their connections are still open or not.

    `releases`: counts the DELETEs that it has answered; `released_after_read`: one has come after a read ended.
    """

    def __init__(self, closes_first: bool = False) -> None:
        self.silent = threading.Event()
        self.resumed = threading.Event()
        self.end_read = threading.Event()
        self.read_ended = threading.Event()
        self.releases = threading.Semaphore(0)
        self.released_after_read = threading.Event()
        self.closes_first = closes_first
        super().__init__()

    def respond(self, handler: Any, body: bytes) -> None:
        after_read = self.read_ended.is_set()
        if self.silent.is_set():
            self.resumed.wait(60)
        if handler.command == "DELETE":
            self._release(handler, after_read)
        else:
            self._read(handler)

    def _release(self, handler: Any, after_read: bool) -> None:
        if after_read:
            self.released_after_read.set()
        self.releases.release()
        handler.send_response_body(204)

    def _read(self, handler: Any) -> None:
        if self.closes_first:
            handler.connection.recv(1)
            handler.connection.shutdown(socket.SHUT_RDWR)
        self.end_read.wait(60)
        self.read_ended.set()
        handler.send_response_body(202, READ)

    def close(self) -> None:
        self.resumed.set()
        self.end_read.set()
        super().close()


def cancel_attempt(loopback: LoopbackDispatcher, prefill: Standin, decode: Standin, at: Standin) -> None:  # noqa: F811
    """Send a request, and close its client's connection once an attempt has arrived at one of the replicas."""
    loopback.start((prefill, "reader"), (decode, "writer"))
    client = loopback.connect()
    client.sendall(request("l1", "advice", 9000))
    at.wait_for("POST")
    client.close()


@pytest.mark.parametrize("closes_first", [False, True])
def test_state_of_a_read_that_ends_long_after_it_was_cancelled_is_released(
    loopback: LoopbackDispatcher,  # noqa: F811
    closes_first: bool,
) -> None:
    """The replica notices the close late and completes the read after it has answered two releases."""
    prefill, decode = Reader(closes_first), Standin()
    cancel_attempt(loopback, prefill, decode, prefill)
    for _ in range(2):
        assert prefill.releases.acquire(timeout=20)
    prefill.end_read.set()
    assert prefill.released_after_read.wait(20), "no release came after the end of the read"


def test_state_at_a_replica_that_was_silent_for_many_releases_is_released(loopback: LoopbackDispatcher) -> None:  # noqa: F811
    """The release was abandoned after eight tries without an answer, while the read was still in progress."""
    prefill, decode = Reader(), Standin()
    prefill.silent.set()
    cancel_attempt(loopback, prefill, decode, prefill)
    prefill.wait_for("DELETE", count=8)
    prefill.wait_for("DELETE", count=9)
    prefill.end_read.set()
    prefill.silent.clear()
    prefill.resumed.set()
    assert prefill.released_after_read.wait(20), "no release came after the end of the read"


class SlowReader(Standin):
    """A prefill replica that answers each release later than a try waits for the answer. Its reads never end by
    themselves.

    `reading`, `released`: the ids of reads, and of releases that came after the reads had ended.
    """

    ANSWER_DELAY_S = 0.4

    def __init__(self) -> None:
        self.end_reads = threading.Event()
        self.closing = threading.Event()
        self.changed = threading.Condition()
        self.reading: set[str] = set()
        self.released: set[str] = set()
        super().__init__()

    def respond(self, handler: Any, body: bytes) -> None:
        if handler.command == "DELETE":
            if self.end_reads.is_set():
                self._record(self.released, handler.path.rpartition("/")[2])
            self.closing.wait(self.ANSWER_DELAY_S)
            handler.send_response_body(204)
        else:
            self._record(self.reading, handler.headers["Request-Id"])
            self.end_reads.wait(60)
            handler.send_response_body(202, READ)

    def _record(self, ids: set[str], id: str) -> None:
        with self.changed:
            ids.add(id)
            self.changed.notify_all()

    def wait_until_all(self, wanted: set[str], ids: set[str]) -> None:
        """Wait until all wanted ids are recorded; fails after 10 s."""
        with self.changed:
            assert self.changed.wait_for(lambda: ids >= wanted, 10), wanted - ids

    def close(self) -> None:
        self.closing.set()
        self.end_reads.set()
        super().close()


def test_state_of_many_reads_is_released_though_their_replica_answers_slowly(
    loopback: LoopbackDispatcher,  # noqa: F811
) -> None:
    """Each try took its answer for lost. Two releases were repeated for a minute, and all others waited behind them."""
    prefill, decode = SlowReader(), Standin()
    loopback.start((prefill, "reader"), (decode, "writer"))
    ids = {f"5{number}" for number in range(4)}
    clients = [loopback.connect() for _ in ids]
    for id, client in zip(ids, clients, strict=True):
        client.sendall(request(id, "advice", 9000))
    prefill.wait_until_all(ids, prefill.reading)
    for client in clients:
        client.close()
    for id in ids:
        prefill.wait_for("DELETE", f"/state/{id}")
    prefill.end_reads.set()
    prefill.wait_until_all(ids, prefill.released)


class FailingWriter(Standin):
    """A decode replica that answers nothing. `die` ends it and its connections, as the end of its process does."""

    def __init__(self) -> None:
        self.dead = threading.Event()
        self.connections: list[socket.socket] = []
        super().__init__()

    def respond(self, handler: Any, body: bytes) -> None:
        self.connections.append(handler.connection)
        self.dead.wait(60)
        raise ConnectionAbortedError

    def die(self) -> None:
        self.server.socket.close()
        for connection in self.connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self.dead.set()

    def close(self) -> None:
        self.die()
        super().close()


def test_state_is_released_when_the_replica_that_was_to_fetch_it_dies(loopback: LoopbackDispatcher) -> None:  # noqa: F811
    """The prefill replica releases nothing while the fetch is in flight, so the release has to follow its end."""
    prefill, decode = Reader(), FailingWriter()
    prefill.end_read.set()
    cancel_attempt(loopback, prefill, decode, decode)
    decode.wait_for("DELETE", count=3)
    while prefill.releases.acquire(blocking=False):
        pass
    decode.die()
    assert prefill.releases.acquire(timeout=RELEASE_TIMEOUT_S), "no release followed the end of the fetch"
