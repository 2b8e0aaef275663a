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


def start(folder: Any, discovery: Discovery, monkeypatch: pytest.MonkeyPatch) -> tuple[Program, Any]:
    """Return the program and a function that sends a command to its shim, and waits until the shim has applied it."""
    read_end, write_end = os.pipe()
    monkeypatch.setattr("subprocess.Popen", _with_stdin(read_end))
    path = folder / "config.json"
    path.write_text(platform_file(discovery.address, settings=LONG_DEADLINES))
    program = ShimmedProgram(RELAY_CONFIG=str(path), RELAY_DISCOVERY=discovery.address)
    os.close(read_end)

    def command(line: str) -> None:
        earlier_lines = len(program.lines)
        os.write(write_end, line.encode() + b"\n")
        program.wait_line(f"shim: applied {line}", earlier_lines)

    return program, command


def _with_stdin(number: int) -> Any:
    return functools.partial(subprocess.Popen, stdin=number)


@pytest.mark.parametrize("step_s", [-HOUR_S, -20])
def test_a_replica_that_restarts_after_the_clock_was_set_back_gets_a_slow_start(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, step_s: int
) -> None:
    """By the new clock its start is earlier than the last one. Taken for the last one, it would get no slow start."""
    warm, cold, release_answers = Standin(), Standin(), threading.Event()
    discovery = DiscoveryWithStartTimes(("s-0", warm.address, "all-in-one"), ("s-1", cold.address, "all-in-one"))
    discovery.boot_ms = {"s-1": int((time.time() - 15) * 1000)}
    for server in (warm, cold):
        server.respond = lambda handler, body: (release_answers.wait(20), handler.chunks(*STREAM_CHUNKS, STREAM_END))
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
        clients = []
        for number in range(REQUEST_COUNT):
            connection = program.connect()
            connection.request("POST", PATH, BODY, _headers(f"c{number}"))
            clients.append(connection)
        while warm.post_count + cold.post_count + program.counters()["refused"] < REQUEST_COUNT:
            assert time.monotonic() < end, (warm.post_count, cold.post_count, program.counters())
        # At 0.28 of its capacity this dispatcher's bucket for the replica holds one request at a time.
        assert cold.post_count <= 3 < warm.post_count, (warm.post_count, cold.post_count)
    finally:
        release_answers.set()
        program.kill()
        for thing in (warm, cold, discovery):
            thing.close()


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
