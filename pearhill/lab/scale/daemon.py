"""Real processes of the scale run, and the resources that they use between two moments."""

from __future__ import annotations

import asyncio
import json
import pathlib
import re
import statistics
import subprocess
import sys
import time
import urllib.request
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from pearhill.lab.scale import observe
from pearhill.lab.scale.child import ProcessFailedError, last_line
from pearhill.lab.scale.measure import ProcessUsage, usage_of

START_TIMEOUT_S = 60.0
LOG_POLL_S = 0.05
QUERY_TIMEOUT_S = 10
# The log lines that contain the addresses on which a process listens.
_ADMIN_ADDRESS = re.compile(r"admin endpoint: listening on ([\d.]+:\d+)")
_FRONT_ADDRESS = re.compile(r"front listens on ([\d.]+:\d+)")
_TRAFFIC_QUANTITIES = ("bytes_in", "bytes_out", "messages_in", "messages_out")


class Daemon:
    """The process of a real dispatcher or aggregator. `arguments` are those of the Python interpreter.

    `admin_address` and `front_address` are read from the log of the process; empty if it does not listen there.
    """

    def __init__(self, name: str, folder: pathlib.Path, arguments: tuple[str, ...]) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.admin_address = ""
        self.front_address = ""
        self._arguments = arguments

    @property
    def pid(self) -> int:
        """The process ID. It is only available once the process is started."""
        assert self.process
        return self.process.pid

    async def start(self, ready: str) -> None:
        """Start the process and wait until its log matches `ready`.

        Raises ProcessFailedError if the process exits or does not become ready within `START_TIMEOUT_S`.
        """
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self._arguments], stderr=log, stdout=log, start_new_session=True
            )
        deadline = time.monotonic() + START_TIMEOUT_S
        while not re.search(ready, text := self.log.read_text(errors="replace")):
            if self.process.poll() is not None or time.monotonic() > deadline:
                raise ProcessFailedError(
                    f"{self.name} did not become ready: {last_line(self.log) or 'its log is empty'}"
                )
            await asyncio.sleep(LOG_POLL_S)
        if found := _ADMIN_ADDRESS.search(text):
            self.admin_address = found[1]
        if found := _FRONT_ADDRESS.search(text):
            self.front_address = found[1]

    async def query(self, path: str) -> dict[str, Any]:
        """Returns the response of an admin endpoint.

        Raises ProcessFailedError if no valid response arrives within `QUERY_TIMEOUT_S`.
        """
        try:
            return await asyncio.to_thread(self._get, path)
        except (OSError, ValueError) as e:
            raise ProcessFailedError(f"{self.name}: {path}: {e}") from None

    def _get(self, path: str) -> dict[str, Any]:
        with urllib.request.urlopen(f"http://{self.admin_address}{path}", timeout=QUERY_TIMEOUT_S) as response:
            body: dict[str, Any] = json.loads(response.read())
            return body

    def kill(self) -> None:
        """Send SIGKILL to the process if it was started and still runs."""
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


@dataclass(frozen=True, slots=True)
class UsageSnapshot:
    """Resources used up to one moment: usage of each process, and the totals of their messages and bytes."""

    at: float
    processes: list[ProcessUsage]
    totals: Counter[str]


async def snapshot_before(daemons: Sequence[Daemon]) -> UsageSnapshot:
    """Take the first of two snapshots. The queries run before it, so their cost is outside of the measured interval."""
    totals = await _datagram_totals(daemons)
    at = time.monotonic()
    return UsageSnapshot(at, [usage_of(daemon.pid) for daemon in daemons], totals)


async def snapshot_after(daemons: Sequence[Daemon]) -> UsageSnapshot:
    """Take the second of two snapshots. The queries run after it, so their cost is outside of the measured interval."""
    processes = [usage_of(daemon.pid) for daemon in daemons]
    at = time.monotonic()
    return UsageSnapshot(at, processes, await _datagram_totals(daemons))


async def _datagram_totals(daemons: Sequence[Daemon]) -> Counter[str]:
    totals: Counter[str] = Counter()
    for status in await asyncio.gather(*(daemon.query("/ops/fleet") for daemon in daemons)):
        totals.update(observe.messages_and_bytes(status["datagrams"]))
    return totals


@dataclass(frozen=True, slots=True)
class UsageWindow:
    """The resources that processes had used at the start and at the end of a measurement window."""

    before: UsageSnapshot
    after: UsageSnapshot

    def per_process(self) -> dict[str, Any] | None:
        """Returns the mean usage of one process in the form of the results file, or None if there are no processes.

        The processes must be of the same kind.
        """
        count = len(self.after.processes)
        if not count:
            return None
        seconds = self.after.at - self.before.at
        pairs = zip(self.before.processes, self.after.processes, strict=True)
        cpu_s = sum(after.cpu_s - before.cpu_s for before, after in pairs)
        return {
            "cpu_cores": round(cpu_s / seconds / count, 6),
            **traffic_rates(self.after.totals - self.before.totals, seconds, count),
            "memory_bytes": round(statistics.mean(usage.unshared_bytes for usage in self.after.processes)),
        }


def traffic_rates(totals: Counter[str], seconds: float, count: int) -> dict[str, float]:
    """Returns the mean bytes and messages per second of `count` processes or dispatchers, in the results' form."""
    return {f"{quantity}_s": round(totals[quantity] / seconds / count, 2) for quantity in _TRAFFIC_QUANTITIES}
