"""A connection that is reset directly after its last bytes, with the real program on loopback.

While the program is stopped (SIGSTOP) the system receives the bytes and the reset, in that order, so one iteration of
the event loop gets both. No test here depends on a time: each checks the reason for which the connection ended."""

import pathlib
import socket
import threading
from typing import Any

import pytest

from tests.platform.test_clock_steps import start
from tests.platform.test_owed import LoopbackDispatcher, StoppedProcess, loopback, read_answer, request, reset
from tests.standins import STREAM_CHUNKS, STREAM_END, Discovery, Standin

__all__ = ["loopback"]
RESET_SEEN = "server lost-ConnectionResetError"


def reset_from(handler: Any) -> None:
    """Reset the connection of a simulated replica's handler."""
    handler.close_connection = True
    handler.rfile.close()  # it would keep the socket open
    reset(handler.connection)


def end_reason(loopback: Any, *reasons: str) -> str:
    """Return the first of these reasons for which the program has ended a connection."""
    loopback.wait_for_counters(lambda counters: any(counters["connections"].get(reason) for reason in reasons))
    connections = loopback.program.counters()["connections"]
    return next(reason for reason in reasons if connections.get(reason))


def body_until_its_end(sock: socket.socket) -> bytes:
    """Return the rest of an answer, complete or not."""
    got = b""
    while data := sock.recv(65_536):
        got += data
    return got


@pytest.mark.parametrize("trailing", [STREAM_CHUNKS[1], STREAM_CHUNKS[1][:20]], ids=["an event", "half an event"])
def test_a_reset_after_an_event_truncates_the_answer(loopback: LoopbackDispatcher, trailing: bytes) -> None:
    """Incident 40: the reset was not noticed, and the client was left waiting for the rest."""
    server, stopped, was_reset = Standin(), threading.Event(), threading.Event()

    def respond(handler: Any, body: bytes) -> None:
        handler.chunks(STREAM_CHUNKS[0], last=False)
        stopped.wait(20)
        handler.send_chunk(trailing)
        reset_from(handler)
        was_reset.set()

    server.respond = respond
    program = loopback.start((server, "all-in-one"))
    client = loopback.connect()
    client.sendall(request("s1"))
    assert STREAM_CHUNKS[0] in client.recv(65_536)
    with StoppedProcess(program):
        stopped.set()
        assert was_reset.wait(20)
    assert end_reason(loopback, "server stalled", RESET_SEEN) == RESET_SEEN
    rest = body_until_its_end(client)
    assert (STREAM_CHUNKS[1] in rest) == (trailing == STREAM_CHUNKS[1])
    assert not rest.endswith(b"0\r\n\r\n")  # the answer is not marked as complete


def test_a_reset_in_the_middle_of_a_list_ends_the_call(loopback: LoopbackDispatcher) -> None:
    """A change counts as reported as soon as discovery has it, but the call ended only at its timeout."""
    server, called, stopped, was_reset = Standin(), threading.Event(), threading.Event(), threading.Event()
    program = loopback.start((server, "all-in-one"))
    list_as_usual = loopback.discovery.respond

    def respond(handler: Any, body: bytes) -> None:
        loopback.discovery.respond = list_as_usual
        called.set()
        stopped.wait(20)
        handler.wfile.write(b'HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{"rev":')
        reset_from(handler)
        was_reset.set()

    loopback.discovery.respond = respond
    loopback.discovery.update(*loopback.discovery.targets)
    assert called.wait(20)
    with StoppedProcess(program):
        stopped.set()
        assert was_reset.wait(20)
    assert end_reason(loopback, "server call-failed", RESET_SEEN) == RESET_SEEN


def test_a_client_reset_after_more_bytes_cancels_the_open_request(loopback: LoopbackDispatcher) -> None:
    server = Standin()
    server.respond = lambda handler, body: (server.release_answers.wait(20), handler.chunks(*STREAM_CHUNKS, STREAM_END))
    program = loopback.start((server, "all-in-one"))
    client = loopback.connect()
    client.sendall(request("c1", "advice", 3000))
    server.wait_for("POST")
    with StoppedProcess(program):
        client.sendall(request("c2"))
        reset(client)
    loopback.wait_for_counters(
        lambda counters: counters["outcomes"].get("cancelled") or counters["outcomes"].get("timeout")
    )
    assert program.counters()["outcomes"] == {"cancelled": 1}
    other = loopback.connect()
    server.release_answers.set()
    other.sendall(request("c1", "advice"))  # no trace of that request is left: its id may be used again
    assert read_answer(other)[0] == 200


class NonReadingReplica:
    """A replica that accepts one connection and reads nothing."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.accepted: socket.socket | None = None

    def accept(self) -> socket.socket:
        self.sock.settimeout(20)
        self.accepted = self.sock.accept()[0]
        return self.accepted

    def close(self) -> None:
        self.sock.close()
        if self.accepted:
            self.accepted.close()


@pytest.mark.parametrize("early", [b"", b"HTTP/1.1 200 OK\r\n"], ids=["nothing", "half a head"])
def test_a_reset_while_a_request_waits_to_be_written_ends_its_attempt(
    loopback: LoopbackDispatcher, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, early: bytes
) -> None:
    """The system accepts no byte of the request. Its last byte was never written, so it was never executed."""
    stuck = NonReadingReplica()
    loopback.discovery = Discovery(("s-0", stuck.address, "all-in-one"))
    loopback.resources += [loopback.discovery, stuck]
    loopback.program, command = start(tmp_path, loopback.discovery, monkeypatch)
    loopback.program.wait_ready()
    command("fail send-server EAGAIN 1")
    loopback.wait_for_counters(lambda counters: counters["lists"] and not counters["connections"].get("server idle"))
    client = loopback.connect()
    client.sendall(request("w1"))
    connection = stuck.accept()
    with StoppedProcess(loopback.program):
        connection.sendall(early)
        reset(connection)
        stuck.sock.close()  # further connections are refused
    assert read_answer(client)[0] == 503
    assert set(loopback.program.counters()["outcomes"]) == {"unreachable"}
