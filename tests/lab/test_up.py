"""The commands of the README's first steps work as they are written there."""

from __future__ import annotations

import re
import shlex
import signal
import socket
import subprocess
import sys
import unittest

import pytest

from tests.chat.test_front import operator_file, write_file
from tests.standins import ROOT, Program

RECIPE = re.search(
    r"^run: build\n\t\.venv/bin/pearhill (.*) \$\(CHAT\)$", (ROOT / "Makefile").read_text(), re.MULTILINE
)
CURL = re.search(r"^    (curl -sN .*?\}')$", (ROOT / "README.md").read_text(), re.MULTILINE | re.DOTALL)
CLI = ("-c", "from pearhill.cli.main import main; main()")


class Up(unittest.TestCase):
    def test_make_run_and_the_readmes_curl_give_a_streamed_answer_and_ctrl_c_ends_all(self) -> None:
        assert RECIPE
        assert CURL

        class Run(Program):
            LAUNCH = (*CLI, *shlex.split(RECIPE[1]))

        program = Run("deploy/chat.toml")
        self.addCleanup(program.kill)
        answer = subprocess.run(shlex.split(CURL[1]), capture_output=True, text=True, timeout=20)
        assert answer.returncode == 0, answer
        events = [line for line in answer.stdout.splitlines() if line]
        assert events[-1] == "data: [DONE]"
        assert sum("chat.completion.chunk" in line for line in events) > 10
        program.process.send_signal(signal.SIGINT)
        assert program.stop() == 0
        for port in (8090, 8101, 8102):
            with socket.socket() as left, pytest.raises(ConnectionRefusedError):
                left.connect(("127.0.0.1", port))

    def test_a_file_that_cannot_be_served_is_reported_without_a_traceback(self) -> None:
        with socket.socket() as occupied:
            occupied.bind(("127.0.0.1", 0))
            occupied.listen()
            port = occupied.getsockname()[1]
            for address, why in (
                (f"127.0.0.1:{port}", f"simulated replica: cannot listen on 127.0.0.1:{port}: "),
                ("10.1.2.3:80", "server: found one at 10.1.2.3:80; allowed: addresses of this"),
                ("engines.example:80", "server: found one at engines.example:80; allowed: addresses"),
            ):
                with self.subTest(address):
                    path = write_file(self, operator_file([address]))
                    done = subprocess.run(
                        [sys.executable, *CLI, "lab", "up", path], capture_output=True, text=True, cwd=ROOT, timeout=60
                    )
                    assert (done.returncode, done.stderr.count("Traceback")) == (2, 0), done.stderr
                    assert f"pearhill: {why}" in done.stderr
