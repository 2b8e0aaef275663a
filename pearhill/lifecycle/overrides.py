"""What operators have asked for, each wish with its time: of two on one matter the later holds."""

from __future__ import annotations

from dataclasses import dataclass

FORGOTTEN_AFTER = 600_000_000  # a wish that is over: until then an older note may still tell of its beginning
MOST = 10_000  # wishes kept; far more than there are engines


@dataclass(frozen=True, slots=True)
class Wish:
    """`at`: when it was made, `since`: when what it ends or goes on with began; microseconds of Unix time."""

    at: int
    on: bool
    since: int

    def shifted(self, by: int) -> Wish:
        """The same by a clock that is so far ahead."""
        return Wish(self.at + by, self.on, self.since + by)


class Wishes:
    """`out`: by engine, whether it is out by hand. `drain`: whether this dispatcher is to drain; None: never said."""

    def __init__(self) -> None:
        self.out: dict[int, Wish] = {}
        self.drain: Wish | None = None

    def set_out(self, engine: int, now: int, on: bool) -> None:
        """Two calls out need one back; the absence runs from the first of them."""
        before = self.out.get(engine)
        was_out = before is not None and before.on
        if on or was_out:  # Danger: put back without having been out, it would be taken for one that was restarted.
            self.out[engine] = self._after(before, now, on, before.since if before and was_out else now)

    def set_drain(self, now: int, on: bool) -> None:
        before = self.drain
        self.drain = self._after(before, now, on, before.since if before and before.on and on else now)

    @staticmethod
    def _after(before: Wish | None, now: int, on: bool, since: int) -> Wish:
        # Danger: two processes' clocks may differ by a little; what is said later here must win everywhere.
        return Wish(max(now, before.at + 1 if before else now), on, since)

    def is_out(self, engine: int) -> bool:
        return engine in self.out and self.out[engine].on

    def back(self, engine: int) -> Wish | None:
        """The wish that put it back, where it has been out."""
        wish = self.out.get(engine)
        return wish if wish and not wish.on else None

    def merge(self, out: dict[int, Wish], drain: Wish | None) -> tuple[set[int], bool]:
        """Take over what another process has heard later: the engines concerned, and whether the drain is."""
        changed = {
            engine for engine, wish in out.items() if wish.at > (self.out[engine].at if engine in self.out else -1)
        }
        self.out.update((engine, out[engine]) for engine in changed)
        later = drain is not None and drain.at > (self.drain.at if self.drain else -1)
        if later:
            self.drain = drain
        return changed, later

    def forget(self, now: int) -> None:
        """Danger: replicas come and go under new ids; what was ever put back would fill the memory."""
        for engine in [e for e, wish in self.out.items() if not wish.on and now - wish.at > FORGOTTEN_AFTER]:
            del self.out[engine]
