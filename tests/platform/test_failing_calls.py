"""Reads and writes that fail for want of memory, or by a signal, end no connection: the real program under the shim."""

import unittest.mock

import pytest

from tests.platform.test_clock_steps import Shimmed
from tests.platform.test_owed import SERVED, Day, answer, request
from tests.standins import Program, Standin

ROUNDS = 30


@pytest.mark.parametrize(
    "faults",
    [
        "fail recv ENOMEM 0.3",
        "fail recv EINTR 0.3;fail send EINTR 0.3",
        "fail send ENOBUFS 0.3",
        "pieces 7;fail recv ENOBUFS 0.1",
    ],
)
def test_every_request_is_answered_whole_and_runs_once(monkeypatch, faults):
    monkeypatch.setenv("SOAK_COMMANDS", faults)
    monkeypatch.setenv("SOAK_SEED", "11")
    print("seed 11")
    day, server = Day(), Standin()
    try:
        with unittest.mock.patch.object(Program, "LAUNCH", Shimmed.LAUNCH):
            day.start((server, "all-in-one"))
        client = day.connect()
        for number in range(ROUNDS):
            client.sendall(request(f"a{number}"))
            assert answer(client) == (200, SERVED)
        assert server.runs == ROUNDS
    finally:
        day.end()
