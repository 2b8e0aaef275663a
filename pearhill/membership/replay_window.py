"""Which messages have certainly not come before: the anti-replay window of RFC 4303, section 3.4.3."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

WINDOW_MESSAGES = 1024  # of one sender; a tick of a large fleet sends some dozens


class SenderWindow(NamedTuple):
    """What has come of one start of a sender. Bit k of `seen` stands for the sequence `newest` - k."""

    incarnation: int
    newest: int
    seen: int


NOTHING_SEEN = SenderWindow(-1, 0, 0)


class ReplayWindow:
    """The windows of all senders."""

    def __init__(self) -> None:
        self._windows: dict[str, SenderWindow] = {}

    def first_time(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Whether a message has certainly not come before; one that others overtook on its way is accepted too."""
        window = _with_message(self._windows.get(sender, NOTHING_SEEN), incarnation, sequence)
        if window is None:
            return False
        self._windows[sender] = window
        return True

    def keep(self, names: Collection[str]) -> None:
        """Forget all senders but these."""
        self._windows = {name: window for name, window in self._windows.items() if name in names}


def _with_message(window: SenderWindow, incarnation: int, sequence: int) -> SenderWindow | None:
    """The window with one more message; None: it came before, or may have."""
    if incarnation > window.incarnation:
        return SenderWindow(incarnation, sequence, 1)
    if incarnation < window.incarnation or sequence <= window.newest - WINDOW_MESSAGES:
        return None
    if sequence > window.newest:
        ahead = min(WINDOW_MESSAGES, sequence - window.newest)
        seen = (window.seen << ahead | 1) & ((1 << WINDOW_MESSAGES) - 1)
        return SenderWindow(incarnation, sequence, seen)
    bit = 1 << (window.newest - sequence)
    if window.seen & bit:
        return None
    return SenderWindow(incarnation, window.newest, window.seen | bit)
