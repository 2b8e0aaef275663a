"""Usual clients are served beside many others whose input takes long to read, on the real program (docs/incidents)."""

import contextlib
import socket
from collections.abc import Callable

import pytest

from tests.platform.test_owed import (  # noqa: F401
    SERVED,
    LoopbackDispatcher,
    StoppedProcess,
    loopback,
    read_answer,
    request,
)
from tests.proc import tcp_sockets
from tests.standins import Standin

BAD_CLIENTS = 200
BODY_BYTES = 250_000
DEPTH = 400
CHUNKS = 60_000  # of one byte each
HEADERS = 4_000  # that fit into one head
SHORT_FIELDS = 7_900  # as above, of two bytes and a line end
SOCKETS = 256  # which leave room for about a hundred clients
USUAL_TIMEOUT_MS = 3_000
SLACK_S = 0.5  # an answer later than this after its time is a lost one
LIMITS = {"sockets": 1024, "memory_mb": 192}
FEW_SOCKETS = {"sockets": SOCKETS, "memory_mb": 192}


def nested_brackets(head: bytes) -> bytes:
    """JSON whose parts become a hundred thousand objects of a parser, and whose last byte is missing."""
    part = b"[" * DEPTH + b"]" * DEPTH + b","
    body = b'{"messages":[' + part * (BODY_BYTES // len(part)) + b"0]"
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def chunks_of_one_byte(head: bytes) -> bytes:
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\n[\r\n" * CHUNKS + b"0\r\n\r\n"


def many_headers(head: bytes) -> bytes:
    headers = b"".join(b"%x:\r\n" % number for number in range(0x1000, 0x1000 + HEADERS))
    return head + headers + b"Content-Length: 0\r\n\r\n"


def many_short_fields(head: bytes) -> bytes:
    return head + b"a:\r\n" * SHORT_FIELDS


SHAPES: list[Callable[[bytes], bytes]] = [nested_brackets, chunks_of_one_byte, many_headers]


@pytest.mark.parametrize("shape", SHAPES)
def test_a_usual_request_is_answered_in_time_beside_many_clients_whose_input_takes_long_to_read(
    loopback: LoopbackDispatcher,  # noqa: F811
    shape: Callable[[bytes], bytes],
) -> None:
    """Guards against review/2: one tick of the event loop read and checked the bodies of all clients that had sent one,
    and usual requests had no answer half a second after their time."""
    program = loopback.start((Standin(), "all-in-one"), limits=LIMITS)
    with StoppedProcess(program):
        for number in range(BAD_CLIENTS):
            head = request(f"bad{number}", "advice").partition(b"Content-Length")[0]
            client = loopback.connect()
            client.setblocking(False)
            client.send(shape(head))  # as much as the system buffers
        usual = loopback.connect()
        usual.sendall(request("usual", "advice", USUAL_TIMEOUT_MS))
    usual.settimeout(USUAL_TIMEOUT_MS / 1000 + SLACK_S)
    assert read_answer(usual) == (200, SERVED)
    assert program.counters()["longest_tick_us"] < SLACK_S * 1e6


def unread_bytes(port: int) -> int:
    """Return how many bytes sent to this port its program has not read yet."""
    return sum(each.receive_queue for each in tcp_sockets() if each.local_port == port) + sum(
        each.send_queue for each in tcp_sockets() if each.remote_port == port
    )


def statuses_received(clients: list[socket.socket]) -> list[bytes]:
    """Return the statuses that these clients have been sent up to now, without waiting for one."""
    found = []
    for client in clients:
        client.setblocking(False)
        with contextlib.suppress(OSError):
            found.append(client.recv(12)[9:])
    return found


def test_a_usual_request_goes_before_the_input_of_clients_that_send_very_many_short_fields(
    loopback: LoopbackDispatcher,  # noqa: F811
) -> None:
    """Guards against picture (b) of the second review: half of such heads counted as short requests, of which each
    client's next piece was read before a usual request; beside 900 clients that took seconds."""
    program = loopback.start((Standin(), "all-in-one"), limits=LIMITS)
    usual = loopback.connect()
    head = many_short_fields(request("bad", "advice").partition(b"Content-Length")[0])
    with StoppedProcess(program):
        for _ in range(BAD_CLIENTS):
            loopback.connect().sendall(head)
        sent = unread_bytes(program.port)
    while unread_bytes(program.port) > sent * 9 // 10:
        pass
    with StoppedProcess(program):
        usual.sendall(request("usual", "advice", USUAL_TIMEOUT_MS))
        before = unread_bytes(program.port)
    usual.settimeout(USUAL_TIMEOUT_MS / 1000 + SLACK_S)
    assert read_answer(usual) == (200, SERVED)
    assert before - unread_bytes(program.port) < sent / 10


def test_clients_that_send_very_many_short_fields_do_not_keep_their_places_from_usual_clients(
    loopback: LoopbackDispatcher,  # noqa: F811
) -> None:
    """The same picture by another path: a connection with unread input was never closed for another one, so that a
    usual client waited in the accept queue until enough of the others had been read to their end or timed out."""
    program = loopback.start((Standin(), "all-in-one"), limits=FEW_SOCKETS)
    head = many_short_fields(request("bad", "advice").partition(b"Content-Length")[0])
    bad = []
    with StoppedProcess(program):
        for _ in range(BAD_CLIENTS):
            bad.append(loopback.connect())
            bad[-1].sendall(head)
        usual = loopback.connect()
        usual.sendall(request("usual", "advice", USUAL_TIMEOUT_MS))
    usual.settimeout(USUAL_TIMEOUT_MS / 1000 + SLACK_S)
    assert read_answer(usual) == (200, SERVED)
    received = statuses_received(bad)
    assert received.count(b"503") >= BAD_CLIENTS - SOCKETS // 2
    assert received.count(b"408") + received.count(b"431") < BAD_CLIENTS / 10
