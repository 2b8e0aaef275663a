"""Ejects replicas that leave health checks unanswered, with a backoff, until they answer one."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass

FIRST_EJECTION_US = 400_000  # after the first unanswered check; doubled with each further one
MAX_EJECTION_US = 3_200_000
MAX_DOUBLINGS = 8
JITTER = (0.75, 1.25)  # range of the random factor of an ejection


@dataclass(slots=True)
class _Unanswered:
    """The consecutive checks that one replica has not answered, and until when it is ejected for that."""

    count: int = 0
    ejected_until: int = 0


class UnansweredChecks:
    """Unanswered health checks by replica, counted since its last answer."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._by_replica: dict[int, _Unanswered] = {}

    def ejected_until(self, now: int, replica: int) -> int:
        """Return until when the replica gets no requests, or 0 if it may get some now."""
        unanswered = self._by_replica.get(replica)
        if unanswered is None or unanswered.ejected_until <= now:
            return 0
        return unanswered.ejected_until

    def record_answer(self, replica: int) -> None:
        """Record an answer of the replica, which ends its ejection."""
        self._by_replica.pop(replica, None)

    def record_failure(self, now: int, replica: int) -> None:
        """Record a check that ended without an answer, and eject the replica.

        The ejection has a random duration: dispatchers that found a replica unresponsive at the same moment would
        otherwise all check it again at the same moment.
        """
        unanswered = self._by_replica.setdefault(replica, _Unanswered())
        ejection = min(MAX_EJECTION_US, FIRST_EJECTION_US << min(MAX_DOUBLINGS, unanswered.count))
        unanswered.count += 1
        unanswered.ejected_until = now + int(ejection * self._rng.uniform(*JITTER))

    def record_delay(self, now: int, replica: int, delay: int) -> None:
        """Record a check that was not answered within `delay` microseconds and still may be.

        The replica is ejected for the same time again.
        """
        unanswered = self._by_replica.setdefault(replica, _Unanswered())
        unanswered.ejected_until = max(unanswered.ejected_until, now + delay)

    def keep(self, replicas: Collection[int]) -> None:
        """Discard the records of all replicas except these.

        In a fleet whose machines change, the records of old ones would otherwise fill the memory.
        """
        for unlisted in self._by_replica.keys() - set(replicas):
            del self._by_replica[unlisted]
