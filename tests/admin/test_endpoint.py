"""The admin endpoint of the real program: figures, replicas that are administratively down, and the drain."""

import http.client
import json
import socket
import subprocess
import sys
import time
import unittest
from typing import Any

from tests.platform.test_daemon import BODY, PATH, headers
from tests.standins import ROOT, STREAM_CHUNKS, STREAM_END, Discovery, Standin, platform, platform_file


def call(address: str, method: str, path: str) -> tuple[int, dict[str, str], bytes]:
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class AdminEndpointCase(unittest.TestCase):
    def start(self, *kinds: str, **changes: Any) -> list[Standin]:
        replicas = [Standin() for _ in kinds]
        self.discovery = Discovery(
            *((f"s-{n}", replica.address, kind) for n, (replica, kind) in enumerate(zip(replicas, kinds, strict=True)))
        )
        self.program = platform(self.discovery.address, admin_addr="127.0.0.1:0", **changes)
        for stand_in in (*replicas, self.discovery):
            self.addCleanup(stand_in.close)
        self.addCleanup(self.program.kill)
        self.admin_address = self.program.wait_line(r"admin endpoint: listening on (\S+)")[1]
        if kinds:
            self.program.wait_ready()
        return replicas

    def call_admin(self, method: str, path: str) -> int:
        return call(self.admin_address, method, path)[0]

    def stats(self) -> dict[str, Any]:
        stats: dict[str, Any] = json.loads(call(self.admin_address, "GET", "/ops/stats")[2])
        return stats

    def ask(self, id: str, cls: str = "advice") -> int:
        return self.program.request("POST", PATH, BODY, headers(id, cls))[0]


class Calls(AdminEndpointCase):
    def test_invalid_calls_are_rejected_and_the_endpoint_keeps_serving(self) -> None:
        self.start("all-in-one")
        down = "/ops/replicas/down"
        for status, method, path in (
            (404, "GET", "/"),
            (404, "GET", "/ready"),
            (404, "POST", "/ops/replicas"),
            (405, "POST", "/ops/stats"),
            (405, "GET", "/ops/drain/start"),
            (405, "DELETE", down),
            (400, "POST", down),
            (400, "POST", f"{down}?target="),
            (400, "POST", f"{down}?target=s-0&target=s-0"),
            (404, "POST", f"{down}?target=nobody"),
            (404, "POST", "/ops/replicas/up?target=nobody"),
            (400, "POST", f"{down}?" + "&".join(f"a{n}=1" for n in range(20))),
        ):
            with self.subTest(method=method, path=path):
                assert self.call_admin(method, path) == status
        assert call(self.admin_address, "PUT", down)[1]["Allow"] == "POST"
        host, _, port = self.admin_address.rpartition(":")
        for raw, expected in (
            (b"GET /ops/stats HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 40_000, b"431"),
            (b"nonsense\r\n\r\n", b"400"),
        ):
            with socket.create_connection((host, int(port)), 20) as caller:
                caller.sendall(raw)
                assert expected in caller.recv(4096)
        assert self.call_admin("GET", "/ops/readiness") == 200

    def test_each_connection_is_closed_after_one_call(self) -> None:
        self.start("all-in-one")
        _, response_headers, _ = call(self.admin_address, "GET", "/ops/readiness")
        assert response_headers["Connection"] == "close"

    def test_silent_connections_and_partial_calls_do_not_block_other_calls(self) -> None:
        self.start("all-in-one")
        host, _, port = self.admin_address.rpartition(":")
        for n in range(60):  # more connections than the admin endpoint allows
            silent = socket.create_connection((host, int(port)), 20)
            self.addCleanup(silent.close)
            if n % 2:
                silent.sendall(b"GET /ops/sta")
        assert self.call_admin("GET", "/ops/stats") == 200
        self.program.wait_line("side=operator .* reason=room-needed")

    def test_a_call_in_single_bytes_is_answered(self) -> None:
        self.start("all-in-one")
        host, _, port = self.admin_address.rpartition(":")
        with socket.create_connection((host, int(port)), 20) as caller:
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for byte in b"GET /ops/readiness HTTP/1.1\r\nHost: a\r\n\r\n":
                caller.send(bytes([byte]))
            assert b"200 OK" in caller.recv(4096)

    def test_not_ready_until_it_can_serve_and_absent_unless_configured(self) -> None:
        self.start()
        assert self.call_admin("GET", "/ops/readiness") == 503
        replica = Standin()
        self.addCleanup(replica.close)
        self.discovery.update(("s-1", replica.address, "all-in-one"))
        self.program.wait_ready()
        assert self.call_admin("GET", "/ops/readiness") == 200
        plain = platform(self.discovery.address)
        self.addCleanup(plain.kill)
        plain.wait_ready()
        assert plain.request("GET", "/ops/stats")[0] == 404
        assert not [line for line in plain.lines if "operators" in line or "admin endpoint" in line]

    def test_an_invalid_address_is_a_one_line_error_that_names_the_key(self) -> None:
        self.start("all-in-one")
        for address, code in (("nowhere", 2), (self.admin_address, 1)):
            with self.subTest(address=address):
                done = subprocess.run(
                    [sys.executable, "-m", "pearhill"],
                    cwd=ROOT,
                    capture_output=True,
                    env={
                        "RELAY_CONFIG": str(self.program.config),
                        "RELAY_ADMIN_ADDR": address,
                        "PEARHILL_LOG": "WARNING",
                    },
                )
                assert (done.returncode, done.stderr.count(b"\n")) == (code, 1), done.stderr
                assert b"pearhill: admin_addr: " in done.stderr
        self.program.reload(
            platform_file(self.discovery.address, admin_addr="nowhere"), "the old configuration stays: admin_addr"
        )
        self.program.reload(
            platform_file(self.discovery.address, admin_addr="127.0.0.1:1"), "for the next start: admin_addr"
        )
        assert self.call_admin("GET", "/ops/readiness") == 200


class ReportedFigures(AdminEndpointCase):
    def test_each_request_is_counted_once_by_its_outcome(self) -> None:
        prefill, decode = self.start("reader", "writer")
        prefill.respond = lambda h, b: h.send_response_body(*((204,) if h.command == "DELETE" else (202, b"{}")))
        none = {"success": 0, "busy": 0, "failure": 0}
        assert self.stats() == {
            "calls": {"advice": none, "job-booking": none},
            "inflight": 0,
            "backend_calls": 0,
            "hosts_listed": 2,
            "hosts_down": 0,
        }
        assert self.ask("a1") == 200

        def answer_when_released(handler: Any, body: bytes) -> None:
            decode.release_answers.wait(20)
            handler.chunks(*STREAM_CHUNKS, STREAM_END)

        decode.respond = answer_when_released
        connection = self.program.connect()
        connection.request("POST", PATH, BODY, headers("a2", "job-booking"))
        decode.wait_for("POST", count=2)
        stats = self.stats()
        assert (stats["inflight"], stats["backend_calls"]) == (1, 4)
        decode.release_answers.set()
        connection.getresponse().read()
        decode.respond = lambda h, b: h.send_response_body(500)
        assert self.ask("a3", "job-booking") == 500
        assert self.call_admin("POST", "/ops/replicas/down?target=s-1") == 200
        assert self.ask("a4") == 503
        stats = self.stats()
        assert stats["calls"] == {
            "advice": {**none, "success": 1, "busy": 1},
            "job-booking": {**none, "success": 1, "failure": 1},
        }
        assert (stats["inflight"], stats["hosts_listed"], stats["hosts_down"]) == (0, 2, 1)


class ReplicasDown(AdminEndpointCase):
    def test_a_replica_that_is_down_receives_no_requests_until_it_is_restored(self) -> None:
        replicas = self.start("all-in-one", "all-in-one")
        targets = [(f"s-{n}", replica.address, "all-in-one") for n, replica in enumerate(replicas)]
        for _ in range(2):
            assert self.call_admin("POST", "/ops/replicas/down?target=s-0") == 200

        def new_runs(id: str) -> tuple[int, int]:
            before = [replica.post_count for replica in replicas]
            for n in range(8):
                assert (
                    self.program.request("POST", PATH, BODY, {**headers(f"{id}{n}"), "Affinity-Key": f"{n}"})[0] == 200
                )
            return replicas[0].post_count - before[0], replicas[1].post_count - before[1]

        assert new_runs("a") == (0, 8)
        for rev, listed in ((2, targets[1:]), (3, targets)):  # unlisted, and listed again
            self.discovery.update(*listed)
            self.discovery.wait_for("GET", f"/v1/endpoints?after={rev}")
            assert new_runs(f"b{rev}") == (0, 8)
        assert self.call_admin("POST", "/ops/replicas/up?target=s-0") == 200
        end, n = time.monotonic() + 15, 0
        while not new_runs(f"c{n}-")[0]:  # it is warming up, and receives its first requests within seconds
            assert time.monotonic() < end
            n += 1

    def test_a_replica_that_is_down_and_no_longer_listed_can_be_restored(self) -> None:
        first, second = self.start("all-in-one", "all-in-one")
        assert self.call_admin("POST", "/ops/replicas/down?target=s-0") == 200
        self.discovery.update(("s-1", second.address, "all-in-one"))
        self.discovery.wait_for("GET", "/v1/endpoints?after=2")
        assert [self.call_admin("POST", "/ops/replicas/up?target=s-0") for _ in range(2)] == [200, 404]

    def test_an_answer_in_progress_is_completed(self) -> None:
        replica, _ = self.start("all-in-one", "all-in-one")

        def answer_when_released(handler: Any, body: bytes) -> None:
            handler.chunks(STREAM_CHUNKS[0], last=False)
            replica.release_answers.wait(20)
            for part in (STREAM_CHUNKS[1], STREAM_END):
                handler.send_chunk(part)
            handler.wfile.write(b"0\r\n\r\n")

        assert self.call_admin("POST", "/ops/replicas/down?target=s-1") == 200
        replica.respond = answer_when_released
        connection = self.program.connect()
        connection.request("POST", PATH, BODY, headers("a1", "job-booking"))
        response = connection.getresponse()
        assert self.call_admin("POST", "/ops/replicas/down?target=s-0") == 200
        replica.release_answers.set()
        assert response.read() == b"".join(STREAM_CHUNKS) + STREAM_END


class Draining(AdminEndpointCase):
    def test_connections_are_closed_during_a_drain_and_persist_after_it(self) -> None:
        self.start("all-in-one")
        idle, used = self.program.connect(), self.program.connect()
        for connection in (idle, used):
            connection.request("POST", PATH, BODY, headers(f"{id(connection)}"))
            connection.getresponse().read()
        assert [self.call_admin("POST", "/ops/drain/start") for _ in range(2)] == [200, 200]
        assert self.program.request("GET", "/ready")[0] == 503
        assert self.call_admin("GET", "/ops/readiness") == 200  # it still serves during the drain
        used.request("POST", PATH, BODY, headers("b1"))  # clients use connections that stay open
        response = used.getresponse()
        assert (response.status, response.getheader("Connection")) == (200, "close")
        response.read()
        assert idle.sock.recv(1) == b""
        self.program.wait_line("side=client .* reason=drained")
        assert self.ask("b2") == 200  # clients open new connections for a while
        assert [self.call_admin("POST", "/ops/drain/stop") for _ in range(2)] == [200, 200]
        assert self.program.request("GET", "/ready")[0] == 200
        persistent = self.program.connect()
        for n in range(2):
            persistent.request("POST", PATH, BODY, headers(f"c{n}"))
            response = persistent.getresponse()
            assert (response.status, response.getheader("Connection")) == (200, None)
            response.read()

    def test_the_end_of_a_drain_does_not_cancel_a_shutdown(self) -> None:
        self.start("all-in-one")
        assert self.call_admin("POST", "/ops/drain/start") == 200
        self.program.process.terminate()
        self.program.wait_line("draining: 0 requests open")
        assert self.call_admin("POST", "/ops/drain/stop") == 200
        assert self.program.request("GET", "/ready")[0] == 503
        assert self.program.process.wait(20) == 0
