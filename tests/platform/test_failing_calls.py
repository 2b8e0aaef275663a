"""Reads and writes that fail for lack of memory or are interrupted by a signal end no connection.

The real program runs under the shim, which injects the failures."""

import pathlib
import time
import unittest.mock

import pytest

from tests.platform.test_clock_steps import ShimmedProgram, start
from tests.platform.test_owed import SERVED, LoopbackDispatcher, loopback, read_answer, request
from tests.standins import Discovery, Program, Standin

__all__ = ["loopback"]
ROUNDS = 30
PAUSES = 25  # failed accepts, one every 20 ms
ALLOWED_EXCESS_MS = 150  # a replica may be given this much more time than its client has left


@pytest.mark.parametrize(
    "faults",
    [
        "fail recv ENOMEM 0.3",
        "fail recv EINTR 0.3;fail send EINTR 0.3",
        "fail send ENOBUFS 0.3",
        "pieces 7;fail recv ENOBUFS 0.1",
    ],
)
def test_every_request_is_answered_completely_and_runs_once(monkeypatch: pytest.MonkeyPatch, faults: str) -> None:
    monkeypatch.setenv("SOAK_COMMANDS", faults)
    monkeypatch.setenv("SOAK_SEED", "11")
    print("seed 11")
    started, server = LoopbackDispatcher(), Standin()
    try:
        with unittest.mock.patch.object(Program, "LAUNCH", ShimmedProgram.LAUNCH):
            started.start((server, "all-in-one"))
        client = started.connect()
        for number in range(ROUNDS):
            client.sendall(request(f"a{number}"))
            assert read_answer(client) == (200, SERVED)
        assert server.post_count == ROUNDS
    finally:
        started.end()


def test_time_in_the_accept_queue_counts_towards_the_timeout(
    loopback: LoopbackDispatcher, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """While no connection can be accepted, its request has already been received by the system."""
    server, timeout_ms = Standin(), 5000
    loopback.discovery = Discovery(("s-0", server.address, "all-in-one"))
    loopback.resources += [loopback.discovery, server]
    loopback.program, command = start(tmp_path, loopback.discovery, monkeypatch)
    loopback.program.wait_ready()
    condition, lines = loopback.program.line_read, loopback.program.lines

    def pauses() -> int:
        return sum("accepting pauses" in line for line in lines)

    command("fail accept ENFILE 1")
    while not pauses():  # until the command is in force: later connections have to wait
        loopback.connect()
        with condition:
            condition.wait_for(pauses, 0.02)
    client, before = loopback.connect(), pauses()
    asked_at = time.monotonic()
    client.sendall(request("d1", wait_ms=timeout_ms))
    with condition:
        assert condition.wait_for(lambda: pauses() >= before + PAUSES, 20)
    waited_ms = (time.monotonic() - asked_at) * 1000
    command("fail accept ENFILE 0")
    assert read_answer(client) == (200, SERVED)
    given_ms = next(int(each["Request-Timeout-Ms"]) for each in server.headers if each.get("Request-Id") == "d1")
    assert given_ms <= timeout_ms - waited_ms + ALLOWED_EXCESS_MS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_start_succeeds_though_the_system_has_no_sockets_for_a_moment(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setenv("SOAK_COMMANDS", "fail socket ENFILE 0.8")
    monkeypatch.setenv("SOAK_SEED", str(seed))
    print(f"seed {seed}")
    started, server = LoopbackDispatcher(), Standin()
    try:
        with unittest.mock.patch.object(Program, "LAUNCH", ShimmedProgram.LAUNCH):
            started.start((server, "all-in-one"))
    finally:
        if hasattr(started, "program"):
            started.end()
        server.close()
