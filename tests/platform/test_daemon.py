"""The platform's front end, replicas and discovery, over real sockets."""

import contextlib
import functools
import http.client
import json
import pathlib
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from pearhill import settings
from pearhill.core.replica_ids import replica_id
from pearhill.net.clock import start_clock
from pearhill.platform.endpoint_list import parse_endpoints
from pearhill.routing.topology import Endpoint, Phase
from tests.standins import (
    ROOT,
    SETTINGS,
    STREAM_CHUNKS,
    STREAM_END,
    CleanupCase,
    Discovery,
    Program,
    Standin,
    StandinHandler,
    dead_address,
    platform,
    platform_file,
)

PATH = "/v1/chat/completions"
BODY = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": "x" * 400}]}).encode()


def headers(id: str = "a1", cls: str = "advice", wait_ms: int = 5000, **more: str) -> dict[str, str]:
    return {
        "Request-Id": id,
        "Request-Class": cls,
        "Request-Timeout-Ms": str(wait_ms),
        "Affinity-Key": "7f3a",
        "Request-Info": "prompt_len=3000,max_out=100",
        **more,
    }


class PlatformCase(CleanupCase):
    def start(self, *kinds: str, **changes: Any) -> list[Standin]:
        servers = [Standin() for _ in kinds]
        self.discovery = Discovery(
            *((f"s-{n}", s.address, kind) for n, (s, kind) in enumerate(zip(servers, kinds, strict=True)))
        )
        self.program = platform(self.discovery.address, **changes)
        for thing in (*servers, self.discovery):
            self.cleanup.callback(thing.close)
        self.cleanup.callback(self.program.kill)
        if kinds:
            self.program.wait_ready()
        return servers


class TestServing(PlatformCase):
    def test_prefill_and_decode_replica_get_the_request_unchanged(self) -> None:
        reader, writer = self.start("reader", "writer")
        reader.respond = lambda h, b: h.send_response_body(202, b'{"cached_tokens":0}')
        status, _, body = self.program.request("POST", PATH + "?q=1", BODY, headers("abc"))
        assert (status, body) == (200, b"".join(STREAM_CHUNKS) + STREAM_END)
        for server in (reader, writer):
            assert server.calls == [("POST", PATH + "?q=1")]
            assert server.bodies == [BODY]
            assert server.headers[0]["Request-Id"] == "abc"
        counters = self.program.counters()
        assert (counters["taken"], counters["sent"], counters["served"]) == (1, 2, 1)

    def test_an_idempotency_key_is_forwarded_with_every_attempt(self) -> None:
        """Replicas discard repeated requests by the key. A request without a key is forwarded without one."""
        keyed = [{**SETTINGS["classes"][0], "effect": "idempotency_key", "group": "all", "window": 5_000_000}]
        servers = self.start("all-in-one", "all-in-one", settings={**SETTINGS, "classes": keyed})
        for server in servers:
            server.respond = lambda h, b: h.send_response_body(500)
        self.program.request("POST", PATH, BODY, headers("k1") | {"Idempotency-Key": "f882f41b"})
        self.program.request("POST", PATH, BODY, headers("k2"))
        got = [
            {(h["Request-Id"], h.get("Idempotency-Key")) for h in server.headers if "Request-Id" in h}
            for server in servers
        ]
        assert got[0] & got[1] & {("k1", "f882f41b")} == {("k1", "f882f41b")}
        assert got[0] | got[1] == {("k1", "f882f41b"), ("k2", None)}

    def test_a_booking_that_may_have_been_executed_is_not_retried(self) -> None:
        servers = self.start("all-in-one", "all-in-one")
        for server in servers:
            server.respond = lambda h, b: h.send_response_body(500)
        status, _, _ = self.program.request("POST", PATH, BODY, headers(cls="job-booking"))
        assert status == 500
        assert sum(s.post_count for s in servers) == 1

    @pytest.mark.parametrize(("mark", "status", "again"), [({}, 500, False), ({"Not_Started": "1"}, 503, True)])
    def test_a_503_without_not_started_may_have_been_executed(
        self, mark: dict[str, str], status: int, again: bool
    ) -> None:
        servers = self.start("all-in-one", "all-in-one")
        for server in servers:
            server.respond = lambda h, b: h.send_response_body(503, **mark)
        assert self.program.request("POST", PATH, BODY, headers(cls="job-booking"))[0] == status
        assert (sum(s.post_count for s in servers) > 1) == again

    def test_an_unreachable_replica_costs_one_attempt_and_the_request_is_rejected(self) -> None:
        (alive,) = self.start("all-in-one")
        self.discovery.update(("s-9", dead_address(), "all-in-one"))
        self.discovery.wait_for("GET", "/v1/endpoints?", 2)
        status, _, _ = self.program.request("POST", PATH, BODY, headers(cls="job-booking"))
        assert (status, alive.post_count) == (503, 0)
        assert self.program.counters()["outcomes"]["unreachable"] >= 1

    def test_an_attempt_at_a_silent_replica_ends_at_the_deadline(self) -> None:
        (server,) = self.start("all-in-one")
        server.respond = lambda h, b: server.release_answers.wait(20)
        assert self.program.request("POST", PATH, BODY, headers(cls="job-booking", wait_ms=400))[0] == 500
        assert server.post_count == 1

    def test_a_broken_stream_is_closed_without_its_last_chunk(self) -> None:
        (server,) = self.start("all-in-one")

        def broken(handler: StandinHandler, body: bytes) -> None:
            handler.chunks(STREAM_CHUNKS[0], last=False)
            handler.connection.shutdown(socket.SHUT_RDWR)

        server.respond = broken
        with socket.create_connection((self.program.host, self.program.port), 20) as client:
            head = "".join(f"{k}: {v}\r\n" for k, v in headers().items())
            client.sendall(
                f"POST {PATH} HTTP/1.1\r\nHost: a\r\n{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY
            )
            got = b"".join(iter(lambda: client.recv(4096), b""))
        assert b"one " in got
        assert not got.endswith(b"0\r\n\r\n")
        assert server.post_count == 1

    def test_held_state_is_released_if_no_decode_replica_fetches_it(self) -> None:
        reader, writer = self.start("reader", "writer")
        reader.respond = lambda h, b: h.send_response_body(*((204,) if h.command == "DELETE" else (202, b"{}")))
        writer.respond = lambda h, b: h.send_response_body(204 if h.command == "DELETE" else 500)
        assert self.program.request("POST", PATH, BODY, headers("b7", "job-booking"))[0] == 500
        reader.wait_for("DELETE", "/state/b7")
        assert writer.post_count == 1

    def test_held_state_is_released_if_the_client_disconnects_during_prefill(self) -> None:
        reader, _ = self.start("reader", "writer")
        reader.respond = (
            lambda h, b: h.send_response_body(204) if h.command == "DELETE" else reader.release_answers.wait(20)
        )
        connection = self.program.connect()
        connection.request("POST", PATH, BODY, headers("c3"))
        reader.wait_for("POST")
        connection.close()  # the client disconnects
        reader.wait_for("DELETE", "/state/c3")
        assert self.program.counters()["left"] == 1


class TestInput(PlatformCase):
    def test_bad_input_is_a_plain_4xx_and_counted(self) -> None:
        (server,) = self.start("all-in-one")
        good = headers()
        cases = [
            (400, BODY, {k: v for k, v in good.items() if k != "Request-Id"}),
            (400, BODY, {**good, "Request-Class": "unheard-of"}),
            (400, BODY, {**good, "Request-Timeout-Ms": "soon"}),
            (400, BODY, {**good, "Request-Info": "prompt_len"}),
            (400, BODY, {**good, "Request-Info": "prompt_len=-5"}),
            (400, b"{not json", good),
            (400, b"[]", good),
            (413, b"x" * 300_000, good),
        ]
        for status, body, given in cases:
            assert self.program.request("POST", PATH, body, given)[0] == status, (given, body[:9])
        assert self.program.request("GET", "/nothing")[0] == 404
        assert self.program.request("GET", PATH)[0] == 405
        raw = [
            (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", b"400"),
            (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", b"400"),
            (b"POST / HTTP/1.1\r\n\r\n", b"400"),
            (b"nonsense\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nHost: a\r\nLong: " + b"x" * 40_000 + b"\r\n\r\n", b"431"),
        ]
        for sent, expected in raw:
            address = self.program.host, self.program.port
            with socket.create_connection(address, 20) as s:
                s.sendall(sent)
                got = b"".join(iter(functools.partial(s.recv, 4096), b""))
            assert got.split(b" ")[1] == expected, sent[:60]
        assert self.program.counters()["rejected"] == len(cases) + len(raw) + 2
        assert server.calls == []

    def test_requests_after_invalid_input_are_not_served(self) -> None:
        (server,) = self.start("all-in-one")

        def request(id: str, cls: str) -> bytes:
            head = "".join(f"{k}: {v}\r\n" for k, v in headers(id, cls).items())
            return f"POST {PATH} HTTP/1.1\r\nHost: a\r\n{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY

        with socket.create_connection((self.program.host, self.program.port), 20) as s:
            s.sendall(request("bad", "unheard-of") + request("good", "advice"))
            got = b"".join(iter(lambda: s.recv(4096), b""))
        assert (got.count(b"HTTP/1.1"), got.split(b" ")[1], server.calls) == (1, b"400", [])

    def test_a_client_that_is_silent_or_sends_slowly_is_disconnected_in_time(self) -> None:
        self.start("all-in-one")
        address = self.program.host, self.program.port
        with socket.create_connection(address, 20) as silent, socket.create_connection(address, 20) as trickling:
            trickling.settimeout(0.05)
            trickling.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nA: ")
            got = b""
            while not got:
                trickling.sendall(b"x")
                with contextlib.suppress(TimeoutError):
                    got = trickling.recv(4096)
            assert b"408" in got
            assert silent.recv(1) == b""
        self.program.wait_line("side=client .* reason=silent")

    def test_bad_configuration_is_one_line_that_names_the_key(self) -> None:
        for environ, key in (({}, "RELAY_CONFIG"), ({"RELAY_CONFIG": "/nowhere"}, "RELAY_CONFIG")):
            done = subprocess.run([sys.executable, "-m", "pearhill"], env=environ, cwd=ROOT, capture_output=True)
            assert done.returncode == 2
            assert done.stderr.count(b"\n") == 1
            assert key.encode() in done.stderr


class TestLimits(PlatformCase):
    def idle(self, count: int) -> list[socket.socket]:
        """Return this many clients that connect and send nothing."""
        made = [socket.create_connection((self.program.host, self.program.port), 20) for _ in range(count)]
        for client in made:
            self.cleanup.callback(client.close)
        return made

    def test_beyond_the_socket_limit_the_longest_idle_client_is_disconnected(self) -> None:
        self.start("all-in-one", limits={"sockets": 64})
        used = self.program.connect()
        used.request("GET", "/ready")
        used.getresponse().read()
        half, first = self.idle(2)
        half.sendall(b"GET / HT")  # the rest may be in flight, and would be lost if the connection were closed
        self.idle(20)
        assert self.program.request("POST", PATH, BODY, headers())[0] == 200
        assert first.recv(1) == b""
        assert half.recv(12) == b"HTTP/1.1 408"
        used.request("GET", "/ready")  # it has carried a request: connections without one are closed first
        assert used.getresponse().status == 200
        self.program.wait_line("side=client .* reason=room-needed")

    def test_finished_requests_keep_no_memory(self) -> None:
        self.start("all-in-one")
        large_body = json.dumps({"messages": [{"role": "user", "content": "x" * 150_000}]}).encode()

        def resident(count: int) -> int:
            """Return the resident MB after so many requests, each on its own connection; every other one stays open."""
            connections = [self.program.connect() for _ in range(count)]
            for n, connection in enumerate(connections):
                connection.request("POST", PATH, large_body, headers(f"{count}-{n}"))
                assert connection.getresponse().read() == b"".join(STREAM_CHUNKS) + STREAM_END
                connection.close() if n % 2 else self.cleanup.callback(connection.close)
            with open(f"/proc/{self.program.process.pid}/statm") as file:
                return int(file.read().split()[1]) * resource.getpagesize() >> 20

        before = resident(40)
        assert resident(160) - before < 8  # the request bodies alone are 24 MB

    def test_accepting_pauses_without_free_descriptors_and_resumes(self) -> None:
        self.start("all-in-one", files=24)
        self.idle(40)
        self.program.wait_line("accepting pauses")
        assert self.program.request("GET", "/ready")[0] == 200


class TestMalformedAnswers(PlatformCase):
    HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    def raw(self, *parts: bytes) -> Any:
        """Return a responder that writes exactly these bytes as the answer to a POST and keeps the connection open."""

        def respond(handler: StandinHandler, body: bytes) -> None:
            try:
                for part in parts:
                    handler.wfile.write(part)
                handler.wfile.flush()
                handler.rfile.read(1)  # until the dispatcher closes the connection
            except OSError:
                pass
            handler.close_connection = True

        return respond

    def test_a_malformed_answer_is_not_retried_and_the_client_gets_valid_events_only(self) -> None:
        first = b"%x\r\n%b\r\n" % (len(STREAM_CHUNKS[0]), STREAM_CHUNKS[0])
        endless = self.HEAD[:-2] + b"A: " + b"x" * 100_000
        lying, huge = b"5\r\n" + STREAM_CHUNKS[1] + b"\r\n", b"BFFFFFFF\r\n" + b"x" * 300_000
        half = b"%x\r\n%b\r\n" % (9, STREAM_CHUNKS[1][:9])
        (server,) = self.start("all-in-one")
        for n, parts in enumerate(((b"noise\r\n\r\n",), (endless,), (self.HEAD, lying))):
            server.respond = self.raw(*parts)
            assert self.program.request("POST", PATH, BODY, headers(f"a{n}", "job-booking"))[0] == 500
            assert server.post_count == n + 1
        for n, spoilt in enumerate((lying, huge, half + b"zz\r\n")):
            server.respond = self.raw(self.HEAD, first, spoilt)
            connection = self.program.connect()
            self.cleanup.callback(connection.close)
            connection.request("POST", PATH, BODY, headers(f"b{n}"))
            response, got = connection.getresponse(), b""
            with pytest.raises(http.client.IncompleteRead) as broken:
                got = response.read()
            assert got + broken.value.partial == STREAM_CHUNKS[0]
        self.program.wait_line("side=server .* reason=lost-malformed")

    def test_interim_answers_are_skipped_and_a_surplus_answer_is_not_used_for_the_next_request(self) -> None:
        complete_answer = (
            self.HEAD + b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in (*STREAM_CHUNKS, STREAM_END)) + b"0\r\n\r\n"
        )
        (server,) = self.start("all-in-one")
        server.respond = self.raw(
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 E\r\nA: b\r\n\r\n" + complete_answer + complete_answer
        )
        for n in range(3):
            assert self.program.request("POST", PATH, BODY, headers(f"c{n}"))[2] == b"".join(STREAM_CHUNKS) + STREAM_END
        assert server.post_count == 3

    def test_a_rejection_followed_by_more_bytes_is_not_trusted_and_a_booking_is_not_retried(self) -> None:
        """If two answers arrive, neither can be trusted: one may belong to another request."""
        servers = self.start("all-in-one", "all-in-one")
        for server in servers:
            server.respond = self.raw(b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n" + self.HEAD)
        assert self.program.request("POST", PATH, BODY, headers("d1", "job-booking"))[0] == 500
        assert sum(server.post_count for server in servers) == 1


class TestReload(PlatformCase):
    def test_a_new_discovery_is_polled_for_the_complete_list_and_open_requests_continue(self) -> None:
        old, new = self.start("all-in-one")[0], Standin()
        other = Discovery(("s-9", new.address, "all-in-one"))
        for thing in (new, other):
            self.cleanup.callback(thing.close)

        def waits(handler: StandinHandler, body: bytes) -> None:
            handler.chunks(STREAM_CHUNKS[0], last=False)
            old.release_answers.wait(20)
            handler.send_chunk(STREAM_CHUNKS[1] + STREAM_END)
            handler.wfile.write(b"0\r\n\r\n")

        old.respond = waits
        connection = self.program.connect()
        connection.request("POST", PATH, BODY, headers("open"))
        response = connection.getresponse()
        self.program.reload(platform_file(other.address))  # RELAY_DISCOVERY still names the old discovery
        other.wait_for("GET", "/v1/endpoints?")
        assert other.calls[0] == ("GET", "/v1/endpoints")
        assert self.program.request("POST", PATH, BODY, headers("next"))[0] == 200
        old.release_answers.set()
        assert response.read() == b"".join(STREAM_CHUNKS) + STREAM_END
        assert (old.post_count, new.post_count) == (1, 1)

    def test_a_reload_applies_settings_and_an_invalid_file_keeps_the_old_ones(self) -> None:
        self.start()
        stay = {**SETTINGS["allowed"], "max-retry-after": 250000}
        self.program.reload(platform_file(self.discovery.address, settings={**SETTINGS, "allowed": stay}))
        kinds = {**SETTINGS, "models": ["writer", "reader", "all-in-one"]}
        for text, key in (
            ("{", "RELAY_CONFIG"),
            (platform_file("nowhere"), "discovery"),
            (platform_file(self.discovery.address, settings=kinds), "settings.models"),
        ):
            self.program.reload(text, f"reload: the old configuration stays: {key}")
        status, answered, _ = self.program.request("POST", PATH, BODY, headers())
        assert (status, answered["retry-after"]) == (503, "0.250")

    def test_a_reload_does_not_disturb_a_drain(self) -> None:
        (server,) = self.start("all-in-one")
        server.respond = lambda h, b: (server.release_answers.wait(20), h.chunks(*STREAM_CHUNKS, STREAM_END))
        connection = self.program.connect()
        connection.request("POST", PATH, BODY, headers())
        server.wait_for("POST")
        self.program.process.terminate()
        self.program.wait_line("draining")
        self.program.reload(platform_file(self.discovery.address))
        server.release_answers.set()
        assert connection.getresponse().status == 200
        assert self.program.process.wait(20) == 0


class TestTargets:
    TARGET = {
        "uid": "s-1",
        "endpoint": "127.0.0.1:8080",
        "az": "south",
        "model": "writer",
        "pod_group": 3,
        "state": "active",
        "capacity_hint": 1.5,
        "boot_ms": 1_764_600_000_000,
    }

    def test_a_target_becomes_an_endpoint_with_its_start_time(self) -> None:
        deployment = settings.parse(SETTINGS)
        (entry,), addresses = parse_endpoints([self.TARGET], deployment)
        assert entry == Endpoint(replica_id("s-1"), 1, 1, 3, Phase.READY, 1.5, 1_764_600_000_000_000)
        assert addresses == {entry.replica: ("127.0.0.1", 8080)}
        # The program's clock shows Unix time, so a start time of just now is neither in the future nor long past.
        assert abs(start_clock()() - time.time() * 1e6) < 60e6

    def test_letters_and_numbers_are_positions_and_invalid_targets_are_left_out(self) -> None:
        deployment = settings.parse(SETTINGS)
        (entry,), _ = parse_endpoints([{**self.TARGET, "az": "b", "model": "m2"}], deployment)
        assert (entry.zone, entry.kind) == (1, 2)
        for change in ({"az": "z"}, {"model": "m9"}, {"state": "asleep"}, {"endpoint": "nowhere"}, {"uid": None}):
            bad = {k: v for k, v in {**self.TARGET, **change}.items() if v is not None}
            assert parse_endpoints([bad, 7, self.TARGET], deployment)[0][0].zone == 1

    def test_an_invalid_target_still_drains_a_known_replica(self) -> None:
        deployment = settings.parse(SETTINGS)
        (entry,), _ = parse_endpoints([self.TARGET], deployment)
        known = {entry.replica: entry}
        for state, phase in (("leaving", Phase.DRAINING), ("left", Phase.GONE)):
            for change in ({"az": "z"}, {"endpoint": "nowhere"}, {"pod_group": None}, {"boot_ms": "late"}):
                target = {**self.TARGET, "state": state, **change}
                assert parse_endpoints([target], deployment, known)[0] == (replace(entry, phase=phase),)
                assert parse_endpoints([target], deployment)[0] == ()  # not listed before, so there is nothing to drain


class TestEnding(PlatformCase):
    def test_sigterm_answers_accepted_requests_and_exits_with_0(self) -> None:
        (server,) = self.start("all-in-one")

        def waits(handler: StandinHandler, body: bytes) -> None:
            server.release_answers.wait(20)
            handler.chunks(*STREAM_CHUNKS, STREAM_END)

        server.respond = waits
        connection = self.program.connect()
        connection.request("POST", PATH, BODY, headers())
        server.wait_for("POST")
        self.program.process.terminate()
        self.program.wait_line("draining: 1 requests open")
        assert self.program.request("GET", "/ready")[0] == 503
        server.release_answers.set()
        response = connection.getresponse()
        assert (response.status, response.getheader("Connection")) == (200, "close")
        assert response.read() == b"".join(STREAM_CHUNKS) + STREAM_END
        assert self.program.process.wait(20) == 0
        self.program.wait_line(r'counters .*"served": 1')

    def test_an_abandoned_fetch_stays_open_until_its_state_is_released(self) -> None:
        """Otherwise an unreachable prefill replica holds useless state too long. The client is answered at once."""
        reader, writer = self.start("reader", "writer")
        released, closed, held = threading.Event(), threading.Event(), list[socket.socket]()

        def read(handler: StandinHandler, body: bytes) -> None:
            if handler.command == "DELETE":
                released.wait(20)
                return handler.send_response_body(204)
            return handler.send_response_body(202, b'{"cached_tokens":0}')

        def write(handler: StandinHandler, body: bytes) -> None:
            if handler.command == "DELETE":
                return handler.send_response_body(204)
            held.append(handler.connection)
            handler.connection.recv(1)
            closed.set()

        reader.respond, writer.respond = read, write
        self.cleanup.callback(released.set)
        for cls in ("advice", "job-booking"):
            released.clear()
            closed.clear()
            deletes = sum(method == "DELETE" for method, _ in reader.calls)
            assert self.program.request("POST", PATH, BODY, headers(f"g-{cls}", cls, wait_ms=900))[0] == (
                503 if cls == "advice" else 500
            )
            reader.wait_for("DELETE", count=deletes + 1)
            with pytest.raises(BlockingIOError):
                held[-1].recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            released.set()
            assert closed.wait(20)
            reader.wait_for("DELETE", count=deletes + 2)  # one sent earlier releases no state that an attempt waits for

    def test_an_idle_connection_that_the_replica_closed_is_not_used_again(self) -> None:
        (server,) = self.start("all-in-one")

        def once(handler: StandinHandler, body: bytes) -> None:
            handler.chunks(*STREAM_CHUNKS, STREAM_END)
            handler.close_connection = True

        server.respond = once
        for n in range(5):
            assert self.program.request("POST", PATH, BODY, headers(f"d{n}", "job-booking"))[0] == 200
        assert server.post_count == 5
        self.program.wait_line("side=server .* reason=(server-eof|stale)")

    def test_a_replica_that_is_no_longer_listed_gets_no_requests(self) -> None:
        first, second = self.start("all-in-one", "all-in-one")
        self.discovery.update(("s-1", second.address, "all-in-one"))
        self.discovery.wait_for("GET", "/v1/endpoints?after=2")
        for n in range(6):
            assert self.program.request("POST", PATH, BODY, headers(f"e{n}"))[0] == 200
        assert (first.post_count, second.post_count) == (0, 6)

    def test_an_indented_list_of_a_thousand_replicas_in_one_chunk_is_applied(self) -> None:
        server = Standin()
        self.cleanup.callback(server.close)
        dead = dead_address()
        self.start(settings={**SETTINGS, "n-instances": 1024})
        self.discovery.respond = lambda h, b: h.chunks(json.dumps(self.discovery.answer(), indent=4).encode())
        self.discovery.update(*((f"s-{n:08x}", dead, "writer") for n in range(1023)), ("s-9", server.address, "reader"))
        self.program.wait_ready()
        assert len(json.dumps(self.discovery.answer(), indent=4)) > 256 * 1024
        calls = len(self.discovery.calls)
        self.discovery.wait_for("GET", "/v1/endpoints?", calls + 3)
        assert self.program.counters()["lists"] < 20  # although the agent answers every call at once

    def test_an_attempt_waiting_for_a_connection_is_retried_when_its_replica_drains(self) -> None:
        """The first replica's accept queue is full until it is listed as leaving, so connections to it open late."""
        second = Standin()
        self.cleanup.callback(second.close)
        with socket.socket() as late, socket.socket() as queued:
            late.bind(("127.0.0.1", 0))
            late.listen(0)
            queued.connect(late.getsockname())
            self.start(settings={**SETTINGS, "allowed": {**SETTINGS["allowed"], "connect-timeout": 8_000_000}})
            self.discovery.update(("s-0", "{}:{}".format(*late.getsockname()), "all-in-one"))
            self.program.wait_ready()
            with ThreadPoolExecutor() as pool:
                pending = pool.submit(
                    self.program.request, "POST", PATH, BODY, headers(cls="job-booking", wait_ms=8000)
                )
                while not self.program.counters()["sent"]:
                    assert not pending.done()
                revision = self.discovery.rev
                self.discovery.leaving = {"s-0"}
                self.discovery.update(*self.discovery.targets, ("s-1", second.address, "all-in-one"))
                self.discovery.wait_for("GET", f"/v1/endpoints?after={revision + 1}")
                late.settimeout(20)
                with late.accept()[0]:  # this frees a place in the queue: the connection opens at the next try
                    status, _, body = pending.result(20)
        assert (status, body) == (200, b"".join(STREAM_CHUNKS) + STREAM_END)
        counters = self.program.counters()
        assert (second.post_count, counters["sent"], counters["outcomes"]) == (1, 2, {"withdrawn": 1, "answered": 1})

    def test_a_silent_watch_is_reopened_and_updates_after_its_return_are_received_at_once(self) -> None:
        """The open calls never end, and neither do calls on new connections for a while; then one is answered."""
        first, second = self.start("all-in-one", "all-in-one")
        silent, answer_as_usual = threading.Event(), self.discovery.respond
        silent.set()
        self.discovery.respond = (
            lambda h, b: self.discovery.release_answers.wait(30) if silent.is_set() else answer_as_usual(h, b)
        )
        self.discovery.update(("s-1", second.address, "all-in-one"))  # ends the open watch
        calls = len(self.discovery.calls)
        self.program.wait_line("discovery: no answer to anything: silent")
        self.discovery.wait_for("GET", "/v1/endpoints?", calls + 10)
        silent.clear()
        calls_before = len(self.discovery.calls)
        self.program.wait_line("discovery: answers again")
        self.discovery.update(("s-0", first.address, "all-in-one"))
        self.discovery.wait_for("GET", "/v1/endpoints?after=3")
        assert self.program.request("POST", PATH, BODY, headers())[0] == 200
        assert (first.post_count, second.post_count) == (1, 0)
        assert (
            len(self.discovery.calls) - calls_before < 20
        )  # it watches again instead of polling every few milliseconds

    def test_a_request_before_the_first_list_is_not_forwarded_by_an_outdated_list(self) -> None:
        removed, server = Standin(), Standin()
        discovery = Discovery(("s-1", server.address, "all-in-one"))
        for standin in (removed, server, discovery):
            self.cleanup.callback(standin.close)
        answer_as_usual, polled = discovery.respond, threading.Event()

        def respond(handler: StandinHandler, body: bytes) -> None:
            polled.set()
            discovery.release_answers.wait(0.3)
            answer_as_usual(handler, body)

        discovery.respond = respond
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            address = "{}:{}".format(*free.getsockname())
        folder = tempfile.TemporaryDirectory()
        self.cleanup.callback(folder.cleanup)
        path = pathlib.Path(folder.name) / "config.json"
        outdated: Any = SimpleNamespace(rev=1, leaving=set(), targets=[("s-0", removed.address, "all-in-one")])
        path.write_text(platform_file(discovery.address, Discovery.answer(outdated)["targets"], listen=address))
        with ThreadPoolExecutor() as pool:
            program = pool.submit(Program, RELAY_CONFIG=str(path), RELAY_DISCOVERY=discovery.address)
            status = 0
            while not status:  # like clients that retry at once
                try:
                    connection = http.client.HTTPConnection(address, timeout=20)
                    connection.request("POST", PATH, BODY, headers())
                    status = connection.getresponse().status
                except ConnectionRefusedError:
                    pass
                finally:
                    connection.close()
            self.program = program.result(20)
            self.cleanup.callback(self.program.kill)
        assert (status, removed.post_count, server.post_count) == (200, 0, 1)

    def test_the_list_known_at_the_start_is_used_while_discovery_is_silent(self) -> None:
        server, silent = Standin(), Standin()
        silent.respond = lambda h, b: silent.release_answers.wait(20)
        self.cleanup.callback(server.close)
        self.cleanup.callback(silent.close)
        known = Discovery(("s-1", server.address, "all-in-one"))
        self.cleanup.callback(known.close)
        self.program = platform(silent.address, known.answer()["targets"])
        self.cleanup.callback(self.program.kill)
        self.program.wait_ready()
        assert self.program.request("POST", PATH, BODY, headers())[0] == 200
