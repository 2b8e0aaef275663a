"""Five real dispatchers that gossip through a relay, and stand-in replicas: crashes, stalls, partitions, bad paths."""

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
from tests.standins import LAST, TOKENS, Program, Standin

SEED = 20261201
LOAD = 400  # tokens that one of the test's requests is taken for, roughly: half of the most it may answer


class TestProcesses(FleetProcesses):
    NAMES = ("d1", "d2", "d3", "d4", "d5")

    def start(self, replicas: int = 2) -> None:
        print(f"seed {SEED}")
        self.relay = Relay(list(self.NAMES), SEED)
        self.cleanup.callback(self.relay.close)
        self.replicas = [Standin() for _ in range(replicas)]
        self.go = threading.Event()
        for replica in self.replicas:
            replica.respond = self.hold
            self.cleanup.callback(replica.close)
        self.cleanup.callback(self.go.set)
        folder = tempfile.TemporaryDirectory()
        self.cleanup.callback(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / "key").write_text("a-key-that-all-five-of-them-hold\n")
        self.programs = {}
        self.admin_addresses = {}
        for name in self.NAMES:
            self.run_one(name)

    def hold(self, handler: Any, sent: bytes) -> None:
        """A stream that has begun and goes on until the test lets it end."""
        handler.chunks(TOKENS[0], last=False)
        self.go.wait(60)
        handler.more(LAST)
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
        host, port = program.wait_line(rf"{name} talks on ([\d.]+):(\d+)").groups()
        self.relay.place(name, host, int(port))
        self.admin_addresses[name] = program.wait_line(r"admin endpoint: listening on ([\w.:]+)")[1]
        return program

    def agree(self, count: int, heard: int, *names: str) -> None:
        """Each of these counts so many dispatchers, and hears so many, itself among them."""

        def so(name: str) -> bool:
            t = self.told(name)
            return (t["count"], 1 + sum(m["state"] == "alive" for m in t["members"].values())) == (count, heard)

        self.until(lambda: all(so(n) for n in names), *names)

    def ask(self, name: str) -> None:
        """A stream through this dispatcher, which stays open."""
        program, sent = self.programs[name], body(stream=True)
        client = socket.create_connection((program.host, program.port), 20)
        self.cleanup.callback(client.close)
        client.sendall(
            b"POST %b HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
            % (PATH.encode(), len(sent), sent)
        )
        assert b" 200 OK" in client.recv(200)

    def known_load(self, name: str) -> float:
        total: float = sum(e["mine"]["load"] + e["others"]["load"] for e in self.told(name)["engines"])
        return total

    def all_know(self, least: float) -> bool:
        return min(map(self.known_load, self.NAMES)) > least

    def test_crash_stall_cut_and_restart_are_seen_by_all_and_counted_right(self) -> None:
        self.start()
        self.agree(5, 5, *self.NAMES)
        # A bad path condemns nobody.
        self.relay.drop, self.relay.double, self.relay.delay_s = 0.2, 0.3, 0.1
        seen = self.relay.passed
        self.until(lambda: self.relay.passed > seen + 600)
        assert {self.told(n)["count"] for n in self.NAMES} == {5}
        self.relay.drop = self.relay.double = self.relay.delay_s = 0.0
        self.agree(5, 5, *self.NAMES)
        # A crash.
        self.programs["d5"].process.kill()
        self.agree(4, 4, "d1", "d2", "d3", "d4")
        self.programs["d1"].wait_line(r"fleet: 4 dispatchers share the work, 4 of them are heard of")
        # The same name starts anew.
        self.run_one("d5")
        self.agree(5, 5, *self.NAMES)
        # One stands still, and comes back.
        self.programs["d4"].process.send_signal(signal.SIGSTOP)
        self.agree(4, 4, "d1", "d2", "d3", "d5")
        self.programs["d4"].process.send_signal(signal.SIGCONT)
        self.agree(5, 5, *self.NAMES)
        assert not re.search(r"[0-3] of them are heard", "".join(self.programs["d4"].lines[5:]))
        # A cut in two: nobody believes that two fifths have died, or three.
        self.relay.cut(["d1", "d2"], ["d3", "d4", "d5"])
        self.agree(5, 2, "d1", "d2")
        self.agree(5, 3, "d3", "d4", "d5")
        self.relay.cut()
        self.agree(5, 5, *self.NAMES)

    def test_each_takes_the_replica_that_all_the_others_have_left_alone(self) -> None:
        """One conversation's requests, each at another dispatcher that has nothing open itself: they alternate between
        its two replicas. Without the others' loads all would go to the first of its order."""
        self.start(replicas=6)
        self.agree(5, 5, *self.NAMES)
        for asked, name in enumerate(self.NAMES, 1):
            self.ask(name)
            wanted = (asked - 0.5) * LOAD
            self.until(functools.partial(self.all_know, wanted))
            runs = sorted(replica.runs for replica in self.replicas)
            assert runs == [0, 0, 0, 0, asked // 2, asked - asked // 2]

    def test_forged_datagrams_change_nothing_and_are_counted(self) -> None:
        self.start()
        self.agree(5, 5, *self.NAMES)
        host, port = self.relay.to["d1"]
        with socket.socket(type=socket.SOCK_DGRAM) as foe:
            for data in (b"", b"\x01", b"\x01" + b"x" * 200, b"\x02" * 60, b"\x00" * 1400):
                foe.sendto(data, (host, port))
        self.until(lambda: sum(n for why, n in self.told("d1")["datagrams"].items() if "rejected" in why) == 5)
        self.agree(5, 5, *self.NAMES)


PEER = '[[fleet.peer]]\nname = "d2"\naddress = "127.0.0.1:1"\n'


def fleet_file(folder: pathlib.Path, peers: str = PEER, key: str = '["{}/good"]', listen: str = "127.0.0.1:0") -> str:
    """An operator's file with a fleet; `{}` in `key` stands for the folder of the key files."""
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
    ("changes", "why"),
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
def test_bad_settings_of_the_fleet_are_told_by_their_path(
    tmp_path: pathlib.Path, changes: dict[str, str], why: str
) -> None:
    text = fleet_file(tmp_path, **changes)
    with pytest.raises(ConfigError, match=why):
        setup.loads(text)
