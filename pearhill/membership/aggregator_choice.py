"""To which aggregator a dispatcher reports, when it gives one up, and when it returns to its own region's.

Its region's aggregators come first, the others in rendezvous order (Thaler and Ravishankar, 1996), so that those who
lose one share the rest. Times are microseconds.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable
from dataclasses import dataclass

MAX_UNANSWERED_REPORTS = 4  # in a row, and
ANSWER_TIMEOUT_US = 2_000_000  # this time, after which an aggregator is given up
MIN_BACKOFF_US = 1_000_000  # between tries once all aggregators were given up
MAX_BACKOFF_US = 8_000_000
MIN_HELLO_INTERVAL_US = 5_000_000
MAX_HELLO_INTERVAL_US = 15_000_000
HELLOS_TO_RETURN = 2  # answers in a row after which the region's aggregator is trusted again
NONE = -1


@dataclass(frozen=True, slots=True)
class AggregatorSite:
    """An aggregator's name, and the region where it stands."""

    name: str
    region: str


def rendezvous_order(name: str, region: str, sites: Iterable[AggregatorSite]) -> list[str]:
    """Aggregators' names in the order in which the dispatcher `name` of the region tries them."""

    def rank(site: AggregatorSite) -> tuple[bool, bytes]:
        """Sort key: the own region first, then by rendezvous hash (highest random weight)."""
        return site.region != region, hashlib.sha256(f"{name}\0{site.name}".encode()).digest()

    return [site.name for site in sorted(sites, key=rank)]


class AggregatorChoice:
    """The aggregator in use; `attachment` counts its changes, `moves` those from one to another."""

    def __init__(self, now: int, rng: random.Random) -> None:
        self.order: list[str] = []  # as they are tried
        self.current = ""
        self.attachment = 0
        self.moves = 0
        self.hello_due = now
        self._rng = rng
        self._unanswered = 0  # reports in a row
        self._waiting_since = NONE
        self._failed = 0  # aggregators in a row that did not answer
        self._hello_number = NONE  # of the one that is not answered yet
        self._answered_hellos = 0  # in a row

    @property
    def is_away(self) -> bool:
        """Whether another than the first aggregator is in use."""
        return bool(self.order) and self.current != self.order[0]

    @property
    def all_failed(self) -> bool:
        """Whether none has answered since each was tried."""
        return self._failed >= len(self.order)

    def attach(self, now: int, to: str) -> None:
        """Use the aggregator `to` from now on."""
        if self.current and to != self.current:
            self.moves += 1
        self.current = to
        self.attachment += 1
        self._unanswered = 0
        self._waiting_since = NONE
        self._hello_number = NONE
        self.restart_hellos(now)

    # Answers and failures.

    def report_sent(self, now: int) -> None:
        """A report went to the aggregator in use."""
        self._unanswered += 1
        if self._waiting_since < 0:
            self._waiting_since = now

    def answered(self) -> None:
        """The aggregator in use has answered."""
        self._unanswered = 0
        self._waiting_since = NONE
        self._failed = 0

    def excuse_stall(self, now: int) -> None:
        """This process stood still: answers wait unread, and without this a good aggregator would be given up."""
        if self._waiting_since >= 0:
            self._waiting_since = now

    def should_give_up(self, now: int) -> bool:
        """Whether the aggregator in use is taken for lost."""
        if self.all_failed:
            return self._unanswered >= 1
        return self._unanswered >= MAX_UNANSWERED_REPORTS and now - self._waiting_since >= ANSWER_TIMEOUT_US

    def next_after_failure(self) -> str:
        """The aggregator to try now that the one in use is taken for lost."""
        self._failed += 1
        return self.order[(self.order.index(self.current) + 1) % len(self.order)]

    def backoff(self) -> int | None:
        """How long to wait before the next try; None: not all aggregators have failed.

        Drawn at random: all dispatchers lost the aggregators at the same moment, and would all try again together.
        """
        if not self.all_failed:
            return None
        longest = min(MAX_BACKOFF_US, 2 * MIN_BACKOFF_US << min(8, self._failed - len(self.order)))
        return int(self._rng.uniform(0, longest - MIN_BACKOFF_US))

    # The way back.

    def restart_hellos(self, now: int) -> None:
        """Count answers to hellos anew."""
        self._answered_hellos = 0
        self.hello_due = now + self._hello_interval()

    def _hello_interval(self) -> int:
        return int(self._rng.uniform(MIN_HELLO_INTERVAL_US, MAX_HELLO_INTERVAL_US))

    def next_hello(self, now: int) -> int | None:
        """The number of the hello to send to the first aggregator now, if one is due."""
        if not self.is_away or now < self.hello_due:
            return None
        self.hello_due = now + self._hello_interval()
        if self._hello_number >= 0:
            self._answered_hellos = 0  # the last one was not answered
        self._hello_number = self._rng.getrandbits(31)
        return self._hello_number

    def hello_answered(self, sender: str, number: int) -> bool:
        """Whether it is time to return to the first aggregator, now that it answered a hello."""
        if sender != self.order[0] or number != self._hello_number or not self.is_away:
            return False
        self._hello_number = NONE
        self._answered_hellos += 1
        return self._answered_hellos >= HELLOS_TO_RETURN

    def returned(self) -> None:
        """The first aggregator is in use again."""
        self._failed = 0
