"""What the program must still do when a client, replica or process ends or is replaced (docs/design/owed.md).

The real program runs on loopback. Each race is forced by the order of events: while the program is stopped (SIGSTOP),
the system receives input in that order, and all of it is pending when the program continues."""

import http.client
import json
import os
import signal
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from tests.platform.test_leaving import LateReplica
from tests.proc import SYN_SENT, tcp_sockets
from tests.standins import SETTINGS, STREAM_CHUNKS, STREAM_END, Discovery, Program, Standin, StandinHandler, platform

PATH = "/v1/chat/completions"
BODY = json.dumps({"model": "chat", "stream": True, "messages": []}).encode()
SERVED = b"".join(STREAM_CHUNKS) + STREAM_END
# Connects and attempts outlast the retransmissions of a SYN after 1, 3 and 7 s.
SLOW_CONNECT = {
    **SETTINGS,
    "allowed": {**SETTINGS["allowed"], "connect-timeout": 8_000_000},
    "classes": [{**each, "aim": 9_000_000} for each in SETTINGS["classes"]],
}


def request(id: str, cls: str = "job-booking", wait_ms: int = 9000) -> bytes:
    return (
        f"POST {PATH} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {cls}\r\n"
        f"Request-Timeout-Ms: {wait_ms}\r\nRequest-Info: prompt_len=3000,max_out=100\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    ).encode() + BODY


def read_answer(sock: socket.socket) -> tuple[int, bytes]:
    """Read one complete answer. Returns (0, b"") if the connection ends without one, or in the middle of its body."""
    response = http.client.HTTPResponse(sock)
    try:
        response.begin()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""


def is_open_and_silent(sock: socket.socket) -> bool:
    """Return whether nothing has arrived on the connection, neither data nor its end."""
    sock.setblocking(False)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    finally:
        sock.settimeout(20)
    return False


class StoppedProcess:
    """Stops the program within the block. Its input stays pending in the order in which it arrived."""

    def __init__(self, program: Program) -> None:
        self.pid = program.process.pid

    def __enter__(self) -> None:
        os.kill(self.pid, signal.SIGSTOP)
        end = time.monotonic() + 20
        while open(f"/proc/{self.pid}/stat").read().rpartition(")")[2].split()[0] != "T":
            assert time.monotonic() < end

    def __exit__(self, *error: object) -> None:
        os.kill(self.pid, signal.SIGCONT)


def wait_connecting(late: LateReplica) -> None:
    """Wait until a connection to the replica is being opened."""
    _, port = late.sock.getsockname()
    end = time.monotonic() + 20
    while not any(each.remote_port == port and each.state == SYN_SENT for each in tcp_sockets()):
        assert time.monotonic() < end


class LoopbackDispatcher:
    """One dispatcher, its agent and the replicas that the agent lists. All of them end with the test."""

    def __init__(self) -> None:
        self.resources: list[Any] = []

    def start(self, *servers: tuple[Any, str], **changes: Any) -> Program:
        self.discovery = Discovery(*((f"s-{n}", server.address, kind) for n, (server, kind) in enumerate(servers)))
        self.program = platform(self.discovery.address, **changes)
        self.resources += [self.discovery, *(server for server, _ in servers)]
        self.program.wait_ready()
        return self.program

    def connect(self) -> socket.socket:
        sock = socket.create_connection((self.program.host, self.program.port), timeout=20)
        self.resources.append(sock)
        return sock

    def wait_for_counters(self, condition: Callable[[dict[str, Any]], Any]) -> None:
        """Wait until the program's counters meet a condition. One connection is used for all polls."""
        connection = self.program.connect()
        end = time.monotonic() + 20
        while True:
            connection.request("GET", "/counters")
            counters = json.loads(connection.getresponse().read())
            if condition(counters):
                return connection.close()
            assert time.monotonic() < end, counters

    def end(self) -> None:
        self.program.kill()
        for thing in self.resources:
            thing.close()


@pytest.fixture
def loopback() -> Iterator[LoopbackDispatcher]:
    dispatcher = LoopbackDispatcher()
    yield dispatcher
    dispatcher.end()


def close(sock: socket.socket) -> None:
    sock.close()


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


CONNECTION_ENDS = [close, half_close, reset]
FLOOD = b"".join(request(f"f{n}") for n in range(40))
PARTIAL_REQUEST = request("big").partition(b"Content-Length")[0] + b"Content-Length: 200000\r\n\r\n" + b" " * 150_000


def test_no_attempt_begins_for_a_client_that_disconnects_right_after_its_request(loopback: LoopbackDispatcher) -> None:
    """When the program reads the request, the end of the connection has already arrived, with up to a flood of further
    requests between the two. An idle connection to the replica is ready to carry the request."""
    server = Standin()
    program = loopback.start((server, "all-in-one"))
    before = loopback.connect()
    for n, (more, end) in enumerate(
        (more, end) for more in (b"", request("p1"), FLOOD, PARTIAL_REQUEST) for end in CONNECTION_ENDS
    ):
        before.sendall(request(f"b{n}"))
        assert read_answer(before) == (200, SERVED)
        rested = time.monotonic() + 0.1  # the replica connection may carry another request by then
        client = loopback.connect()
        with StoppedProcess(program):
            client.sendall(request(f"a{n}") + more)
            end(client)
            while time.monotonic() < rested:
                pass

        def has_left(counters: dict[str, Any], n: int = n) -> bool:
            return bool(counters["left"] > n)

        loopback.wait_for_counters(has_left)
        assert server.post_count == n + 1, (end, more[:200])
    before.sendall(request("a0"))  # no trace of that request is left: its id may be used again
    assert read_answer(before) == (200, SERVED)


@pytest.mark.parametrize("end", CONNECTION_ENDS)
def test_no_request_is_sent_if_the_client_disconnects_while_the_replica_connection_opens(
    loopback: LoopbackDispatcher, end: Callable[[socket.socket], None]
) -> None:
    """The connection to the replica opens before the client disconnects, so the event loop handles it first."""
    late = LateReplica()
    program = loopback.start((late, "all-in-one"), settings=SLOW_CONNECT)
    client = loopback.connect()
    client.sendall(request("a1"))
    wait_connecting(late)
    with StoppedProcess(program):
        late.accept_from_now_on()
        assert late.accepted.acquire(timeout=20)
        end(client)
    loopback.wait_for_counters(lambda counters: counters["left"])
    assert (late.bytes_received, program.counters()["sent"]) == (0, 1)


def test_a_disconnect_behind_a_flood_of_requests_is_noticed(loopback: LoopbackDispatcher) -> None:
    """Its request is in flight. A flood of requests behind it used to stop the reading of the connection's end."""
    server = Standin()
    server.respond = lambda handler, body: handler.connection.recv(1)
    program = loopback.start((server, "all-in-one"))
    client = loopback.connect()
    client.sendall(request("a1") + FLOOD)
    server.wait_for("POST")
    client.close()
    loopback.wait_for_counters(
        lambda counters: counters["outcomes"].get("cancelled") or counters["outcomes"].get("timeout")
    )
    counters = program.counters()
    assert (counters["outcomes"], counters["left"], server.post_count) == ({"cancelled": 1}, 1, 1)


def test_the_first_requests_of_a_flood_on_one_connection_are_answered_and_then_it_is_closed(
    loopback: LoopbackDispatcher,
) -> None:
    """The number of queued requests is bounded. The rest is read and discarded, so that the end is still seen."""
    server = Standin()
    server.respond = lambda handler, body: (server.release_answers.wait(20), handler.chunks(*STREAM_CHUNKS, STREAM_END))
    loopback.start((server, "all-in-one"))
    client = loopback.connect()
    client.sendall(FLOOD)
    server.release_answers.set()
    got = b"".join(iter(lambda: client.recv(65_536), b""))
    assert [part[:3] for part in got.split(b"HTTP/1.1 ")[1:]] == [b"200"] * 5 + [b"429"]
    assert server.post_count == 5


def test_a_request_on_an_idle_connection_that_is_about_to_be_closed_is_answered(loopback: LoopbackDispatcher) -> None:
    """The request was read in the same iteration of the event loop in which another client connected and the longest
    idle connection was closed for it. The request was lost with that connection."""
    server = Standin()
    program = loopback.start((server, "all-in-one"), limits={"sockets": 64})
    idle = list[socket.socket]()
    for n in range(16):  # twice as many as the limit allows
        idle.append(loopback.connect())
        idle[-1].sendall(request(f"i{n}"))
        assert read_answer(idle[-1]) == (200, SERVED)
    oldest = next(sock for sock in idle if is_open_and_silent(sock))
    with StoppedProcess(program):
        oldest.sendall(request("last"))
        others = [loopback.connect() for _ in range(2)]
        for n, other in enumerate(others):  # otherwise one that has sent no request yet would be closed first
            other.sendall(request(f"o{n}"))
    for sock in (oldest, *others):
        assert read_answer(sock) == (200, SERVED)
    assert server.post_count == 19
    assert sum(map(is_open_and_silent, idle)) < 8  # another connection was closed instead


def test_a_keyed_request_is_not_retried_after_its_window(loopback: LoopbackDispatcher) -> None:
    """The replica is chosen within the window, but its connection opens later. A rejection is harmless: all replicas
    discard repeated requests."""
    window = 2_500_000
    keyed = {
        **SLOW_CONNECT,
        "classes": [{**SETTINGS["classes"][1], "effect": "idempotency_key", "group": "all", "window": window}],
    }
    first, late = Standin(), LateReplica()
    first.respond = lambda handler, body: (first.release_answers.wait(20), handler.send_response_body(500))
    program = loopback.start((first, "all-in-one"), settings=keyed)
    client = loopback.connect()
    client.sendall(request("k1"))
    first.wait_for("POST")
    since = time.monotonic()
    loopback.discovery.update(("s-0", first.address, "all-in-one"), ("s-1", late.address, "all-in-one"))
    loopback.discovery.wait_for("GET", "/v1/endpoints?after=2")
    first.release_answers.set()
    wait_connecting(late)
    with StoppedProcess(program):
        late.accept_from_now_on()
        assert late.accepted.acquire(timeout=20)
        while time.monotonic() < since + window / 1e6:
            pass
    assert read_answer(client)[0] == 503
    assert late.bytes_received == 0


def test_no_second_fetch_begins_while_the_prefill_replica_is_silent(loopback: LoopbackDispatcher) -> None:
    """If the other fetch found no state, no attempt would remain open, and the held state could not be released."""
    silent, fetch_closed = threading.Event(), threading.Event()
    prefill, decode_replicas = Standin(), [Standin(), Standin()]
    fetches: list[Standin] = []

    def read(handler: StandinHandler, body: bytes) -> None:
        if handler.command == "DELETE":
            silent.wait(20)
            return handler.send_response_body(204)
        handler.send_response_body(202, b'{"cached_tokens":0}')

    def write(handler: StandinHandler, body: bytes) -> None:
        if handler.command == "DELETE":
            return handler.send_response_body(204)
        fetches.append(handler.standin)
        if len(fetches) > 1:
            return handler.send_response_body(410, Not_Started="1")
        handler.connection.recv(1)
        fetch_closed.set()

    prefill.respond = read
    for decode in decode_replicas:
        decode.respond = write
    loopback.start((prefill, "reader"), (decode_replicas[0], "writer"), (decode_replicas[1], "writer"))
    client = loopback.connect()
    client.sendall(request("h1", "advice", 4000))
    loopback.wait_for_counters(lambda counters: counters["outcomes"].get("timeout"))
    assert read_answer(client)[0] == 503
    assert len(fetches) == 1
    assert not fetch_closed.is_set()
    silent.set()
    assert fetch_closed.wait(20)  # every holder of state now answers, so the state can be released


def test_a_shutdown_waits_for_releases_and_closes_idle_clients_first(loopback: LoopbackDispatcher) -> None:
    """An idle client had connected while connections were still accepted. A request that it sent after that was read
    and lost when the process exited; the releases took another second."""
    answering, replica = threading.Event(), Standin()

    def read(handler: StandinHandler, body: bytes) -> None:
        if handler.command == "DELETE":
            answering.wait(30)
            return handler.send_response_body(204)
        handler.rfile.read(1)  # until its dispatcher closes the connection

    replica.respond = read
    program = loopback.start((replica, "all-in-one"))
    disconnected = loopback.connect()
    disconnected.sendall(request("g1"))
    replica.wait_for("POST")
    disconnected.close()
    replica.wait_for("DELETE")
    program.process.terminate()
    program.wait_line("draining")
    first = loopback.connect()
    assert first.recv(1) == b""  # from here on idle connections are closed
    idle_client = loopback.connect()
    while True:
        try:
            socket.create_connection((program.host, program.port)).close()
        except ConnectionRefusedError:
            break
    assert idle_client.recv(1) == b""
    deletes = sum(method == "DELETE" for method, _ in replica.calls)
    replica.wait_for("DELETE", count=deletes + 2)
    answering.set()
    assert program.process.wait(20) == 0


def test_idle_clients_leave_descriptors_for_discovery_replicas_and_new_requests(loopback: LoopbackDispatcher) -> None:
    """Discovery is silent and called repeatedly meanwhile. A client with an open request keeps its connection."""
    server, answering = Standin(), threading.Event()
    known = [
        {
            "uid": "s-0",
            "endpoint": server.address,
            "az": "north",
            "model": "all-in-one",
            "pod_group": 1,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
    ]
    agent = Discovery(("s-0", server.address, "all-in-one"))
    answer_as_usual = agent.respond
    agent.respond = lambda handler, body: (answering.wait(20), answer_as_usual(handler, body))
    loopback.program = program = platform(agent.address, known, files=256)
    loopback.resources += [agent, server]
    program.wait_ready()
    server.respond = lambda handler, body: (server.release_answers.wait(20), handler.chunks(*STREAM_CHUNKS, STREAM_END))
    open_client = loopback.connect()
    open_client.sendall(request("o1"))
    server.wait_for("POST")
    idle_clients = [loopback.connect() for _ in range(400)]
    server.respond = lambda handler, body: handler.chunks(*STREAM_CHUNKS, STREAM_END)
    client = loopback.connect()
    client.sendall(request("n1"))
    assert read_answer(client) == (200, SERVED)
    assert any(map(is_open_and_silent, idle_clients))
    assert not all(map(is_open_and_silent, idle_clients))
    lists = program.counters()["lists"]
    agent.update(*agent.targets)
    answering.set()
    loopback.wait_for_counters(lambda counters: counters["lists"] > lists)
    server.release_answers.set()
    assert read_answer(open_client) == (200, SERVED)


def write_until(over: threading.Event, handler: Any) -> None:
    """Write a stream of large events until `over` is set."""
    handler.chunks(last=False)
    while not over.is_set():
        handler.send_chunk(b"data: " + b"x" * 60_000 + b"\n\n")


def write_one_by_one(events: list[bytes], seen: threading.Semaphore, handler: Any) -> None:
    """Write a stream of these events, each after the client has received the one before."""
    handler.chunks(last=False)
    for event in events:
        handler.send_chunk(event)
        assert seen.acquire(timeout=20)
    handler.wfile.write(b"0\r\n\r\n")


def flood_until(over: threading.Event, sock: socket.socket, data: bytes) -> None:
    """Send these bytes repeatedly until `over` is set."""
    try:
        while not over.is_set():
            sock.sendall(data)
    except OSError:
        over.wait(20)  # the program has closed this connection


def test_events_are_forwarded_one_by_one_while_other_clients_flood_or_do_not_read(loopback: LoopbackDispatcher) -> None:
    """The replica writes an event after the client has received the one before: none is delayed by a later event or a
    neighbour."""
    server, seen, over = Standin(), threading.Semaphore(0), threading.Event()
    events = [b'data: {"n":%d}\n\n' % n for n in range(20)]

    def respond(handler: Any, body: bytes) -> None:
        match handler.headers["Request-Id"]:
            case "deaf":
                write_until(over, handler)
            case "s1":
                write_one_by_one(events, seen, handler)
            case _:
                handler.chunks(*STREAM_CHUNKS, STREAM_END)

    server.respond = respond
    loopback.start((server, "all-in-one"))
    floods = [
        threading.Thread(target=flood_until, args=(over, loopback.connect(), data), daemon=True)
        for data in (request("f") * 50, b"x" * 60_000, b"P")
    ]
    deaf = loopback.connect()
    deaf.sendall(request("deaf"))
    for flood in floods:
        flood.start()
    client = loopback.connect()
    client.sendall(request("s1"))
    response = http.client.HTTPResponse(client)
    try:
        response.begin()
        for event in events:
            assert response.read(len(event)) == event
            seen.release()
        assert response.read() == b""
    finally:
        over.set()
    for flood in floods:
        flood.join(20)
