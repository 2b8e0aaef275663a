"""The log of a truncated answer names its request, the side that ended it and what was still in flight."""

import threading
from typing import Any

import pytest

from tests.platform.test_owed import LoopbackDispatcher, loopback, request
from tests.standins import STREAM_CHUNKS, Standin

__all__ = ["loopback"]


def partial_answer_replica(end: threading.Event) -> Standin:
    """Return a replica that writes one event and closes its connection when `end` is set."""
    server = Standin()

    def respond(handler: Any, body: bytes) -> None:
        handler.chunks(STREAM_CHUNKS[0], last=False)
        end.wait(20)
        handler.close_connection = True

    server.respond = respond
    return server


@pytest.mark.parametrize(
    ("client_disconnects", "why", "counter", "reason"),
    [(True, "client-left", "left_in_answer", "called-off"), (False, "broken", "broken", "lost-eof")],
)
def test_a_truncated_answer_is_logged_with_its_request_and_connection(
    loopback: LoopbackDispatcher, client_disconnects: bool, why: str, counter: str, reason: str
) -> None:
    end = threading.Event()
    program = loopback.start((partial_answer_replica(end), "all-in-one"))
    client = loopback.connect()
    client.sendall(request("cut-1"))
    assert STREAM_CHUNKS[0] in client.recv(65_536)
    client.close() if client_disconnects else end.set()
    program.wait_line(rf"answer cut request=\d+ id=cut-1 replica=\d+ why={why} silent_us=\d+")
    program.wait_line(rf"side=server .* reason={reason} exchanges=1 cut=cut-1")
    assert program.counters()[counter] == 1
    end.set()
