"""The signals of the daemons, sent to the real programs."""

from __future__ import annotations

import contextlib
import pathlib
import signal
import subprocess
from collections.abc import Callable

import pytest

from tests.chat.test_front import operator_file
from tests.cli.test_cli import ServeCommand
from tests.standins import Program, dead_address, platform_file

BETWEEN_SIGNALS_S = 0.0005
MAX_SIGNALS = 40_000  # about 20 s
ONE_SIGNAL_EACH = (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT)


def start_platform(folder: pathlib.Path) -> Program:
    path = folder / "config.json"
    path.write_text(platform_file(dead_address()))
    return Program(RELAY_CONFIG=str(path))


def start_chat(folder: pathlib.Path) -> Program:
    path = folder / "chat.toml"
    path.write_text(operator_file([dead_address()]))
    return Program("--chat", str(path))


def start_aggregator(folder: pathlib.Path) -> Program:
    key = folder / "key"
    key.write_text("a-key-that-all-of-them-hold\n")
    path = folder / "aggregator.toml"
    path.write_text(f'[aggregator]\nname = "a1"\nlisten = "127.0.0.1:0"\nkey_files = ["{key}"]\n')
    return ServeCommand("aggregator", str(path))


ALL_PROGRAMS = pytest.mark.parametrize("start", [start_platform, start_chat, start_aggregator])


@ALL_PROGRAMS
@pytest.mark.parametrize("number", ONE_SIGNAL_EACH)
def test_a_signal_at_any_time_of_a_shutdown_does_not_end_the_process(
    tmp_path: pathlib.Path, start: Callable[[pathlib.Path], Program], number: signal.Signals
) -> None:
    """A closing event loop restored the default action, so that a late signal ended the process."""
    program = start(tmp_path)
    try:
        program.process.terminate()
        for _ in range(MAX_SIGNALS):
            program.process.send_signal(number)
            with contextlib.suppress(subprocess.TimeoutExpired):
                program.process.wait(BETWEEN_SIGNALS_S)
                break
        assert program.process.returncode == 0, "".join(program.lines[-20:])
    finally:
        program.kill()


@ALL_PROGRAMS
def test_sigusr1_logs_the_counters(tmp_path: pathlib.Path, start: Callable[[pathlib.Path], Program]) -> None:
    """At an aggregator the signal was never unblocked."""
    program = start(tmp_path)
    try:
        line_count = len(program.lines)
        program.process.send_signal(signal.SIGUSR1)
        program.wait_line("counters ", line_count)
        assert program.stop() == 0
    finally:
        program.kill()
