"""Two processes of one dispatcher, one taking the other's place: what follows from their messages.

Each keeps a message of its own and reads the other's. Times are microseconds of Unix time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from pearhill.lifecycle.overrides import OperatorOverrides
from pearhill.lifecycle.takeover_message import TakeoverMessage

ALIVE_WITHIN_US = 1_500_000  # a message that was not written anew for so long: its process has gone
MESSAGE_RETENTION_US = 600_000_000  # left behind for longer than this it is ignored
REWRITE_INTERVAL_US = 300_000  # between two writings of a message that contains nothing new
# A successor has 6 s from its start until it reports ready, and soon after that the predecessor is ended with all that
# it still answers. Until this age the successor accepts the clients, but leaves the predecessor the time.
READY_WITHIN_US = 5_200_000


class Takeover:
    """One process's side, as the others' messages last showed it."""

    def __init__(
        self, name: str, started_at: int, overrides: OperatorOverrides, origin: int = 0, boot: str = ""
    ) -> None:
        self.name = name
        self.started_at = started_at
        self.overrides = overrides
        self.origin = origin
        self.boot = boot
        self.process_count = 1  # processes that share the limits now
        self.succeeded = False  # another process that started later accepts the clients: this one need not
        self.predecessor_alive = False  # a process that started earlier still lives
        self.predecessor_serving = False  # and still answers
        self._written: TakeoverMessage | None = None

    def alive(self, message: TakeoverMessage, now: int) -> bool:
        """Whether the process that wrote it still runs."""
        return not message.ended and abs(now - message.written_at) < ALIVE_WITHIN_US

    def expired(self, message: TakeoverMessage, now: int) -> bool:
        """Whether nobody needs it any more: it is too old, or of an earlier process that has ended and whose overrides
        are taken over here."""
        if self._too_old(message, now):
            return True
        return message.started_at < self.started_at and not self.alive(message, now)

    def receive(self, now: int, messages: Iterable[TakeoverMessage]) -> tuple[set[int], bool]:
        """The messages as they stand, this process's own may be among them. Returns the replicas whose overrides have
        changed, and whether the drain's has."""
        messages = list(messages)
        living = [m for m in messages if m.started_at != self.started_at and self.alive(m, now)]
        earlier = [m for m in living if m.started_at < self.started_at]
        self.process_count = 1 + min(1, len(living))
        self.predecessor_alive = bool(earlier)
        self.predecessor_serving = any(not m.quiet for m in earlier)
        self.succeeded = any(m.started_at > self.started_at and m.serving for m in living)
        changed = self._merge_overrides(now, messages, living)
        self.overrides.forget(now)
        return changed

    def reports_ready(self, age: int) -> bool:
        """Whether a process of this age, which serves, lets the platform go on: that ends the predecessor."""
        return not self.predecessor_serving or age >= READY_WITHIN_US

    def write_failed(self) -> None:
        """The last message did not reach the folder: the next one has to be written, even if it is the same."""
        self._written = None

    def message(self, now: int, serving: bool, quiet: bool, ended: bool = False) -> TakeoverMessage | None:
        """What to write now; None: what was last written will do."""
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
        if self._says_nothing_new(message):
            return None
        self._written = message
        return message

    def _merge_overrides(
        self, now: int, messages: list[TakeoverMessage], living: list[TakeoverMessage]
    ) -> tuple[set[int], bool]:
        """Take over the overrides. What is down stays down over any restart, but a drain holds only while its process
        lives: one that outlived it would keep the next process from ever being ready, long after whoever
        requested it has gone."""
        replicas = set[int]()
        drain = False
        for message in messages:
            if message.started_at == self.started_at or self._too_old(message, now):
                continue
            changed, drain_changed = self.overrides.merge(message.down, message.drain if message in living else None)
            replicas = replicas | changed
            drain = drain or drain_changed
        return replicas, drain

    def _says_nothing_new(self, message: TakeoverMessage) -> bool:
        last = self._written
        if last is None or message.written_at - last.written_at >= REWRITE_INTERVAL_US:
            return False
        return replace(message, written_at=last.written_at) == last

    @staticmethod
    def _too_old(message: TakeoverMessage, now: int) -> bool:
        return abs(now - message.written_at) > MESSAGE_RETENTION_US
