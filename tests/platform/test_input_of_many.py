"""Usual clients are served beside many others whose input takes long to read, on the real program (docs/incidents)."""

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
from tests.standins import Standin

BAD_CLIENTS = 200
BODY_BYTES = 250_000
DEPTH = 400
CHUNKS = 60_000  # of one byte each
HEADERS = 4_000  # that fit into one head
USUAL_TIMEOUT_MS = 3_000
SLACK_S = 0.5  # an answer later than this after its time is a lost one
LIMITS = {"sockets": 1024, "memory_mb": 192}


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
