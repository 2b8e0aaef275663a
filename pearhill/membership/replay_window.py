"""Which messages have surely not come before: the anti-replay window of RFC 4303, section 3.4.3."""

from __future__ import annotations

from collections.abc import Collection

WINDOW_MESSAGES = 1024  # messages of one sender; a beat of a large fleet sends some dozens


class ReplayWindow:
    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, int, int]] = {}  # by sender: incarnation, newest sequence, those before it

    def first_time(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Whether it surely has not come before; one that others overtook on its way is as good as they."""
        known, newest, window = self._seen.get(sender, (-1, 0, 0))
        if incarnation > known:
            known, newest, window = incarnation, sequence, 1
        elif incarnation < known or sequence <= newest - WINDOW_MESSAGES:
            return False
        elif sequence > newest:
            ahead = min(WINDOW_MESSAGES, sequence - newest)
            newest, window = sequence, (window << ahead | 1) & ((1 << WINDOW_MESSAGES) - 1)
        else:
            bit = 1 << (newest - sequence)
            if window & bit:
                return False
            window |= bit
        self._seen[sender] = known, newest, window
        return True

    def keep(self, names: Collection[str]) -> None:
        self._seen = {name: seen for name, seen in self._seen.items() if name in names}
