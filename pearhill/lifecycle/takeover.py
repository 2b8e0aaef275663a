"""The takeover between two processes of one dispatcher: the successor replaces the predecessor.

Each process maintains a message of its own and reads the other's. This module decides from the messages which process
accepts clients. Times are microseconds of Unix time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from pearhill.lifecycle.overrides import OperatorOverrides
from pearhill.lifecycle.takeover_message import TakeoverMessage

ALIVE_WITHIN_US = 1_500_000  # a process whose message is older than this has exited
MESSAGE_RETENTION_US = 600_000_000  # an older message is ignored
REWRITE_INTERVAL_US = 300_000  # between two writes of an unchanged message
# The platform gives a successor 6 s from its start to report ready, and ends the predecessor soon after the report,
# even if that process still answers requests. Up to this age, a successor that already accepts the clients delays its
# report until the predecessor has answered all of its requests.
READY_WITHIN_US = 5_200_000


class Takeover:
    """One process's view of the takeover, according to the latest messages of the other processes."""

    def __init__(
        self, name: str, started_at: int, overrides: OperatorOverrides, origin: int = 0, boot: str = ""
    ) -> None:
        self.name = name
        self.started_at = started_at
        self.overrides = overrides
        self.origin = origin
        self.boot = boot
        self.process_count = 1  # processes that share the limits now
        self.has_successor = False  # a process that started later accepts the clients, so this one need not
        self.predecessor_alive = False  # a process that started earlier is still running
        self.predecessor_serving = False  # a process that started earlier still answers clients
        self._written: TakeoverMessage | None = None

    def is_alive(self, message: TakeoverMessage, now: int) -> bool:
        """Whether the process that wrote the message is still running."""
        return not message.ended and abs(now - message.written_at) < ALIVE_WITHIN_US

    def is_expired(self, message: TakeoverMessage, now: int) -> bool:
        """Whether the message can be deleted.

        It can if it is too old, or if its process started earlier and has exited: its overrides are merged here.
        """
        if self._is_too_old(message, now):
            return True
        return message.started_at < self.started_at and not self.is_alive(message, now)

    def receive(self, now: int, messages: Iterable[TakeoverMessage]) -> tuple[set[int], bool]:
        """Process the current messages, which may include this process's own.

        Returns the replicas whose overrides have changed, and whether the drain's has.
        """
        messages = list(messages)
        alive = [m for m in messages if m.started_at != self.started_at and self.is_alive(m, now)]
        earlier = [m for m in alive if m.started_at < self.started_at]
        self.process_count = 1 + min(1, len(alive))
        self.predecessor_alive = bool(earlier)
        self.predecessor_serving = any(not m.quiet for m in earlier)
        self.has_successor = any(m.started_at > self.started_at and m.serving for m in alive)
        changed = self._merge_overrides(now, messages, alive)
        self.overrides.delete_expired(now)
        return changed

    def reports_ready(self, age: int) -> bool:
        """Whether a serving process of this age may report ready, after which the platform ends the predecessor."""
        return not self.predecessor_serving or age >= READY_WITHIN_US

    def write_failed(self) -> None:
        """Record that the last message could not be written: the next one is written even if it is the same."""
        self._written = None

    def message(self, now: int, serving: bool, quiet: bool, ended: bool = False) -> TakeoverMessage | None:
        """Returns the message to write now, or None if the last one is still up to date."""
        message = TakeoverMessage(
            name=self.name,
            started_at=self.started_at,
            written_at=now,
            serving=serving,
            quiet=quiet,
            ended=ended,
            down=dict(self.overrides.down),
            drain=self.overrides.drain,
            origin=self.origin,
            boot=self.boot,
        )
        if self._is_unchanged(message):
            return None
        self._written = message
        return message

    def _merge_overrides(
        self, now: int, messages: list[TakeoverMessage], alive: list[TakeoverMessage]
    ) -> tuple[set[int], bool]:
        """Merge the overrides of other processes.

        A replica that is down stays down across restarts, but a drain ends with its process: if it persisted, the next
        process would never be ready, even long after the operator who requested the drain has left.
        """
        replicas = set[int]()
        drain = False
        for message in messages:
            if message.started_at == self.started_at or self._is_too_old(message, now):
                continue
            changed, drain_changed = self.overrides.merge(message.down, message.drain if message in alive else None)
            replicas = replicas | changed
            drain = drain or drain_changed
        return replicas, drain

    def _is_unchanged(self, message: TakeoverMessage) -> bool:
        last = self._written
        if last is None or message.written_at - last.written_at >= REWRITE_INTERVAL_US:
            return False
        return replace(message, written_at=last.written_at) == last

    @staticmethod
    def _is_too_old(message: TakeoverMessage, now: int) -> bool:
        return abs(now - message.written_at) > MESSAGE_RETENTION_US
