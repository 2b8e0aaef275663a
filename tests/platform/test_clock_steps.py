"""The wall clock is stepped while the program runs, or between the starts of two processes.

Discovery reports the start times of replicas in wall-clock time. The program runs under the soak test's shim, which
steps its clock."""

import functools
import json
import os
import pathlib
import subprocess
import threading
import time
import unittest.mock
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from pearhill.lifecycle.takeover import READY_WITHIN_US
from tests.node.test_takeover import TakeoverCase
from tests.platform.test_owed import BODY, PATH
from tests.standins import SETTINGS, STREAM_CHUNKS, STREAM_END, Discovery, Program, Standin, platform_file

HOUR_S = 3600
REQUEST_COUNT = 24
LONG_DEADLINES = {
    **SETTINGS,
    "classes": [{**spec, "aim": 30_000_000, "deadline": 60_000_000} for spec in SETTINGS["classes"]],
}


class ShimmedProgram(Program):
    """The program under the shim, which reads commands from a pipe."""

    LAUNCH = ("-m", "pearhill.lab.soak.shim")


class DiscoveryWithStartTimes(Discovery):
    """Lists replicas with the times of their last starts, in Unix milliseconds."""

    def __init__(self, *targets: tuple[str, str, str]) -> None:
        self.boot_ms: dict[str, int] = {}
        super().__init__(*targets)

    def answer(self) -> dict[str, Any]:
        listed = super().answer()
        for target in listed["targets"]:
            target["boot_ms"] = self.boot_ms.get(target["uid"], 0)
        return listed


def start(
    folder: Any, discovery: Discovery, monkeypatch: pytest.MonkeyPatch, **environ: Any
) -> tuple[Program, Callable[[str], None]]:
    """Return the program and a function that sends a command to its shim, and waits until the shim has applied it."""
    read_end, write_end = os.pipe()
    monkeypatch.setattr("subprocess.Popen", _with_stdin(read_end))
    path = folder / "config.json"
    path.write_text(platform_file(discovery.address, settings=LONG_DEADLINES))
    program = ShimmedProgram(RELAY_CONFIG=str(path), RELAY_DISCOVERY=discovery.address, **environ)
    os.close(read_end)

    def command(line: str) -> None:
        earlier_lines = len(program.lines)
        os.write(write_end, line.encode() + b"\n")
        program.wait_line(f"shim: applied {line}", earlier_lines)

    return program, command


def _with_stdin(number: int) -> Any:
    return functools.partial(subprocess.Popen, stdin=number)


class SlowStartCase:
    """A warm replica and s-1, which has just started; neither ends an answer before `release_answers` is set."""

    def __init__(self) -> None:
        self.warm, self.cold, self.release_answers = Standin(), Standin(), threading.Event()
        self.discovery = DiscoveryWithStartTimes(
            ("s-0", self.warm.address, "all-in-one"), ("s-1", self.cold.address, "all-in-one")
        )
        for server in (self.warm, self.cold):
            server.respond = self._respond

    def _respond(self, handler: Any, body: bytes, /) -> Any:
        self.release_answers.wait(20)
        handler.chunks(*STREAM_CHUNKS, STREAM_END)

    def check_slow_start(self, program: Program) -> None:
        """Send requests at once, and check that the cold replica gets few of them."""
        end = time.monotonic() + 20
        clients = []
        for number in range(REQUEST_COUNT):
            connection = program.connect()
            connection.request("POST", PATH, BODY, _headers(f"c{number}"))
            clients.append(connection)
        while self.warm.post_count + self.cold.post_count + program.counters()["refused"] < REQUEST_COUNT:
            assert time.monotonic() < end, (self.warm.post_count, self.cold.post_count, program.counters())
        # At 0.28 of its capacity this dispatcher's bucket for the replica holds one request at a time.
        assert self.cold.post_count <= 3 < self.warm.post_count, (self.warm.post_count, self.cold.post_count)

    def close(self) -> None:
        self.release_answers.set()
        for thing in (self.warm, self.cold, self.discovery):
            thing.close()


@pytest.fixture
def case() -> Iterator[SlowStartCase]:
    slow_start_case = SlowStartCase()
    yield slow_start_case
    slow_start_case.close()


@pytest.mark.parametrize("step_s", [-HOUR_S, -20])
def test_a_replica_that_restarts_after_the_clock_was_set_back_gets_a_slow_start(
    case: SlowStartCase, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, step_s: int
) -> None:
    """By the new clock its start is earlier than the last one. Taken for the last one, it would get no slow start."""
    discovery = case.discovery
    discovery.boot_ms = {"s-1": int((time.time() - 15) * 1000)}
    program, command = start(tmp_path, discovery, monkeypatch)
    try:
        program.wait_ready()
        command(f"wall {step_s}")
        lists = program.counters()["lists"]
        discovery.boot_ms = {"s-1": int((time.time() + step_s) * 1000)}
        discovery.update(*discovery.targets)
        end = time.monotonic() + 20
        while program.counters()["lists"] == lists:
            assert time.monotonic() < end
        case.check_slow_start(program)
    finally:
        case.release_answers.set()
        program.kill()


@pytest.mark.parametrize("step_s", [20, HOUR_S])
def test_a_dispatcher_that_restarts_after_a_step_gives_a_replica_that_started_before_it_a_slow_start(
    case: SlowStartCase, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, step_s: int
) -> None:
    """By the clock that the new process finds, the replica has been warm for long."""
    first, command = start(tmp_path, case.discovery, monkeypatch, TMPDIR=str(tmp_path))
    try:
        first.wait_ready()
        case.discovery.boot_ms = {"s-1": int(time.time() * 1000)}
        command(f"wall {step_s}")
        first.wait_line("the wall clock was stepped by")
    finally:
        first.stop()
    commands = f"wall {step_s}"
    second, _ = start(tmp_path, case.discovery, monkeypatch, TMPDIR=str(tmp_path), SOAK_COMMANDS=commands)
    try:
        second.wait_ready()
        case.check_slow_start(second)
    finally:
        case.release_answers.set()
        second.kill()


def _headers(id: str) -> dict[str, str]:
    return {
        "Request-Id": id,
        "Request-Class": "advice",
        "Request-Timeout-Ms": "60000",
        "Request-Info": "prompt_len=3000,max_out=100",
    }


class TakeoverAfterAClockStep(TakeoverCase):
    def test_the_predecessor_yields_and_an_override_stays_in_force(self) -> None:
        for step_s in (-HOUR_S, HOUR_S):
            with self.subTest(step_s=step_s):
                old = self.start_process()
                old.wait_ready()
                assert self.call_admin(old, "POST", "/ops/replicas/down?target=s-0")[0] == 200
                with unittest.mock.patch.object(Program, "LAUNCH", ShimmedProgram.LAUNCH):
                    new = self.start_process(SOAK_COMMANDS=f"wall {step_s}")
                old.wait_line("another accepts the clients")
                self.wait_for(lambda new=new: self.is_ready(new))
                assert json.loads(self.call_admin(new, "GET", "/ops/stats")[1])["hosts_down"] == 1
                old.stop()
                assert self.call_admin(new, "POST", "/ops/replicas/up?target=s-0")[0] == 200
                new.kill()


class TakeoverOnAFullDisk(TakeoverCase):
    def test_a_successor_that_cannot_write_its_message_waits_before_it_reports_ready(self) -> None:
        """The predecessor cannot read the message, and would be terminated while it still accepts clients.

        So the successor accepts clients, but reports ready only at the age of `READY_WITHIN_US`."""
        old = self.start_process()
        old.wait_ready()
        began = time.monotonic()
        with unittest.mock.patch.object(Program, "LAUNCH", ShimmedProgram.LAUNCH):
            new = self.start_process(SOAK_COMMANDS="fail write-file ENOSPC 1")
        self.wait_for(lambda: self.is_ready(new))
        assert time.monotonic() - began > READY_WITHIN_US / 1e6
