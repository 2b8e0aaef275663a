"""Five dispatcher processes that gossip through a relay, with stand-in replicas: crashes, stalls, partitions, lossy
paths."""

from __future__ import annotations

import functools
import pathlib
import re
import signal
import socket
import tempfile
import threading
from typing import Any

import pytest

from pearhill.chat import setup
from pearhill.config import ConfigError
from pearhill.lab.relay import Relay
from tests.chat.test_front import PATH, body, operator_file
from tests.membership.fleet_processes import FleetProcesses
from tests.standins import STREAM_CHUNKS, STREAM_END, Program, Standin

SEED = 20261201
LOAD = 400  # rough token estimate of one of the test's requests: half of its largest answer


class TestProcesses(FleetProcesses):
    NAMES = ("d1", "d2", "d3", "d4", "d5")

    def start(self, replicas: int = 2) -> None:
        print(f"seed {SEED}")
        self.relay = Relay(list(self.NAMES), SEED)
        self.cleanup.callback(self.relay.close)
        self.replicas = [Standin() for _ in range(replicas)]
        self.release = threading.Event()
        for replica in self.replicas:
            replica.respond = self.hold
            self.cleanup.callback(replica.close)
        self.cleanup.callback(self.release.set)
        folder = tempfile.TemporaryDirectory()
        self.cleanup.callback(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / "key").write_text("a-key-that-all-five-of-them-hold\n")
        self.programs = {}
        self.admin_addresses = {}
        for name in self.NAMES:
            self.run_one(name)

    def hold(self, handler: Any, sent: bytes) -> None:
        """Starts a stream that continues until the test sets `release`."""
        handler.chunks(STREAM_CHUNKS[0], last=False)
        self.release.wait(60)
        handler.send_chunk(STREAM_END)
        handler.wfile.write(b"0\r\n\r\n")

    def run_one(self, name: str) -> Program:
        peers = "".join(
            f'[[fleet.peer]]\nname = "{p}"\naddress = "{self.relay.address(p)}"\n' for p in self.NAMES if p != name
        )
        extra = f'[fleet]\nname = "{name}"\nlisten = "127.0.0.1:0"\nkey_files = ["{self.folder}/key"]\n{peers}'
        text = operator_file([e.address for e in self.replicas], extra, **{"n-instances": 1})
        path = self.folder / f"{name}.toml"
        path.write_text(text.replace("[chat]\n", "[chat]\nadmin_addr = '127.0.0.1:0'\n"))
        program = self.programs[name] = Program("--chat", str(path))
        self.cleanup.callback(program.kill)
        host, port = program.wait_line(rf"{name} uses UDP address ([\d.]+):(\d+)").groups()
        self.relay.register(name, host, int(port))
        self.admin_addresses[name] = program.wait_line(r"admin endpoint: listening on ([\w.:]+)")[1]
        return program

    def agree(self, count: int, heard: int, *names: str) -> None:
        """Waits until each of these counts `count` dispatchers and has `heard` of them as alive, itself included."""

        def agrees(name: str) -> bool:
            t = self.fleet_state(name)
            return (t["count"], 1 + sum(m["state"] == "alive" for m in t["members"].values())) == (count, heard)

        self.wait_until(lambda: all(agrees(n) for n in names), *names)

    def open_stream(self, name: str) -> None:
        """Opens a stream through this dispatcher and leaves it open."""
        program, sent = self.programs[name], body(stream=True)
        client = socket.create_connection((program.host, program.port), 20)
        self.cleanup.callback(client.close)
        client.sendall(
            b"POST %b HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
            % (PATH.encode(), len(sent), sent)
        )
        assert b" 200 OK" in client.recv(200)

    def known_load(self, name: str) -> float:
        total: float = sum(e["mine"]["load"] + e["others"]["load"] for e in self.fleet_state(name)["engines"])
        return total

    def all_count_more_than(self, least: float) -> bool:
        return min(map(self.known_load, self.NAMES)) > least

    def test_crash_stall_partition_and_restart_are_detected_by_all_and_counted_correctly(self) -> None:
        self.start()
        self.agree(5, 5, *self.NAMES)
        # A lossy path makes no dispatcher dead.
        self.relay.drop, self.relay.double, self.relay.delay_s = 0.2, 0.3, 0.1
        seen = self.relay.forwarded
        self.wait_until(lambda: self.relay.forwarded > seen + 600)
        assert {self.fleet_state(n)["count"] for n in self.NAMES} == {5}
        self.relay.drop = self.relay.double = self.relay.delay_s = 0.0
        self.agree(5, 5, *self.NAMES)
        # A crash.
        self.programs["d5"].process.kill()
        self.agree(4, 4, "d1", "d2", "d3", "d4")
        self.programs["d1"].wait_line(r"fleet: 4 dispatchers share the work, 4 of them reachable")
        # The same name restarts.
        self.run_one("d5")
        self.agree(5, 5, *self.NAMES)
        # One stalls and resumes.
        self.programs["d4"].process.send_signal(signal.SIGSTOP)
        self.agree(4, 4, "d1", "d2", "d3", "d5")
        self.programs["d4"].process.send_signal(signal.SIGCONT)
        self.agree(5, 5, *self.NAMES)
        assert not re.search(r"[0-3] of them are heard", "".join(self.programs["d4"].lines[5:]))
        # A partition: neither side counts the other two fifths, or three, as dead.
        self.relay.cut(["d1", "d2"], ["d3", "d4", "d5"])
        self.agree(5, 2, "d1", "d2")
        self.agree(5, 3, "d3", "d4", "d5")
        self.relay.cut()
        self.agree(5, 5, *self.NAMES)

    def test_each_dispatcher_chooses_the_replica_that_the_others_have_left_idle(self) -> None:
        """One conversation's requests, each sent to another dispatcher with no stream of its own, alternate between the
        home pair of replicas. Without the others' loads, all would go to the first replica of that pair."""
        self.start(replicas=6)
        self.agree(5, 5, *self.NAMES)
        for stream_count, name in enumerate(self.NAMES, 1):
            self.open_stream(name)
            wanted = (stream_count - 0.5) * LOAD
            self.wait_until(functools.partial(self.all_count_more_than, wanted))
            runs = sorted(replica.post_count for replica in self.replicas)
            assert runs == [0, 0, 0, 0, stream_count // 2, stream_count - stream_count // 2]

    def test_forged_datagrams_are_rejected_and_counted(self) -> None:
        self.start()
        self.agree(5, 5, *self.NAMES)
        host, port = self.relay.to["d1"]
        with socket.socket(type=socket.SOCK_DGRAM) as sender:
            for data in (b"", b"\x01", b"\x01" + b"x" * 200, b"\x02" * 60, b"\x00" * 1400):
                sender.sendto(data, (host, port))
        self.wait_until(
            lambda: sum(n for reason, n in self.fleet_state("d1")["datagrams"].items() if "rejected" in reason) == 5
        )
        self.agree(5, 5, *self.NAMES)


PEER = '[[fleet.peer]]\nname = "d2"\naddress = "127.0.0.1:1"\n'


def fleet_file(folder: pathlib.Path, peers: str = PEER, key: str = '["{}/good"]', listen: str = "127.0.0.1:0") -> str:
    """Returns a configuration file with a fleet; `{}` in `key` stands for the folder of the key files."""
    (folder / "good").write_text("k" * 32)
    (folder / "short").write_text("k" * 15)
    keys = key.replace("{}", str(folder))
    fleet = f'[fleet]\nname = "d1"\nlisten = "{listen}"\nkey_files = {keys}\n{peers}'
    return operator_file(["a:1"], fleet)


def test_a_file_with_a_fleet_names_its_peers(tmp_path: pathlib.Path) -> None:
    fleet = setup.loads(fleet_file(tmp_path)).fleet
    assert fleet
    assert set(fleet.peers) == {"d2"}


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"peers": PEER + PEER}, r"fleet.peer\[1\].name: found 'd2'; allowed: a name that no other peer has"),
        ({"peers": ""}, "fleet.peer: found nothing; allowed: a list"),
        ({"key": "[]"}, "fleet.key_files: found"),
        ({"key": '["/nowhere"]'}, r"fleet.key_files\[0\]: "),
        ({"key": '["{}/short"]'}, r"fleet.key_files\[0\]: found .*15 characters.*; allowed: 16 at least"),
        ({"listen": "nowhere"}, "fleet.listen"),
        ({"peers": PEER + "porto = 1\n"}, "fleet.peer.*porto"),
    ],
)
def test_invalid_fleet_settings_are_reported_with_their_path(
    tmp_path: pathlib.Path, changes: dict[str, str], expected: str
) -> None:
    text = fleet_file(tmp_path, **changes)
    with pytest.raises(ConfigError, match=expected):
        setup.loads(text)
