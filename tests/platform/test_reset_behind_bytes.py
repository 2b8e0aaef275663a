"""A connection that is reset directly after its last bytes, with the real program on loopback.

While the program is stopped (SIGSTOP) the system receives the bytes and the reset, in that order, so one iteration of
the event loop gets both. No test here depends on a time: each checks the reason for which the connection ended."""

import pathlib
import socket
import threading
from typing import Any

import pytest

from tests.platform.test_clock_steps import start
from tests.platform.test_owed import Day, Stopped, answer, day, request, reset
from tests.standins import LAST, TOKENS, Discovery, Standin

__all__ = ["day"]
RESET_SEEN = "server lost-ConnectionResetError"


def reset_from(handler: Any) -> None:
    """Reset the connection of a simulated replica's handler."""
    handler.close_connection = True
    handler.rfile.close()  # it would keep the socket open
    reset(handler.connection)


def ended_by(day: Any, *reasons: str) -> str:
    """Return the first of these reasons for which the program has ended a connection."""
    day.until(lambda counters: any(counters["connections"].get(reason) for reason in reasons))
    connections = day.program.counters()["connections"]
    return next(reason for reason in reasons if connections.get(reason))


def body_until_its_end(sock: socket.socket) -> bytes:
    """Return the rest of an answer, complete or not."""
    got = b""
    while data := sock.recv(65_536):
        got += data
    return got


@pytest.mark.parametrize("behind", [TOKENS[1], TOKENS[1][:20]], ids=["an event", "half an event"])
def test_a_reset_behind_an_event_ends_the_answer_of_its_client(day: Day, behind: bytes) -> None:
    """Incident 40: the reset was not noticed, and the client was left waiting for the rest."""
    server, stopped, gone = Standin(), threading.Event(), threading.Event()

    def respond(handler: Any, body: bytes) -> None:
        handler.chunks(TOKENS[0], last=False)
        stopped.wait(20)
        handler.more(behind)
        reset_from(handler)
        gone.set()

    server.respond = respond
    program = day.start((server, "all-in-one"))
    client = day.connect()
    client.sendall(request("s1"))
    assert TOKENS[0] in client.recv(65_536)
    with Stopped(program):
        stopped.set()
        assert gone.wait(20)
    assert ended_by(day, "server stalled", RESET_SEEN) == RESET_SEEN
    rest = body_until_its_end(client)
    assert (TOKENS[1] in rest) == (behind == TOKENS[1])
    assert not rest.endswith(b"0\r\n\r\n")  # the answer is not marked as complete


def test_a_reset_behind_half_a_list_is_seen_and_the_list_asked_for_again(day: Day) -> None:
    """A change counts as reported as soon as discovery has it, but the call ended only at its timeout."""
    server, called, stopped, gone = Standin(), threading.Event(), threading.Event(), threading.Event()
    program = day.start((server, "all-in-one"))
    list_as_usual = day.discovery.respond

    def respond(handler: Any, body: bytes) -> None:
        day.discovery.respond = list_as_usual
        called.set()
        stopped.wait(20)
        handler.wfile.write(b'HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{"rev":')
        reset_from(handler)
        gone.set()

    day.discovery.respond = respond
    day.discovery.update(*day.discovery.targets)
    assert called.wait(20)
    with Stopped(program):
        stopped.set()
        assert gone.wait(20)
    assert ended_by(day, "server call-failed", RESET_SEEN) == RESET_SEEN


def test_a_client_that_resets_behind_more_bytes_is_seen_while_its_request_is_out(day: Day) -> None:
    server = Standin()
    server.respond = lambda handler, body: (server.go.wait(20), handler.chunks(*TOKENS, LAST))
    program = day.start((server, "all-in-one"))
    client = day.connect()
    client.sendall(request("c1", "advice", 3000))
    server.wait_for("POST")
    with Stopped(program):
        client.sendall(request("c2"))
        reset(client)
    day.until(lambda counters: counters["outcomes"].get("cancelled") or counters["outcomes"].get("timeout"))
    assert program.counters()["outcomes"] == {"cancelled": 1}
    other = day.connect()
    server.go.set()
    other.sendall(request("c1", "advice"))  # no trace of that request is left: its id may be used again
    assert answer(other)[0] == 200


class Unread:
    """A replica that accepts one connection and reads nothing."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.taken: socket.socket | None = None

    def take(self) -> socket.socket:
        self.sock.settimeout(20)
        self.taken = self.sock.accept()[0]
        return self.taken

    def close(self) -> None:
        self.sock.close()
        if self.taken:
            self.taken.close()


@pytest.mark.parametrize("early", [b"", b"HTTP/1.1 200 OK\r\n"], ids=["nothing", "half a head"])
def test_a_reset_while_a_request_waits_to_be_written_ends_its_attempt(
    day: Day, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, early: bytes
) -> None:
    """The system accepts no byte of the request. Its last byte was never written, so it was never executed."""
    stuck = Unread()
    day.discovery = Discovery(("s-0", stuck.address, "all-in-one"))
    day.things += [day.discovery, stuck]
    day.program, command = start(tmp_path, day.discovery, monkeypatch)
    day.program.wait_ready()
    command("fail send-server EAGAIN 1")
    day.until(lambda counters: counters["lists"] and not counters["connections"].get("server idle"))
    client = day.connect()
    client.sendall(request("w1"))
    connection = stuck.take()
    with Stopped(day.program):
        connection.sendall(early)
        reset(connection)
        stuck.sock.close()  # further connections are refused
    assert answer(client)[0] == 503
    assert set(day.program.counters()["outcomes"]) == {"unreachable"}
