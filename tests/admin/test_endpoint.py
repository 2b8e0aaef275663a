"""The operators' door of the real program: calls, figures, replicas out by hand, the drain."""

import http.client
import json
import socket
import subprocess
import sys
import time
import unittest
from typing import Any

from tests.platform.test_daemon import BODY, PATH, headers
from tests.standins import LAST, ROOT, TOKENS, Discovery, Standin, platform, platform_file


def call(address: str, method: str, path: str) -> tuple[int, dict[str, str], bytes]:
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class DoorCase(unittest.TestCase):
    def start(self, *kinds: str, **changes: Any) -> list[Standin]:
        servers = [Standin() for _ in kinds]
        self.discovery = Discovery(
            *((f"s-{n}", s.address, kind) for n, (s, kind) in enumerate(zip(servers, kinds, strict=True)))
        )
        self.program = platform(self.discovery.address, admin_addr="127.0.0.1:0", **changes)
        for thing in (*servers, self.discovery):
            self.addCleanup(thing.close)
        self.addCleanup(self.program.kill)
        self.door = self.program.wait_line(r"operators are heard on (\S+)")[1]
        if kinds:
            self.program.wait_ready()
        return servers

    def ops(self, method: str, path: str) -> int:
        return call(self.door, method, path)[0]

    def stats(self) -> dict[str, Any]:
        return json.loads(call(self.door, "GET", "/ops/stats")[2])

    def ask(self, id: str, cls: str = "advice") -> int:
        return self.program.ask("POST", PATH, BODY, headers(id, cls))[0]


class Calls(DoorCase):
    def test_bad_calls_get_their_answer_and_the_door_goes_on(self):
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
                self.assertEqual(self.ops(method, path), status)
        self.assertEqual(call(self.door, "PUT", down)[1]["Allow"], "POST")
        host, _, port = self.door.rpartition(":")
        for raw, status in (
            (b"GET /ops/stats HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 40_000, b"431"),
            (b"nonsense\r\n\r\n", b"400"),
        ):
            with socket.create_connection((host, int(port)), 20) as caller:
                caller.sendall(raw)
                self.assertIn(status, caller.recv(4096))
        self.assertEqual(self.ops("GET", "/ops/readiness"), 200)

    def test_one_call_a_connection(self):
        self.start("all-in-one")
        _, told, _ = call(self.door, "GET", "/ops/readiness")
        self.assertEqual(told["Connection"], "close")

    def test_callers_who_say_nothing_or_half_a_call_keep_nobody_out(self):
        self.start("all-in-one")
        host, _, port = self.door.rpartition(":")
        for n in range(60):  # more than the door holds
            silent = socket.create_connection((host, int(port)), 20)
            self.addCleanup(silent.close)
            if n % 2:
                silent.sendall(b"GET /ops/sta")
        self.assertEqual(self.ops("GET", "/ops/stats"), 200)
        self.program.wait_line("side=operator .* reason=room-needed")

    def test_a_call_in_single_bytes_is_answered(self):
        self.start("all-in-one")
        host, _, port = self.door.rpartition(":")
        with socket.create_connection((host, int(port)), 20) as caller:
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for byte in b"GET /ops/readiness HTTP/1.1\r\nHost: a\r\n\r\n":
                caller.send(bytes([byte]))
            self.assertIn(b"200 OK", caller.recv(4096))

    def test_not_ready_before_it_can_serve_and_absent_unless_asked_for(self):
        self.start()
        self.assertEqual(self.ops("GET", "/ops/readiness"), 503)
        server = Standin()
        self.addCleanup(server.close)
        self.discovery.update(("s-1", server.address, "all-in-one"))
        self.program.wait_ready()
        self.assertEqual(self.ops("GET", "/ops/readiness"), 200)
        plain = platform(self.discovery.address)
        self.addCleanup(plain.kill)
        plain.wait_ready()
        self.assertEqual(plain.ask("GET", "/ops/stats")[0], 404)
        self.assertFalse([line for line in plain.lines if "operators" in line])

    def test_a_bad_address_is_one_line_that_names_the_key(self):
        self.start("all-in-one")
        for address, code in (("nowhere", 2), (self.door, 1)):
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
                self.assertEqual((done.returncode, done.stderr.count(b"\n")), (code, 1), done.stderr)
                self.assertIn(b"pearhill: admin_addr: ", done.stderr)
        self.program.reload(
            platform_file(self.discovery.address, admin_addr="nowhere"), "the old configuration stays: admin_addr"
        )
        self.program.reload(
            platform_file(self.discovery.address, admin_addr="127.0.0.1:1"), "for the next start: admin_addr"
        )
        self.assertEqual(self.ops("GET", "/ops/readiness"), 200)


class FiguresTold(DoorCase):
    def test_each_request_is_counted_once_where_it_ended(self):
        reader, writer = self.start("reader", "writer")
        reader.respond = lambda h, b: h.plain(*((204,) if h.command == "DELETE" else (202, b"{}")))
        none = {"success": 0, "busy": 0, "failure": 0}
        self.assertEqual(
            self.stats(),
            {
                "calls": {"advice": none, "job-booking": none},
                "inflight": 0,
                "backend_calls": 0,
                "hosts_listed": 2,
                "hosts_down": 0,
            },
        )
        self.assertEqual(self.ask("a1"), 200)

        def waits(handler: Any, body: bytes) -> None:
            writer.go.wait(20)
            handler.chunks(*TOKENS, LAST)

        writer.respond = waits
        connection = self.program.connect()
        connection.request("POST", PATH, BODY, headers("a2", "job-booking"))
        writer.wait_for("POST", count=2)
        told = self.stats()
        self.assertEqual((told["inflight"], told["backend_calls"]), (1, 4))
        writer.go.set()
        connection.getresponse().read()
        writer.respond = lambda h, b: h.plain(500)
        self.assertEqual(self.ask("a3", "job-booking"), 500)
        self.assertEqual(self.ops("POST", "/ops/replicas/down?target=s-1"), 200)
        self.assertEqual(self.ask("a4"), 503)
        told = self.stats()
        self.assertEqual(
            told["calls"],
            {"advice": {**none, "success": 1, "busy": 1}, "job-booking": {**none, "success": 1, "failure": 1}},
        )
        self.assertEqual((told["inflight"], told["hosts_listed"], told["hosts_down"]), (0, 2, 1))


class ByHand(DoorCase):
    def test_what_is_out_gets_nothing_until_one_call_back_whatever_discovery_lists(self):
        servers = self.start("all-in-one", "all-in-one")
        targets = [(f"s-{n}", s.address, "all-in-one") for n, s in enumerate(servers)]
        for _ in range(2):
            self.assertEqual(self.ops("POST", "/ops/replicas/down?target=s-0"), 200)

        def asked(id: str) -> tuple[int, int]:
            before = [s.runs for s in servers]
            for n in range(8):
                self.assertEqual(
                    self.program.ask("POST", PATH, BODY, {**headers(f"{id}{n}"), "Affinity-Key": f"{n}"})[0], 200
                )
            return servers[0].runs - before[0], servers[1].runs - before[1]

        self.assertEqual(asked("a"), (0, 8))
        for rev, listed in ((2, targets[1:]), (3, targets)):  # gone, and back
            self.discovery.update(*listed)
            self.discovery.wait_for("GET", f"/v1/endpoints?after={rev}")
            self.assertEqual(asked(f"b{rev}"), (0, 8))
        self.assertEqual(self.ops("POST", "/ops/replicas/up?target=s-0"), 200)
        end, n = time.monotonic() + 15, 0
        while not asked(f"c{n}-")[0]:  # it counts as cold, and gets its first requests within seconds
            self.assertLess(time.monotonic(), end)
            n += 1

    def test_an_id_that_is_out_and_no_longer_listed_can_be_put_back(self):
        first, second = self.start("all-in-one", "all-in-one")
        self.assertEqual(self.ops("POST", "/ops/replicas/down?target=s-0"), 200)
        self.discovery.update(("s-1", second.address, "all-in-one"))
        self.discovery.wait_for("GET", "/v1/endpoints?after=2")
        self.assertEqual([self.ops("POST", "/ops/replicas/up?target=s-0") for _ in range(2)], [200, 404])

    def test_an_answer_under_way_ends_in_peace(self):
        server, _ = self.start("all-in-one", "all-in-one")

        def waits(handler: Any, body: bytes) -> None:
            handler.chunks(TOKENS[0], last=False)
            server.go.wait(20)
            for part in (TOKENS[1], LAST):
                handler.more(part)
            handler.wfile.write(b"0\r\n\r\n")

        self.assertEqual(self.ops("POST", "/ops/replicas/down?target=s-1"), 200)
        server.respond = waits
        connection = self.program.connect()
        connection.request("POST", PATH, BODY, headers("a1", "job-booking"))
        response = connection.getresponse()
        self.assertEqual(self.ops("POST", "/ops/replicas/down?target=s-0"), 200)
        server.go.set()
        self.assertEqual(response.read(), b"".join(TOKENS) + LAST)


class Draining(DoorCase):
    def test_clients_are_sent_away_and_come_back(self):
        self.start("all-in-one")
        idle, used = self.program.connect(), self.program.connect()
        for connection in (idle, used):
            connection.request("POST", PATH, BODY, headers(f"{id(connection)}"))
            connection.getresponse().read()
        self.assertEqual([self.ops("POST", "/ops/drain/start") for _ in range(2)], [200, 200])
        self.assertEqual(self.program.ask("GET", "/ready")[0], 503)
        self.assertEqual(self.ops("GET", "/ops/readiness"), 200)  # it can serve, and does
        used.request("POST", PATH, BODY, headers("b1"))  # clients go on using what stays open
        response = used.getresponse()
        self.assertEqual((response.status, response.getheader("Connection")), (200, "close"))
        response.read()
        self.assertEqual(idle.sock.recv(1), b"")
        self.program.wait_line("side=client .* reason=drained")
        self.assertEqual(self.ask("b2"), 200)  # the front sends new ones for a while
        self.assertEqual([self.ops("POST", "/ops/drain/stop") for _ in range(2)], [200, 200])
        self.assertEqual(self.program.ask("GET", "/ready")[0], 200)
        kept = self.program.connect()
        for n in range(2):
            kept.request("POST", PATH, BODY, headers(f"c{n}"))
            response = kept.getresponse()
            self.assertEqual((response.status, response.getheader("Connection")), (200, None))
            response.read()

    def test_the_end_of_a_drain_does_not_keep_a_process_that_was_told_to_end(self):
        self.start("all-in-one")
        self.assertEqual(self.ops("POST", "/ops/drain/start"), 200)
        self.program.process.terminate()
        self.program.wait_line("draining: 0 requests open")
        self.assertEqual(self.ops("POST", "/ops/drain/stop"), 200)
        self.assertEqual(self.program.ask("GET", "/ready")[0], 503)
        self.assertEqual(self.program.process.wait(20), 0)
