"""Messages that come in several parts, and the times at which numbered messages were sent; both bounded."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

from pearhill.membership.aggregation_messages import PartialSum, Report

MAX_UNFINISHED_MESSAGES = 3  # of one sender
MAX_SEND_TIMES = 32

Fragment = TypeVar("Fragment", Report, PartialSum)


class FragmentAssembler(Generic[Fragment]):
    """Puts the parts of one sender's messages together."""

    def __init__(self) -> None:
        self._parts: dict[int, dict[int, Fragment]] = {}  # by the message's number and the part's

    def add(self, number: int, fragment: Fragment) -> list[Fragment] | None:
        """All parts of the message in order once they have come, else None. Older unfinished messages are dropped."""
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
    """When each of the newest MAX_SEND_TIMES numbered messages was sent, in microseconds."""

    def __init__(self) -> None:
        self._times: OrderedDict[int, int] = OrderedDict()

    def remember(self, number: int, now: int) -> None:
        """The message `number` is sent now."""
        self._times[number] = now
        while len(self._times) > MAX_SEND_TIMES:
            self._times.popitem(last=False)

    def get(self, number: int) -> int | None:
        """None: it was never sent, or too many messages ago."""
        return self._times.get(number)
