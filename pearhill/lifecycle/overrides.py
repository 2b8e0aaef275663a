"""What operators have asked for, each wish with its time: of two on one matter the later holds."""

from __future__ import annotations

from dataclasses import dataclass

RETENTION_US = 600_000_000  # a wish that is over: until then an older note may still tell of its beginning
MAX_OVERRIDES = 10_000  # wishes kept; far more than there are engines


@dataclass(frozen=True, slots=True)
class Override:
    """`at`: when it was made, `since`: when what it ends or goes on with began; microseconds of Unix time."""

    set_at: int
    on: bool
    since: int

    def shifted(self, by: int) -> Override:
        """The same by a clock that is so far ahead."""
        return Override(self.set_at + by, self.on, self.since + by)


class OperatorOverrides:
    """`out`: by engine, whether it is out by hand. `drain`: whether this dispatcher is to drain; None: never said."""

    def __init__(self) -> None:
        self.down: dict[int, Override] = {}
        self.drain: Override | None = None

    def set_down(self, replica: int, now: int, down: bool) -> None:
        """Two calls out need one back; the absence runs from the first of them."""
        before = self.down.get(replica)
        was_out = before is not None and before.on
        if down or was_out:  # Danger: put back without having been out, it would be taken for one that was restarted.
            self.down[replica] = self._after(before, now, down, before.since if before and was_out else now)

    def set_drain(self, now: int, on: bool) -> None:
        before = self.drain
        self.drain = self._after(before, now, on, before.since if before and before.on and on else now)

    @staticmethod
    def _after(before: Override | None, now: int, on: bool, since: int) -> Override:
        # Danger: two processes' clocks may differ by a little; what is said later here must win everywhere.
        return Override(max(now, before.set_at + 1 if before else now), on, since)

    def is_down(self, replica: int) -> bool:
        return replica in self.down and self.down[replica].on

    def restored(self, replica: int) -> Override | None:
        """The wish that put it back, where it has been out."""
        wish = self.down.get(replica)
        return wish if wish and not wish.on else None

    def merge(self, down: dict[int, Override], drain: Override | None) -> tuple[set[int], bool]:
        """Take over what another process has heard later: the engines concerned, and whether the drain is."""
        changed = {
            engine
            for engine, wish in down.items()
            if wish.set_at > (self.down[engine].set_at if engine in self.down else -1)
        }
        self.down.update((engine, down[engine]) for engine in changed)
        later = drain is not None and drain.set_at > (self.drain.set_at if self.drain else -1)
        if later:
            self.drain = drain
        return changed, later

    def forget(self, now: int) -> None:
        """Danger: replicas come and go under new ids; what was ever put back would fill the memory."""
        for engine in [e for e, wish in self.down.items() if not wish.on and now - wish.set_at > RETENTION_US]:
            del self.down[engine]
