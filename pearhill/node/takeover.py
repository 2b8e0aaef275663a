"""One process of a dispatcher beside the one whose place it takes, or the one that takes its place."""

from __future__ import annotations

import os
import pathlib
import sys
import time

from loguru import logger

from pearhill.durable.message_folder import MessageFolder
from pearhill.lifecycle.takeover import READY_BY, Takeover, TakeoverMessage, TakeoverMessageError, decode
from pearhill.net.clock import monotonic_offset
from pearhill.net.ticks import pause
from pearhill.node.node import Node

LOOK_EVERY = 100_000  # a call at either process holds for both within this


def _age() -> int:
    """Microseconds since the platform started this process, which an interpreter on a part of a core takes seconds to
    load. The system counts in ticks of 10 ms, rounded down: it started in the course of that one, and is taken for as
    young as it may be. Where the system does not tell, it is as old as can be."""
    try:
        with open("/proc/self/stat", "rb") as file:
            tick = int(file.read().rpartition(b")")[2].split()[19])
        latest_start = (tick + 1) / os.sysconf("SC_CLK_TCK")
        return max(0, int((time.clock_gettime(time.CLOCK_BOOTTIME) - latest_start) * 1e6))
    except (OSError, ValueError, IndexError):
        return sys.maxsize


def _boot() -> str:
    """Which boot of the machine this is; empty where the system does not tell."""
    try:
        return pathlib.Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


class TakeoverTask:
    """Looks once when it is made, so that what is out is known before the first list. Nothing needs the folder: without
    it the process serves alone. Danger: a disk may take a second over a small file, and the loop would stand still;
    once the process serves, a thread reads and writes."""

    def __init__(self, node: Node, folder: str, name: str) -> None:
        self.node, self.start = node, node.deadlines.clock()
        self.messages = MessageFolder(folder, name, self.start)
        self.takeover = Takeover(name, self.start, node.overrides, monotonic_offset(node.deadlines.clock), _boot())
        self.told_to_serve = False  # others can read by now that this process takes the clients
        self._failed = False  # the last note could not be written
        self._complaints = set[str]()
        node.succeeded = self._succeeded
        self._heard(self._exchange(self._note()))
        self._task = node.pool.spawn(self._run())

    async def _run(self) -> None:
        while True:
            await pause(self.node.deadlines, LOOK_EVERY)
            note = self._note()
            self._heard(await self.node.loop.run_in_executor(None, self._exchange, note))
            self.told_to_serve = self.told_to_serve or (note is not None and note.serving and not self._failed)

    def _note(self, ended: bool = False) -> TakeoverMessage | None:
        return self.takeover.message(self.node.deadlines.clock(), self.node.accepting, self.node.quiet, ended)

    def _exchange(self, note: TakeoverMessage | None) -> list[tuple[pathlib.Path, bytes]]:
        """Write ours, read theirs. Runs in the thread: it touches files and nothing else."""
        try:
            if note:
                self._failed = True
                self.messages.write(note.encode())
                self._failed = False
        except OSError as e:
            self.takeover.write_failed()
            self._complain(f"the note cannot be written, so another process will not know of this one: {e}")
        try:
            return list(self.messages.others())
        except OSError as e:
            self._complain(f"the folder for notes cannot be read, so this process serves alone: {e}")
            return []

    def _complain(self, what: str) -> None:
        """Once each. Danger: said ten times a second it would bury the rest of the log."""
        if what not in self._complaints and len(self._complaints) < 100:
            self._complaints.add(what)
            logger.warning("upgrade: {what}", what=what)

    def _heard(self, files: list[tuple[pathlib.Path, bytes]]) -> None:
        handover, now = self.takeover, self.node.deadlines.clock()
        found: list[tuple[pathlib.Path, TakeoverMessage]] = []
        for path, data in files:
            try:
                found.append((path, decode(data, handover.name).aligned(handover.origin, handover.boot)))
            except TakeoverMessageError as e:
                self._complain(f"{path.name} is left aside: {e}")
        before = handover.process_count, handover.succeeded
        engines, drain = handover.receive(now, [note for _, note in found])
        for path, note in found:
            if handover.expired(note, now):
                self.messages.remove(path)
        if (handover.process_count, handover.succeeded) != before:
            logger.info(
                "upgrade: {parts} processes serve, {what}",
                parts=handover.process_count,
                what="another takes the clients" if handover.succeeded else "this one takes clients",
            )
        self.node.share_limits(handover.process_count)
        self.node.yield_to_successor(handover.succeeded)
        self.node.apply_overrides(engines, drain)

    def _succeeded(self) -> bool:
        """Danger: the signal to end may come a moment after the successor's yes, before the next look."""
        self._heard(self._exchange(None))
        return self.takeover.succeeded

    def may_accept(self, can_serve: bool) -> bool:
        """Danger: taken before this process can serve, clients would be refused whom the other one serves well."""
        return can_serve or not self.takeover.predecessor_alive

    def reports_ready(self) -> bool:
        age = _age()
        return (self.told_to_serve or age >= READY_BY) and self.takeover.reports_ready(age)

    def end(self) -> None:
        self._task.cancel()
        self._exchange(self._note(ended=True))
