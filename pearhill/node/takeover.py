"""One process of a dispatcher beside its predecessor or its successor: it exchanges messages with them in files, and
does at the node what `lifecycle.takeover` concludes from them."""

from __future__ import annotations

import pathlib
from typing import NamedTuple

from loguru import logger

from pearhill.durable.message_folder import MessageFolder
from pearhill.lifecycle.takeover import READY_WITHIN_US, Takeover
from pearhill.lifecycle.takeover_message import TakeoverMessage, TakeoverMessageError, decode
from pearhill.net.clock import monotonic_offset
from pearhill.net.ticks import pause
from pearhill.node.node import Node
from pearhill.node.process_info import boot_id, process_age

EXCHANGE_INTERVAL_US = 100_000  # a call at either process holds for both within this
MAX_WARNINGS = 100  # different ones that are logged


class _ReceivedMessage(NamedTuple):
    path: pathlib.Path
    message: TakeoverMessage


class TakeoverTask:
    """Exchanges messages once when it is made, so that overrides are known before the first endpoints, and then
    regularly. Nothing needs the folder: without it the process serves alone. A disk may take a second over a small
    file, and the event loop would stand still; once the process serves, a thread reads and writes."""

    def __init__(self, node: Node, folder: str, name: str) -> None:
        self.node = node
        started_at = node.deadlines.clock()
        self.messages = MessageFolder(folder, name, started_at)
        self.takeover = Takeover(
            name, started_at, node.override_control.overrides, monotonic_offset(node.deadlines.clock), boot_id()
        )
        self.serving_announced = False  # others can read by now that this process takes the clients
        self._write_failed = False  # the last message could not be written
        self._warnings = set[str]()
        node.succeeded = self._succeeded
        self._receive(self._exchange(self._message()))
        self._task = node.pool.spawn(self._run())

    def may_accept(self, can_serve: bool) -> bool:
        """Whether clients may be accepted: before this process can serve, it would reject clients that the predecessor
        serves well."""
        return can_serve or not self.takeover.predecessor_alive

    def reports_ready(self) -> bool:
        """Whether this process may report itself ready to the platform, which ends the predecessor."""
        age = process_age()
        return (self.serving_announced or age >= READY_WITHIN_US) and self.takeover.reports_ready(age)

    def end(self) -> None:
        """Stop, and leave a message that this process has ended."""
        self._task.cancel()
        self._exchange(self._message(ended=True))

    async def _run(self) -> None:
        while True:
            await pause(self.node.deadlines, EXCHANGE_INTERVAL_US)
            message = self._message()
            self._receive(await self.node.loop.run_in_executor(None, self._exchange, message))
            if message is not None and message.serving and not self._write_failed:
                self.serving_announced = True

    def _message(self, ended: bool = False) -> TakeoverMessage | None:
        return self.takeover.message(self.node.deadlines.clock(), self.node.accepting, self.node.all_answered, ended)

    def _exchange(self, message: TakeoverMessage | None) -> list[tuple[pathlib.Path, bytes]]:
        """Write this process's message, read the others'. Runs in the thread: it touches files and nothing else."""
        try:
            if message:
                self._write_failed = True
                self.messages.write(message.encode())
                self._write_failed = False
        except OSError as e:
            self.takeover.write_failed()
            self._warn_once(f"the note cannot be written, so another process will not know of this one: {e}")
        try:
            return list(self.messages.others())
        except OSError as e:
            self._warn_once(f"the folder for notes cannot be read, so this process serves alone: {e}")
            return []

    def _warn_once(self, what: str) -> None:
        """Logged ten times a second, a warning would bury the rest of the log."""
        if what not in self._warnings and len(self._warnings) < MAX_WARNINGS:
            self._warnings.add(what)
            logger.warning("upgrade: {what}", what=what)

    def _receive(self, files: list[tuple[pathlib.Path, bytes]]) -> None:
        """Conclude from the others' messages, and do at the node what follows."""
        takeover = self.takeover
        now = self.node.deadlines.clock()
        received = self._decode(files)
        before = takeover.process_count, takeover.succeeded
        replicas, drain = takeover.receive(now, [message for _, message in received])
        for path, message in received:
            if takeover.expired(message, now):
                self.messages.remove(path)
        if (takeover.process_count, takeover.succeeded) != before:
            logger.info(
                "upgrade: {parts} processes serve, {what}",
                parts=takeover.process_count,
                what="another takes the clients" if takeover.succeeded else "this one takes clients",
            )
        self.node.share_limits(takeover.process_count)
        self.node.yield_to_successor(takeover.succeeded)
        self.node.override_control.apply(replicas, drain)

    def _decode(self, files: list[tuple[pathlib.Path, bytes]]) -> list[_ReceivedMessage]:
        """The messages that can be believed, with their times by this process's clock."""
        takeover = self.takeover
        received = []
        for path, data in files:
            try:
                message = decode(data, takeover.name).aligned(takeover.origin, takeover.boot)
            except TakeoverMessageError as e:
                self._warn_once(f"{path.name} is left aside: {e}")
            else:
                received.append(_ReceivedMessage(path, message))
        return received

    def _succeeded(self) -> bool:
        """Whether another process takes the clients, by the messages as they are now: the signal to end may come a
        moment after the successor has reported ready, before the next exchange."""
        self._receive(self._exchange(None))
        return self.takeover.succeeded
