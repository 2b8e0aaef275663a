"""Reassembly of messages that arrive in several parts, and send times of numbered messages; both are bounded."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

from pearhill.membership.aggregation_messages import PartialSum, Report

MAX_UNFINISHED_MESSAGES = 3  # per sender
MAX_SEND_TIMES = 32

Fragment = TypeVar("Fragment", Report, PartialSum)


class FragmentAssembler(Generic[Fragment]):
    """Reassembles the messages of one sender from their parts."""

    def __init__(self) -> None:
        self._parts: dict[int, dict[int, Fragment]] = {}  # by message number, then by part number

    def add(self, number: int, fragment: Fragment) -> list[Fragment] | None:
        """Adds one part. Returns all parts of its message in order if they are complete, else None.

        A complete message drops the unfinished messages before it; else the oldest beyond MAX_UNFINISHED_MESSAGES drop.
        """
        received = self._parts.setdefault(number, {})
        received[fragment.part] = fragment
        if len(received) == fragment.parts:
            for old in [n for n in self._parts if n <= number]:
                del self._parts[old]
            return [received[part] for part in sorted(received)]
        while len(self._parts) > MAX_UNFINISHED_MESSAGES:
            del self._parts[min(self._parts)]
        return None


class SendTimes:
    """The send times, in microseconds, of the newest MAX_SEND_TIMES numbered messages."""

    def __init__(self) -> None:
        self._times: OrderedDict[int, int] = OrderedDict()

    def record(self, number: int, now: int) -> None:
        """Records that message `number` is sent now."""
        self._times[number] = now
        while len(self._times) > MAX_SEND_TIMES:
            self._times.popitem(last=False)

    def get(self, number: int) -> int | None:
        """Returns when message `number` was sent, or None if it was never sent or MAX_SEND_TIMES messages ago."""
        return self._times.get(number)
