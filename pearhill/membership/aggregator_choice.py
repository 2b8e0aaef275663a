"""Chooses the aggregator that a dispatcher reports to, and decides when to abandon it and when to return to the one of
its own region.

The aggregators of the dispatcher's region come first. Within a region and outside it they are in rendezvous order
(Thaler and Ravishankar, 1996), so that the dispatchers that lose an aggregator spread over the others. Times are
microseconds.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable
from dataclasses import dataclass

MAX_UNANSWERED_REPORTS = 4  # an aggregator is abandoned after at least this many in a row
ANSWER_TIMEOUT_US = 2_000_000  # an aggregator is abandoned no earlier than this after the first of them
MIN_BACKOFF_US = 1_000_000  # between attempts once all aggregators have failed
MAX_BACKOFF_US = 8_000_000
MIN_HELLO_INTERVAL_US = 5_000_000
MAX_HELLO_INTERVAL_US = 15_000_000
HELLOS_TO_RETURN = 2  # answers in a row before the dispatcher returns to its region's aggregator
NONE = -1


@dataclass(frozen=True, slots=True)
class AggregatorSite:
    """An aggregator's name and region."""

    name: str
    region: str


def rendezvous_order(name: str, region: str, sites: Iterable[AggregatorSite]) -> list[str]:
    """Returns the aggregators' names in the order in which dispatcher `name` of `region` tries them."""

    def rank(site: AggregatorSite) -> tuple[bool, bytes]:
        """Returns the sort key: the own region first, then the rendezvous hash (highest random weight)."""
        return site.region != region, hashlib.sha256(f"{name}\0{site.name}".encode()).digest()

    return [site.name for site in sorted(sites, key=rank)]


class AggregatorChoice:
    """The aggregator in use. `attachment` counts attachments to an aggregator, `moves` changes to another one."""

    def __init__(self, now: int, rng: random.Random) -> None:
        self.order: list[str] = []  # aggregators in the order in which they are tried
        self.current = ""
        self.attachment = 0
        self.moves = 0
        self.hello_due = now
        self._rng = rng
        self._unanswered = 0  # reports in a row
        self._unanswered_since = NONE
        self._failures_in_row = 0  # aggregators in a row that did not answer
        self._hello_number = NONE  # of the hello that is not answered yet
        self._answered_hellos = 0  # in a row

    @property
    def uses_fallback(self) -> bool:
        """Whether an aggregator other than the first is in use."""
        return bool(self.order) and self.current != self.order[0]

    @property
    def all_failed(self) -> bool:
        """Whether all aggregators have been tried in a row without an answer."""
        return self._failures_in_row >= len(self.order)

    def attach(self, now: int, to: str) -> None:
        """Switches to the aggregator `to`."""
        if self.current and to != self.current:
            self.moves += 1
        self.current = to
        self.attachment += 1
        self._unanswered = 0
        self._unanswered_since = NONE
        self._hello_number = NONE
        self.restart_hellos(now)

    # Answers and failures.

    def record_report(self, now: int) -> None:
        """Records that a report was sent to the aggregator in use."""
        self._unanswered += 1
        if self._unanswered_since < 0:
            self._unanswered_since = now

    def record_answer(self) -> None:
        """Records that the aggregator in use has answered."""
        self._unanswered = 0
        self._unanswered_since = NONE
        self._failures_in_row = 0

    def restart_answer_timeout(self, now: int) -> None:
        """Restarts the answer timeout after a stall of this process.

        Answers that arrived during the stall are still unread; a working aggregator would be abandoned otherwise.
        """
        if self._unanswered_since >= 0:
            self._unanswered_since = now

    def should_abandon(self, now: int) -> bool:
        """Returns whether to abandon the aggregator in use."""
        if self.all_failed:
            return self._unanswered >= 1
        return self._unanswered >= MAX_UNANSWERED_REPORTS and now - self._unanswered_since >= ANSWER_TIMEOUT_US

    def next_after_failure(self) -> str:
        """Counts the aggregator in use as failed and returns the next one to try."""
        self._failures_in_row += 1
        return self.order[(self.order.index(self.current) + 1) % len(self.order)]

    def backoff(self) -> int | None:
        """Returns how long to wait before the next attempt, or None if not all aggregators have failed.

        The time is random: dispatchers that lost the aggregators at the same moment would otherwise retry together.
        """
        if not self.all_failed:
            return None
        longest = min(MAX_BACKOFF_US, 2 * MIN_BACKOFF_US << min(8, self._failures_in_row - len(self.order)))
        return int(self._rng.uniform(0, longest - MIN_BACKOFF_US))

    # Return to the first aggregator.

    def restart_hellos(self, now: int) -> None:
        """Resets the count of answered hellos and schedules the next hello."""
        self._answered_hellos = 0
        self.hello_due = now + self._hello_interval()

    def _hello_interval(self) -> int:
        return int(self._rng.uniform(MIN_HELLO_INTERVAL_US, MAX_HELLO_INTERVAL_US))

    def next_hello(self, now: int) -> int | None:
        """Returns the number of the hello to send to the first aggregator now, or None if none is due."""
        if not self.uses_fallback or now < self.hello_due:
            return None
        self.hello_due = now + self._hello_interval()
        if self._hello_number >= 0:
            self._answered_hellos = 0  # the last hello was not answered
        self._hello_number = self._rng.getrandbits(31)
        return self._hello_number

    def record_hello_answer(self, sender: str, number: int) -> bool:
        """Records the answer to a hello. Returns whether to return to the first aggregator."""
        if sender != self.order[0] or number != self._hello_number or not self.uses_fallback:
            return False
        self._hello_number = NONE
        self._answered_hellos += 1
        return self._answered_hellos >= HELLOS_TO_RETURN

    def record_return(self) -> None:
        """Records that the first aggregator is in use again."""
        self._failures_in_row = 0
