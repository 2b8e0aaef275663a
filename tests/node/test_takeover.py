"""Takeover between two real processes of one dispatcher that share a listening socket of the platform."""

import http.client
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections import Counter
from typing import Any

from pearhill.lifecycle.takeover import READY_WITHIN_US
from tests.admin.test_endpoint import call
from tests.platform.test_daemon import BODY, PATH, headers
from tests.standins import ROOT, STREAM_CHUNKS, STREAM_END, Discovery, Program, Standin, platform_file


class TakeoverCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.messages = self.folder / "tmp"
        self.messages.mkdir()
        self.listening_socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.addCleanup(self.listening_socket.close)
        self.address = f"127.0.0.1:{self.listening_socket.getsockname()[1]}"
        self.replicas = [Standin(), Standin()]
        self.discovery = Discovery(
            *((f"s-{n}", replica.address, "all-in-one") for n, replica in enumerate(self.replicas))
        )
        for stand_in in (*self.replicas, self.discovery):
            self.addCleanup(stand_in.close)
        self.answers: dict[str, http.client.HTTPResponse] = {}  # that have begun, by id

    def start_process(self, discovery: str = "", **environ: str) -> Program:
        path = self.folder / f"{time.monotonic_ns()}.json"
        path.write_text(platform_file(discovery or self.discovery.address))
        fd = self.listening_socket.fileno()
        environment: dict[str, Any] = {
            "RELAY_CONFIG": str(path),
            "RELAY_PASSED_SOCKET": str(fd),
            "RELAY_ADMIN_ADDR": "127.0.0.1:0",
            "TMPDIR": str(self.messages),
            **environ,
        }
        program = Program(passed=(fd,), **environment)
        program.config = path
        self.addCleanup(program.kill)
        return program

    def call_admin(self, program: Program, method: str, path: str) -> tuple[int, bytes]:
        status, _, body = call(program.wait_line(r"admin endpoint: listening on (\S+)")[1], method, path)
        return status, body

    def wait_for(self, condition: Any, seconds: float = 20) -> None:
        end = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < end
            time.sleep(0.01)

    def is_ready(self, program: Program) -> bool:
        return self.call_admin(program, "GET", "/ops/readiness")[0] == 200

    def request_status(self, id: str, cls: str = "advice", path: str = PATH) -> int:
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        try:
            connection.request("GET" if path != PATH else "POST", path, BODY, headers(id, cls))
            response = connection.getresponse()
            response.read()
            return response.status
        finally:
            connection.close()


class Traffic:
    """Clients with persistent connections that send bookings one after another until `stop`."""

    def __init__(self, address: str, clients: int) -> None:
        self.address, self.stopped = address, threading.Event()
        self.answers: Counter[str] = Counter()
        self.threads = [threading.Thread(target=self._run, args=(n,)) for n in range(clients)]
        for thread in self.threads:
            thread.start()

    def _run(self, client: int) -> None:
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        n = 0
        while not self.stopped.is_set():
            n += 1
            try:
                connection.request("POST", PATH, BODY, headers(f"{client}-{n}", "job-booking"))
                response = connection.getresponse()  # http.client reconnects after `Connection: close`
                complete = response.read() == b"".join(STREAM_CHUNKS) + STREAM_END
                self.answers[f"{response.status}{'' if complete else ' broken'}"] += 1
            except (OSError, http.client.HTTPException) as e:
                self.answers[type(e).__name__] += 1
                connection.close()
        connection.close()

    def stop(self) -> Counter[str]:
        self.stopped.set()
        for thread in self.threads:
            thread.join(30)
        return self.answers


class Takeovers(TakeoverCase):
    def start_successor_without_replicas(self) -> "subprocess.Popen[bytes]":
        """Start a successor without replicas, and wait for its signal handlers and its admin endpoint."""
        empty = Discovery()
        self.addCleanup(empty.close)
        path = self.folder / "empty.json"
        path.write_text(platform_file(empty.address))
        fd = self.listening_socket.fileno()
        new = subprocess.Popen(
            [sys.executable, "-m", "pearhill"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            pass_fds=(fd,),
            env={
                "RELAY_CONFIG": str(path),
                "RELAY_PASSED_SOCKET": str(fd),
                "TMPDIR": str(self.messages),
                "RELAY_ADMIN_ADDR": "127.0.0.1:0",
            },
        )
        assert new.stderr
        self.addCleanup(new.stderr.close)
        self.addCleanup(new.wait)
        self.addCleanup(new.kill)
        assert any(b"admin endpoint: listening" in line for line in new.stderr)
        return new

    def test_during_a_takeover_no_booking_is_lost_repeated_or_reset(self) -> None:
        old = self.start_process()
        self.wait_for(lambda: self.is_ready(old))
        traffic = Traffic(self.address, 8)
        self.wait_for(lambda: sum(traffic.answers.values()) > 50)
        new = self.start_process()
        old.wait_line("another accepts the clients")
        self.wait_for(lambda: self.is_ready(new))
        old.process.terminate()
        assert old.process.wait(20) == 0
        before = sum(traffic.answers.values())
        self.wait_for(lambda: sum(traffic.answers.values()) > before + 50)
        answers = traffic.stop()
        assert set(answers) == {"200"}, answers
        ran = Counter(h["Request-Id"] for replica in self.replicas for h in replica.headers if h.get("Request-Id"))
        assert (len(ran), set(ran.values())) == (sum(answers.values()), {1})
        new.wait_line("upgrade: 1 processes serve, this one accepts clients")

        def files_left() -> list[str]:
            return sorted(path.suffix for path in self.messages.iterdir())

        # The file of both processes, and one message: the old process's is removed. While the new one writes its own,
        # there is a temporary file too.
        self.wait_for(lambda: files_left() == [".clock", ".ids", ".note"])

    def hold_bookings(self) -> None:
        """Have the replicas begin the answers to bookings, and complete them once `release_answers` is set."""
        for replica in self.replicas:

            def respond(handler: Any, body: bytes, replica: Standin = replica) -> None:
                if handler.command == "DELETE":
                    handler.send_response_body(204)
                    return
                handler.chunks(STREAM_CHUNKS[0], last=False)
                replica.release_answers.wait(30)
                handler.send_chunk(STREAM_CHUNKS[1] + STREAM_END)
                handler.wfile.write(b"0\r\n\r\n")

            replica.respond = respond  # type: ignore[method-assign]

    def begin_booking(self, id: str) -> http.client.HTTPConnection:
        """Send a booking on a connection of its own, and wait until its answer has begun."""
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        self.addCleanup(connection.close)
        connection.request("POST", PATH, BODY, headers(id, "job-booking"))
        self.answers[id] = connection.getresponse()
        assert self.answers[id].status == 200
        return connection

    def runs(self) -> Counter[str]:
        """Return how often each request was begun at a replica."""
        return Counter(h["Request-Id"] for replica in self.replicas for h in replica.headers if h.get("Request-Id"))

    def start_successor(self, old: Program) -> Program:
        """Start a second process, and wait until it accepts the clients."""
        new = self.start_process()
        old.wait_line("another accepts the clients")
        return new

    def test_an_id_that_is_open_at_one_process_of_a_takeover_is_rejected_at_the_other(self) -> None:
        """Guards against review/7: each process knew only the ids that it had open itself, and a booking was begun a
        second time at the new process while the old one streamed the answer to the first."""
        self.hold_bookings()
        old = self.start_process()
        self.wait_for(lambda: self.is_ready(old))
        host, _, port = self.address.rpartition(":")
        kept = http.client.HTTPConnection(host, int(port), timeout=20)
        self.addCleanup(kept.close)
        kept.request("GET", "/ready")
        kept.getresponse().read()
        ids = [f"old-{number}" for number in range(6)]
        for id in ids:
            self.begin_booking(id)
        new = self.start_successor(old)
        assert [self.request_status(id, "job-booking") for id in ids] == [409] * len(ids)
        self.begin_booking("new")
        kept.request("POST", PATH, BODY, headers("new", "job-booking"))  # at the old process
        assert kept.getresponse().status == 409
        for replica in self.replicas:
            replica.release_answers.set()
        for answer in self.answers.values():
            assert answer.read() == b"".join(STREAM_CHUNKS) + STREAM_END
        self.wait_for(lambda: self.is_ready(new))
        old.process.terminate()
        assert old.process.wait(20) == 0
        assert [self.request_status(id, "job-booking") for id in ids] == [409] * len(ids)
        assert set(self.runs().values()) == {1}

    def test_a_process_of_a_takeover_that_is_killed_leaves_its_bookings_unrepeated(self) -> None:
        """The same cause, whichever process ends first."""
        self.hold_bookings()
        old = self.start_process()
        self.wait_for(lambda: self.is_ready(old))
        self.begin_booking("old")
        new = self.start_successor(old)
        self.begin_booking("new")
        new.process.kill()
        old.wait_line("upgrade: 1 processes serve, this one accepts clients")
        assert self.request_status("new", "job-booking") == 409
        last = self.start_successor(old)
        old.process.kill()
        last.wait_line("upgrade: 1 processes serve, this one accepts clients")
        assert self.request_status("old", "job-booking") == 409
        assert set(self.runs().values()) == {1}
        for replica in self.replicas:
            replica.release_answers.set()
        assert self.request_status("fresh", "job-booking") == 200

    def test_an_override_set_at_either_process_applies_at_both_and_survives_the_takeover(self) -> None:
        old = self.start_process()
        self.wait_for(lambda: self.is_ready(old))
        down, up = "/ops/replicas/down?target=s-0", "/ops/replicas/up?target=s-0"

        def avoided(program: Program) -> int:
            return int(json.loads(self.call_admin(program, "GET", "/ops/stats")[1])["hosts_down"])

        assert self.call_admin(old, "POST", down)[0] == 200
        new = self.start_process()
        assert avoided(new) == 1
        assert self.call_admin(new, "POST", up)[0] == 200
        self.wait_for(lambda: avoided(old) == 0)
        for first, then in ((old, new), (new, old)):
            for command, begins_drain in (("start", True), ("stop", False)):
                assert self.call_admin(first, "POST", f"/ops/drain/{command}")[0] == 200
                begins = f"operators: the drain {'begins' if begins_drain else 'is over'}"
                first.wait_line(begins)
                self.wait_for(
                    lambda begins_drain=begins_drain: self.request_status("r", path="/ready")
                    == (503 if begins_drain else 200)
                )
            assert avoided(then) == 0
        assert self.call_admin(old, "POST", down)[0] == 200
        self.wait_for(lambda: avoided(new) == 1)
        old.process.kill()
        new.wait_line("upgrade: 1 processes serve")
        assert avoided(new) == 1

    def test_a_successor_that_cannot_serve_accepts_no_clients_and_its_exit_changes_nothing(self) -> None:
        old = self.start_process()
        self.wait_for(lambda: self.is_ready(old))
        new = self.start_successor_without_replicas()
        old.wait_line("upgrade: 2 processes serve, this one accepts clients")
        assert [self.request_status(f"a{n}", "job-booking") for n in range(20)] == [200] * 20
        new.kill()
        old.wait_line("upgrade: 1 processes serve, this one accepts clients")
        assert [self.request_status(f"b{n}", "job-booking") for n in range(20)] == [200] * 20
        assert not [line for line in old.lines if "another accepts" in line]

    def test_a_successor_terminated_before_it_can_serve_accepts_no_clients(self) -> None:
        old = self.start_process()
        self.wait_for(lambda: self.is_ready(old))
        new = self.start_successor_without_replicas()
        old.wait_line("upgrade: 2 processes serve, this one accepts clients")
        new.terminate()
        answers: list[int] = []
        while new.poll() is None:
            answers.append(self.request_status(f"a{len(answers)}", "job-booking"))
        assert (set(answers), new.wait(20)) == ({200}, 0)
        assert not [line for line in old.lines if "another accepts" in line]

    def test_when_a_serving_successor_is_killed_the_predecessor_accepts_clients_again(self) -> None:
        old = self.start_process()
        self.wait_for(lambda: self.is_ready(old))
        new = self.start_process()
        old.wait_line("another accepts the clients")
        new.process.kill()
        assert self.request_status("a1", "job-booking") == 200  # answered once the old process accepts again
        old.wait_line("upgrade: 1 processes serve, this one accepts clients")
        assert self.request_status("a2", path="/ready") == 200

    def test_readiness_waits_until_the_predecessor_has_answered_its_requests(self) -> None:
        replica = self.replicas[0]
        self.discovery.update(("s-0", replica.address, "all-in-one"))
        old = self.start_process()
        self.wait_for(lambda: self.is_ready(old))

        def answer_when_released(handler: Any, body: bytes) -> None:
            replica.release_answers.wait(20)
            handler.chunks(*STREAM_CHUNKS, STREAM_END)

        replica.respond = answer_when_released
        host, _, port = self.address.rpartition(":")
        client = http.client.HTTPConnection(host, int(port), timeout=20)
        self.addCleanup(client.close)
        client.request("POST", PATH, BODY, headers("long", "job-booking"))
        replica.wait_for("POST")
        began = time.monotonic()
        new = self.start_process()
        if self.is_ready(new):  # only if the machine was slow to start the process
            assert time.monotonic() - began > READY_WITHIN_US / 1000000.0
        replica.release_answers.set()
        response = client.getresponse()
        assert (response.status, response.read()) == (200, b"".join(STREAM_CHUNKS) + STREAM_END)
        self.wait_for(lambda: self.is_ready(new))

    def test_a_shutdown_without_a_successor_is_graceful_and_the_next_start_keeps_down_overrides(self) -> None:
        old = self.start_process()
        self.wait_for(lambda: self.is_ready(old))
        assert self.call_admin(old, "POST", "/ops/replicas/down?target=s-0")[0] == 200
        assert self.call_admin(old, "POST", "/ops/drain/start")[0] == 200
        old.process.terminate()
        old.wait_line("draining: 0 requests open")
        assert self.request_status("a1") == 200  # it still accepts clients
        assert old.process.wait(20) == 0
        new = self.start_process()
        self.wait_for(lambda: self.is_ready(new))
        assert self.request_status("a2", path="/ready") == 200  # a drain ends with its process
        assert json.loads(self.call_admin(new, "GET", "/ops/stats")[1])["hosts_down"] == 1

    def test_unwritable_or_unreadable_messages_do_not_prevent_a_start(self) -> None:
        self.messages.rmdir()
        alone = self.start_process()
        self.wait_for(lambda: self.is_ready(alone))
        alone.wait_line("upgrade: the takeover message cannot be written")
        alone.kill()
        self.messages.mkdir()
        first = self.start_process()
        self.wait_for(lambda: list(self.messages.glob("*.note")))
        name = next(self.messages.glob("*.note")).name
        first.kill()
        for n, data in enumerate((b"", b"pearhill-note 9 00000000\n", b"\x00" * 3_000_000)):
            (self.messages / f"{name.partition('-')[0]}-{name.split('-')[1]}-{n}-1.note").write_bytes(data)
        again = self.start_process()
        self.wait_for(lambda: self.is_ready(again))
        again.wait_line("upgrade: .* is ignored: of another version")

    def test_an_invalid_passed_socket_is_a_one_line_error_with_exit_code_2(self) -> None:
        plain = socket.socket()
        self.addCleanup(plain.close)
        path = self.folder / "config.json"
        path.write_text(platform_file(self.discovery.address))
        for number, fds in (("x", ()), ("1", ()), ("-7", ()), ("999", ()), (str(plain.fileno()), (plain.fileno(),))):
            with self.subTest(number=number):
                done = subprocess.run(
                    [sys.executable, "-m", "pearhill"],
                    cwd=ROOT,
                    capture_output=True,
                    pass_fds=fds,
                    env={"RELAY_CONFIG": str(path), "RELAY_PASSED_SOCKET": number},
                )
                assert (done.returncode, done.stderr.count(b"\n")) == (2, 1), done.stderr
                assert b"pearhill: RELAY_PASSED_SOCKET: " in done.stderr
