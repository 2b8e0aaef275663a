"""The operators' overrides, each with its time: of two on one matter the later holds."""

from __future__ import annotations

from dataclasses import dataclass

# For a replica that is in use again: until then an older message may still have it administratively down.
RETENTION_US = 600_000_000
MAX_OVERRIDES = 10_000  # that are kept; far more than there are replicas


@dataclass(frozen=True, slots=True)
class Override:
    """Whether something is on by an operators' call. Times are microseconds of Unix time."""

    set_at: int  # when the call came
    on: bool
    since: int  # when what it ends or continues began

    def shifted(self, by: int) -> Override:
        """The same by a clock that is so far ahead."""
        return Override(self.set_at + by, self.on, self.since + by)


class OperatorOverrides:
    """`down`: by replica, whether it is administratively down. `drain`: whether this dispatcher is to drain; None: no
    operator has requested or ended a drain."""

    def __init__(self) -> None:
        self.down: dict[int, Override] = {}
        self.drain: Override | None = None

    def set_down(self, replica: int, now: int, down: bool) -> None:
        """Two calls that take it down need one that restores it; it is down from the first of them on. A call that
        restores a replica that was not down is none: the replica would be taken for one that was restarted."""
        before = self.down.get(replica)
        was_down = before is not None and before.on
        if not down and not was_down:
            return
        since = before.since if before and was_down else now
        self.down[replica] = self._after(before, now, down, since)

    def set_drain(self, now: int, on: bool) -> None:
        """Begin or end the operators' drain; two calls that begin it are one drain."""
        before = self.drain
        since = before.since if before and before.on and on else now
        self.drain = self._after(before, now, on, since)

    def is_down(self, replica: int) -> bool:
        """Whether this replica is administratively down."""
        return replica in self.down and self.down[replica].on

    def restored(self, replica: int) -> Override | None:
        """The override that restored it, where it has been down."""
        override = self.down.get(replica)
        return override if override and not override.on else None

    def merge(self, down: dict[int, Override], drain: Override | None) -> tuple[set[int], bool]:
        """Take over the overrides that another process received later. Returns the replicas concerned, and
        whether the drain is."""
        changed = {replica for replica, override in down.items() if self._is_later(override, self.down.get(replica))}
        self.down.update((replica, down[replica]) for replica in changed)
        drain_changed = drain is not None and self._is_later(drain, self.drain)
        if drain_changed:
            self.drain = drain
        return changed, drain_changed

    def forget(self, now: int) -> None:
        """Drop what is long over: replicas come and go under new ids, and whatever was once restored would fill the
        memory."""
        expired = [
            replica
            for replica, override in self.down.items()
            if not override.on and now - override.set_at > RETENTION_US
        ]
        for replica in expired:
            del self.down[replica]

    @staticmethod
    def _after(before: Override | None, now: int, on: bool, since: int) -> Override:
        """An override that wins over the one before at every process, though their clocks may differ by a little."""
        set_at = max(now, before.set_at + 1) if before else now
        return Override(set_at, on, since)

    @staticmethod
    def _is_later(override: Override, known: Override | None) -> bool:
        return override.set_at > (known.set_at if known else -1)
