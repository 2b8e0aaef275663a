"""Exchanges takeover messages with the predecessor and the successor in files, and applies the result to the node.

`lifecycle.takeover` decides from the messages which process accepts clients.
"""

from __future__ import annotations

import pathlib
import threading
from typing import NamedTuple

from loguru import logger

from pearhill.durable.message_folder import MessageFolder
from pearhill.lifecycle.takeover import READY_WITHIN_US, Takeover
from pearhill.lifecycle.takeover_message import TakeoverMessage, TakeoverMessageError, decode
from pearhill.net.clock import monotonic_offset
from pearhill.net.ticks import pause
from pearhill.node.node import Node
from pearhill.node.process_info import boot_id, process_age

EXCHANGE_INTERVAL_US = 100_000  # an override set at one process applies at the other within this time
MAX_WARNINGS = 100  # distinct warnings that are logged


class _ReceivedMessage(NamedTuple):
    path: pathlib.Path
    message: TakeoverMessage


class TakeoverTask:
    """Exchanges messages once at construction, and then every EXCHANGE_INTERVAL_US.

    The first exchange provides the overrides before the first endpoints arrive. The folder is optional: without it the
    process serves alone. A disk may take a second for a small file, which would block the event loop, so a thread reads
    and writes once the process serves.
    """

    def __init__(self, node: Node, folder: str, name: str) -> None:
        self.node = node
        started_at = node.deadlines.clock()
        self.messages = MessageFolder(folder, name, started_at)
        self.takeover = Takeover(
            name, started_at, node.override_control.overrides, monotonic_offset(node.deadlines.clock), boot_id()
        )
        self.serving_announced = False  # a message that says that this process accepts clients has been written
        self._write_failed = False  # whether the last message could not be written
        self._write_lock = threading.Lock()
        self._ended = False  # only the last message may be written from now on
        self._warnings = set[str]()
        node.has_successor = self._has_successor
        self._receive(self._exchange(self._message()))
        self._task = node.pool.spawn(self._run())

    def may_accept(self, can_serve: bool) -> bool:
        """Whether clients may be accepted.

        A process that cannot serve yet would reject clients that its predecessor can answer.
        """
        return can_serve or not self.takeover.predecessor_alive

    def reports_ready(self) -> bool:
        """Whether this process may report itself ready; the platform then ends the predecessor."""
        age = process_age()
        return (self.serving_announced or age >= READY_WITHIN_US) and self.takeover.reports_ready(age)

    def end(self) -> None:
        """Stop the exchange, and write a message that says that this process has ended.

        A thread may still be writing an earlier message, or be about to: this is the last one that is written.
        """
        self._task.cancel()
        self._ended = True
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
        """Write this process's message and read the others'. It runs in a thread, so it must only access files."""
        if message:
            self._write(message)
        try:
            return list(self.messages.other_messages())
        except OSError as e:
            self._warn_once(f"the folder for takeover messages cannot be read, so this process serves alone: {e}")
            return []

    def _write(self, message: TakeoverMessage) -> None:
        with self._write_lock:
            if self._ended and not message.ended:
                return
            try:
                self._write_failed = True
                self.messages.write(message.encode())
                self._write_failed = False
            except OSError as e:
                self.takeover.write_failed()
                self._warn_once(
                    f"the takeover message cannot be written, so other processes cannot detect this one: {e}"
                )

    def _warn_once(self, what: str) -> None:
        """Log a warning once per text: the exchange runs ten times a second and would flood the log."""
        if what not in self._warnings and len(self._warnings) < MAX_WARNINGS:
            self._warnings.add(what)
            logger.warning("upgrade: {what}", what=what)

    def _receive(self, files: list[tuple[pathlib.Path, bytes]]) -> None:
        """Process the others' messages, and apply the result to the node."""
        takeover = self.takeover
        now = self.node.deadlines.clock()
        received = self._decode(files)
        before = takeover.process_count, takeover.has_successor
        replicas, drain = takeover.receive(now, [message for _, message in received])
        for path, message in received:
            if takeover.is_expired(message, now):
                self.messages.remove(path)
        if (takeover.process_count, takeover.has_successor) != before:
            logger.info(
                "upgrade: {parts} processes serve, {what}",
                parts=takeover.process_count,
                what="another accepts the clients" if takeover.has_successor else "this one accepts clients",
            )
        self.node.share_limits(takeover.process_count)
        self.node.yield_to_successor(takeover.has_successor)
        self.node.override_control.apply(replicas, drain)

    def _decode(self, files: list[tuple[pathlib.Path, bytes]]) -> list[_ReceivedMessage]:
        """Returns the valid messages, with their times converted to this process's clock."""
        takeover = self.takeover
        received = []
        for path, data in files:
            try:
                message = decode(data, takeover.name).aligned(takeover.origin, takeover.boot)
            except TakeoverMessageError as e:
                self._warn_once(f"{path.name} is ignored: {e}")
            else:
                received.append(_ReceivedMessage(path, message))
        return received

    def _has_successor(self) -> bool:
        """Whether a successor accepts the clients, according to the messages as they are now.

        The messages are read at once because SIGTERM may arrive after the successor has reported ready and before the
        next exchange.
        """
        self._receive(self._exchange(None))
        return self.takeover.has_successor
