"""The end of a client's connection is noticed behind input that its dispatcher's machine has not received yet."""

import socket
import time
from collections.abc import Callable

import pytest

from tests.platform.test_owed import (  # noqa: F401
    CONNECTION_ENDS,
    FLOOD,
    LoopbackDispatcher,
    StoppedProcess,
    loopback,
    request,
)
from tests.proc import tcp_sockets
from tests.standins import Standin

INPUT_BYTES = 32 << 20  # more than both buffers hold
QUIET_S = 0.05
LATE_S = 0.1  # after its client has closed, no attempt may begin
NOISE = b"z" * INPUT_BYTES
LARGE_REQUEST = request("large").partition(b"Content-Length")[0] + b"Content-Length: 200000\r\n\r\n" + b" " * 200_000


def send_what_is_buffered(client: socket.socket, data: bytes) -> None:
    """Send until the system has taken nothing for a while and holds bytes that it cannot pass on to the other side."""
    ports = client.getsockname()[1], client.getpeername()[1]
    client.setblocking(False)
    sent = 0
    quiet_since = time.monotonic()
    while time.monotonic() - quiet_since < QUIET_S:
        try:
            sent += client.send(data[sent:])
            quiet_since = time.monotonic()
        except BlockingIOError:
            pass
    assert sent < len(data)
    queue = next(each.send_queue for each in tcp_sockets() if (each.local_port, each.remote_port) == ports)
    assert queue > 0


@pytest.mark.parametrize(
    "input_behind", [FLOOD * 4_000, LARGE_REQUEST * 160, NOISE], ids=["requests", "bodies", "noise"]
)
@pytest.mark.parametrize("end", CONNECTION_ENDS[:2])  # a reset drops what is not received
def test_no_attempt_begins_for_a_client_that_closed_with_much_unread(
    loopback: LoopbackDispatcher,  # noqa: F811
    end: Callable[[socket.socket], None],
    input_behind: bytes,
) -> None:
    """Guards against picture (c) of the second review: the end of such a connection is not known to the system until
    what is before it has been read, and its request was sent on."""
    server = Standin()
    loopback.start((server, "all-in-one"))
    client = loopback.connect()
    with StoppedProcess(loopback.program):
        send_what_is_buffered(client, request("a") + input_behind)
        end(client)
        late = time.monotonic() + LATE_S
        while time.monotonic() < late:
            pass
    loopback.wait_for_counters(lambda counters: counters["left"])
    assert server.post_count == 0
