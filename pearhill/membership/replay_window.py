"""Detection of replayed messages: the anti-replay window of RFC 4303, section 3.4.3."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

WINDOW_MESSAGES = 1024  # per sender; one tick in a large fleet sends a few dozen


class SenderWindow(NamedTuple):
    """What has been received from one start of a sender. Bit k of `seen` stands for sequence `newest` - k."""

    incarnation: int
    newest: int
    seen: int


NOTHING_SEEN = SenderWindow(-1, 0, 0)


class ReplayWindow:
    """The replay windows of all senders."""

    def __init__(self) -> None:
        self._windows: dict[str, SenderWindow] = {}

    def accept(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Records a message. Returns whether it is certainly new; reordered messages are accepted as well."""
        window = _with_message(self._windows.get(sender, NOTHING_SEEN), incarnation, sequence)
        if window is None:
            return False
        self._windows[sender] = window
        return True

    def keep(self, names: Collection[str]) -> None:
        """Drops the windows of all senders but these."""
        self._windows = {name: window for name, window in self._windows.items() if name in names}


def _with_message(window: SenderWindow, incarnation: int, sequence: int) -> SenderWindow | None:
    """Returns the window with one more message, or None if the message is, or may be, a replay."""
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
