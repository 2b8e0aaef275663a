"""What the program must still do when a client, replica or process ends or is replaced (docs/design/owed.md).

The real program runs on loopback. Each race is forced by the order of events: while the program is stopped (SIGSTOP),
the system receives input in that order, and all of it is pending when the program continues."""

import http.client
import json
import os
import pathlib
import signal
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from tests.platform.test_leaving import LateReplica
from tests.standins import LAST, SETTINGS, TOKENS, Discovery, Program, Standin, StandinHandler, platform

PATH = "/v1/chat/completions"
BODY = json.dumps({"model": "chat", "stream": True, "messages": []}).encode()
SERVED = b"".join(TOKENS) + LAST
SLOW_CONNECT = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "connect-timeout": 8_000_000}}


def request(id: str, cls: str = "job-booking", wait_ms: int = 9000) -> bytes:
    return (
        f"POST {PATH} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {cls}\r\n"
        f"Request-Timeout-Ms: {wait_ms}\r\nRequest-Info: prompt_len=3000,max_out=100\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    ).encode() + BODY


def answer(sock: socket.socket) -> tuple[int, bytes]:
    """Read one complete answer. Returns (0, b"") if the connection ends without one, or in the middle of its body."""
    response = http.client.HTTPResponse(sock)
    try:
        response.begin()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""


def stands(sock: socket.socket) -> bool:
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


class Stopped:
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
    """Wait until /proc/net/tcp shows a connection to the replica that is being opened (SYN_SENT)."""
    _, port = late.sock.getsockname()
    end = time.monotonic() + 20
    while True:
        lines = [line.split() for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]]
        if any(line[2].endswith(f":{port:04X}") and line[3] == "02" for line in lines):
            return
        assert time.monotonic() < end


class Day:
    """One dispatcher, its agent and the replicas that the agent lists. All of them end with the test."""

    def __init__(self) -> None:
        self.things: list[Any] = []

    def start(self, *servers: tuple[Any, str], **changes: Any) -> Program:
        self.discovery = Discovery(*((f"s-{n}", server.address, kind) for n, (server, kind) in enumerate(servers)))
        self.program = platform(self.discovery.address, **changes)
        self.things += [self.discovery, *(server for server, _ in servers)]
        self.program.wait_ready()
        return self.program

    def connect(self) -> socket.socket:
        sock = socket.create_connection((self.program.host, self.program.port), timeout=20)
        self.things.append(sock)
        return sock

    def until(self, what: Callable[[dict[str, Any]], Any]) -> None:
        """Wait until the program's counters meet a condition. One connection is used for all polls."""
        connection = self.program.connect()
        end = time.monotonic() + 20
        while True:
            connection.request("GET", "/counters")
            counters = json.loads(connection.getresponse().read())
            if what(counters):
                return connection.close()
            assert time.monotonic() < end, counters

    def end(self) -> None:
        self.program.kill()
        for thing in self.things:
            thing.close()


@pytest.fixture
def day() -> Iterator[Day]:
    made = Day()
    yield made
    made.end()


def close(sock: socket.socket) -> None:
    sock.close()


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


ENDS = [close, half_close, reset]
FLOOD = b"".join(request(f"f{n}") for n in range(40))
HALF = request("big").partition(b"Content-Length")[0] + b"Content-Length: 200000\r\n\r\n" + b" " * 150_000


def test_nothing_is_begun_for_a_client_whose_end_stands_behind_its_request(day: Day) -> None:
    """When the program reads the request, the end of the connection has already arrived, with up to a flood of further
    requests between the two. An idle connection to the replica is ready to carry the request."""
    server = Standin()
    program = day.start((server, "all-in-one"))
    before = day.connect()
    for n, (more, end) in enumerate((more, end) for more in (b"", request("p1"), FLOOD, HALF) for end in ENDS):
        before.sendall(request(f"b{n}"))
        assert answer(before) == (200, SERVED)
        rested = time.monotonic() + 0.1  # the replica connection may carry another request by then
        client = day.connect()
        with Stopped(program):
            client.sendall(request(f"a{n}") + more)
            end(client)
            while time.monotonic() < rested:
                pass

        def has_left(counters: dict[str, Any], n: int = n) -> bool:
            return bool(counters["left"] > n)

        day.until(has_left)
        assert server.runs == n + 1, (end, more[:200])
    before.sendall(request("a0"))  # no trace of that request is left: its id may be used again
    assert answer(before) == (200, SERVED)


@pytest.mark.parametrize("end", ENDS)
def test_nothing_is_begun_for_a_client_that_has_gone_when_its_connection_to_the_server_comes_up(
    day: Day, end: Callable[[socket.socket], None]
) -> None:
    """The connection to the replica opens before the client disconnects, so the event loop handles it first."""
    late = LateReplica()
    program = day.start((late, "all-in-one"), settings=SLOW_CONNECT)
    client = day.connect()
    client.sendall(request("a1"))
    wait_connecting(late)
    with Stopped(program):
        late.accept_from_now_on()
        assert late.accepted.acquire(timeout=20)
        end(client)
    day.until(lambda counters: counters["left"])
    assert (late.bytes_received, program.counters()["sent"]) == (0, 1)


def test_a_client_that_goes_is_seen_though_it_has_sent_more_than_is_read_of_it(day: Day) -> None:
    """Its request is in flight. A flood of requests behind it used to stop the reading of the connection's end."""
    server = Standin()
    server.respond = lambda handler, body: handler.connection.recv(1)
    program = day.start((server, "all-in-one"))
    client = day.connect()
    client.sendall(request("a1") + FLOOD)
    server.wait_for("POST")
    client.close()
    day.until(lambda counters: counters["outcomes"].get("cancelled") or counters["outcomes"].get("timeout"))
    counters = program.counters()
    assert (counters["outcomes"], counters["left"], server.runs) == ({"cancelled": 1}, 1, 1)


def test_of_a_flood_on_one_connection_the_first_are_answered_and_then_it_ends(day: Day) -> None:
    """The number of queued requests is bounded. The rest is read and discarded, so that the end is still seen."""
    server = Standin()
    server.respond = lambda handler, body: (server.go.wait(20), handler.chunks(*TOKENS, LAST))
    day.start((server, "all-in-one"))
    client = day.connect()
    client.sendall(FLOOD)
    server.go.set()
    got = b"".join(iter(lambda: client.recv(65_536), b""))
    assert [part[:3] for part in got.split(b"HTTP/1.1 ")[1:]] == [b"200"] * 5 + [b"429"]
    assert server.runs == 5


def test_a_request_on_the_connection_that_just_then_makes_room_is_answered(day: Day) -> None:
    """The request was read in the same iteration of the event loop in which another client connected and the longest
    idle connection was closed for it. The request was lost with that connection."""
    server = Standin()
    program = day.start((server, "all-in-one"), limits={"sockets": 64})
    idle = list[socket.socket]()
    for n in range(16):  # twice as many as the limit allows
        idle.append(day.connect())
        idle[-1].sendall(request(f"i{n}"))
        assert answer(idle[-1]) == (200, SERVED)
    oldest = next(sock for sock in idle if stands(sock))
    with Stopped(program):
        oldest.sendall(request("last"))
        others = [day.connect() for _ in range(2)]
        for n, other in enumerate(others):  # otherwise one that has sent no request yet would be closed first
            other.sendall(request(f"o{n}"))
    for sock in (oldest, *others):
        assert answer(sock) == (200, SERVED)
    assert server.runs == 19
    assert sum(map(stands, idle)) < 8  # another connection was closed instead


def test_a_keyed_request_is_not_begun_again_once_its_window_is_over(day: Day) -> None:
    """The replica is chosen within the window, but its connection opens later. A rejection is harmless: all replicas
    discard repeated requests."""
    window = 2_500_000
    keyed = {
        **SLOW_CONNECT,
        "classes": [{**SETTINGS["classes"][1], "effect": "idempotency_key", "group": "all", "window": window}],
    }
    first, late = Standin(), LateReplica()
    first.respond = lambda handler, body: (first.go.wait(20), handler.plain(500))
    program = day.start((first, "all-in-one"), settings=keyed)
    client = day.connect()
    client.sendall(request("k1"))
    first.wait_for("POST")
    since = time.monotonic()
    day.discovery.update(("s-0", first.address, "all-in-one"), ("s-1", late.address, "all-in-one"))
    day.discovery.wait_for("GET", "/v1/endpoints?after=2")
    first.go.set()
    wait_connecting(late)
    with Stopped(program):
        late.accept_from_now_on()
        assert late.accepted.acquire(timeout=20)
        while time.monotonic() < since + window / 1e6:
            pass
    assert answer(client)[0] == 503
    assert late.bytes_received == 0


def test_another_fetch_is_not_begun_while_the_prefill_replica_that_holds_the_state_answers_nothing(day: Day) -> None:
    """If the other fetch found no state, no attempt would remain open, and the held state could not be released."""
    silent, given_up = threading.Event(), threading.Event()
    prefill, decode_replicas = Standin(), [Standin(), Standin()]
    asked: list[Standin] = []

    def read(handler: StandinHandler, body: bytes) -> None:
        if handler.command == "DELETE":
            silent.wait(20)
            return handler.plain(204)
        handler.plain(202, b'{"cached_tokens":0}')

    def write(handler: StandinHandler, body: bytes) -> None:
        if handler.command == "DELETE":
            return handler.plain(204)
        asked.append(handler.standin)
        if len(asked) > 1:
            return handler.plain(410, Not_Started="1")
        handler.connection.recv(1)
        given_up.set()

    prefill.respond = read
    for decode in decode_replicas:
        decode.respond = write
    day.start((prefill, "reader"), (decode_replicas[0], "writer"), (decode_replicas[1], "writer"))
    client = day.connect()
    client.sendall(request("h1", "advice", 4000))
    day.until(lambda counters: counters["outcomes"].get("timeout"))
    assert answer(client)[0] == 503
    assert len(asked) == 1
    assert not given_up.is_set()
    silent.set()
    assert given_up.wait(20)  # every holder of state now answers, so the state can be released


def test_the_end_waits_for_releases_and_ends_whoever_rests_before_it_can_take_a_request_more(day: Day) -> None:
    """An idle client had connected while connections were still accepted. A request that it sent after that was read
    and lost when the process exited; the releases took another second."""
    answering, replica = threading.Event(), Standin()

    def read(handler: StandinHandler, body: bytes) -> None:
        if handler.command == "DELETE":
            answering.wait(30)
            return handler.plain(204)
        handler.rfile.read(1)  # until its dispatcher closes the connection

    replica.respond = read
    program = day.start((replica, "all-in-one"))
    gone = day.connect()
    gone.sendall(request("g1"))
    replica.wait_for("POST")
    gone.close()
    replica.wait_for("DELETE")
    program.process.terminate()
    program.wait_line("draining")
    first = day.connect()
    assert first.recv(1) == b""  # from here on idle connections are closed
    rests = day.connect()
    while True:
        try:
            socket.create_connection((program.host, program.port)).close()
        except ConnectionRefusedError:
            break
    assert rests.recv(1) == b""
    deletes = sum(method == "DELETE" for method, _ in replica.calls)
    replica.wait_for("DELETE", count=deletes + 2)
    answering.set()
    assert program.process.wait(20) == 0


def test_idle_clients_that_fill_the_descriptors_take_none_from_the_list_the_servers_or_new_requests(day: Day) -> None:
    """Discovery is silent and called repeatedly meanwhile. A client with an open request keeps its connection."""
    server, over = Standin(), threading.Event()
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
    whole = agent.respond
    agent.respond = lambda handler, body: (over.wait(20), whole(handler, body))
    day.program = program = platform(agent.address, known, files=256)
    day.things += [agent, server]
    program.wait_ready()
    server.respond = lambda handler, body: (server.go.wait(20), handler.chunks(*TOKENS, LAST))
    owed = day.connect()
    owed.sendall(request("o1"))
    server.wait_for("POST")
    crowd = [day.connect() for _ in range(400)]
    server.respond = lambda handler, body: handler.chunks(*TOKENS, LAST)
    client = day.connect()
    client.sendall(request("n1"))
    assert answer(client) == (200, SERVED)
    assert any(map(stands, crowd))
    assert not all(map(stands, crowd))
    lists = program.counters()["lists"]
    agent.update(*agent.targets)
    over.set()
    day.until(lambda counters: counters["lists"] > lists)
    server.go.set()
    assert answer(owed) == (200, SERVED)


def write_until(over: threading.Event, handler: Any) -> None:
    """Write a stream of large events until `over` is set."""
    handler.chunks(last=False)
    while not over.is_set():
        handler.more(b"data: " + b"x" * 60_000 + b"\n\n")


def write_one_by_one(events: list[bytes], seen: threading.Semaphore, handler: Any) -> None:
    """Write a stream of these events, each after the client has received the one before."""
    handler.chunks(last=False)
    for event in events:
        handler.more(event)
        assert seen.acquire(timeout=20)
    handler.wfile.write(b"0\r\n\r\n")


def flood_until(over: threading.Event, sock: socket.socket, data: bytes) -> None:
    """Send these bytes repeatedly until `over` is set."""
    try:
        while not over.is_set():
            sock.sendall(data)
    except OSError:
        over.wait(20)  # the program has closed this connection


def test_events_go_on_one_by_one_while_neighbours_flood_trickle_and_read_nothing(day: Day) -> None:
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
                handler.chunks(*TOKENS, LAST)

    server.respond = respond
    day.start((server, "all-in-one"))
    floods = [
        threading.Thread(target=flood_until, args=(over, day.connect(), data), daemon=True)
        for data in (request("f") * 50, b"x" * 60_000, b"P")
    ]
    deaf = day.connect()
    deaf.sendall(request("deaf"))
    for flood in floods:
        flood.start()
    client = day.connect()
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
