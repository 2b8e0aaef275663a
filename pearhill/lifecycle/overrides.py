"""The operators' overrides, each with a timestamp. Of two overrides of the same state the later one applies."""

from __future__ import annotations

from dataclasses import dataclass

# How long the override of a restored replica is retained: an older message may still say that the replica is down.
RETENTION_US = 600_000_000
MAX_OVERRIDES = 10_000  # limit on the overrides in one message; far more than there are replicas


@dataclass(frozen=True, slots=True)
class Override:
    """A state that operators have set. Times are microseconds of Unix time."""

    set_at: int  # when operators set it
    on: bool
    since: int  # when the state that it continues or ends began

    def shifted(self, by: int) -> Override:
        """Returns the override with its times by a clock that is `by` microseconds ahead."""
        return Override(self.set_at + by, self.on, self.since + by)


class OperatorOverrides:
    """The overrides that are in force.

    `down` maps replicas to whether they are administratively down. `drain` is whether this dispatcher drains, or None
    if operators have neither requested nor ended a drain.
    """

    def __init__(self) -> None:
        self.down: dict[int, Override] = {}
        self.drain: Override | None = None

    def set_down(self, replica: int, now: int, down: bool) -> None:
        """Take a replica down, or restore it.

        Repeated calls that take it down count as one that began with the first, and a single call restores it. A call
        that restores a replica that is not down is ignored: it would mark the replica as restarted.
        """
        before = self.down.get(replica)
        was_down = before is not None and before.on
        if not down and not was_down:
            return
        since = before.since if before and was_down else now
        self.down[replica] = self._later_override(before, now, down, since)

    def set_drain(self, now: int, on: bool) -> None:
        """Begin or end the operators' drain. A repeated call does not change the time at which the drain began."""
        before = self.drain
        since = before.since if before and before.on and on else now
        self.drain = self._later_override(before, now, on, since)

    def is_down(self, replica: int) -> bool:
        """Whether this replica is administratively down."""
        return replica in self.down and self.down[replica].on

    def restoring_override(self, replica: int) -> Override | None:
        """Returns the override that restored the replica, or None if it is down or was never down."""
        override = self.down.get(replica)
        return override if override and not override.on else None

    def merge(self, down: dict[int, Override], drain: Override | None) -> tuple[set[int], bool]:
        """Apply those overrides of another process that are later than this one's.

        Returns the replicas whose overrides have changed, and whether the drain's has.
        """
        changed = {replica for replica, override in down.items() if self._is_later(override, self.down.get(replica))}
        self.down.update((replica, down[replica]) for replica in changed)
        drain_changed = drain is not None and self._is_later(drain, self.drain)
        if drain_changed:
            self.drain = drain
        return changed, drain_changed

    def delete_expired(self, now: int) -> None:
        """Delete the overrides of replicas that were restored more than RETENTION_US ago.

        Replicas are replaced under new ids, so that the overrides would accumulate without a limit.
        """
        expired = [
            replica
            for replica, override in self.down.items()
            if not override.on and now - override.set_at > RETENTION_US
        ]
        for replica in expired:
            del self.down[replica]

    @staticmethod
    def _later_override(before: Override | None, now: int, on: bool, since: int) -> Override:
        """Returns an override that is later than `before` at every process, even if clocks differ slightly."""
        set_at = max(now, before.set_at + 1) if before else now
        return Override(set_at, on, since)

    @staticmethod
    def _is_later(override: Override, known: Override | None) -> bool:
        return override.set_at > (known.set_at if known else -1)
