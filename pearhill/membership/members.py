"""Who of the named dispatchers is there: SWIM's view (Das, Gupta, Motivala, 2002), with suspicion, incarnations and
indirect probes.

Every message is a sign of life of its sender, and carries a few rumours on. A ping that is not answered goes once more
by way of others, so that one bad path condemns nobody; then its target is suspect, and dead when it does not object.
Who hears of its own death raises its incarnation, and that word beats the old one everywhere. Times are microseconds of
the caller's clock; nobody else's clock is looked at.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

ALIVE, SUSPECT, DEAD = "alive", "suspect", "dead"
GOSSIP_TICK_US = 250_000  # between two beats
MIN_PINGS_PER_TICK, MAX_PINGS_PER_TICK, TICKS_PER_ROUND = (
    4,
    24,
    2,
)  # a beat; and beats to a round, which leaves nobody out, if it may be
ACK_WAIT = 250_000  # for an answer; then as long again by way of others
HELPERS = 3
LATE = 3 * GOSSIP_TICK_US  # between two beats of mine
SUSPECT_FOR = 2_000_000  # to object in
MAX_UPDATES = 12  # carried by one message
_RANK = {ALIVE: 0, SUSPECT: 1, DEAD: 2}


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    name: str
    incarnation: int
    state: str


@dataclass(frozen=True, slots=True)
class Ping:
    """Answered by an Ack of the same number."""

    to: str
    number: int


@dataclass(frozen=True, slots=True)
class Ack:
    to: str
    number: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Please ping `target` for me."""

    to: str
    number: int
    target: str


Payload = Ping | Ack | PingRequest


@dataclass(slots=True)
class Member:
    incarnation: int = 0
    state: str = ALIVE
    since: int = 0  # when that state began here


@dataclass(slots=True)
class _Out:
    """A ping that is out: to whom, since when, whether others were asked, and for whom it was sent."""

    to: str
    at: int
    asked: bool = False
    asker: str = ""
    number: int = 0


class Members:
    """`incarnation` must grow with each start of the same name: the time of the start does."""

    def __init__(self, me: str, peers: Iterable[str], incarnation: int, now: int, rng: random.Random) -> None:
        self.name, self.incarnation, self.rng = me, incarnation, rng
        self.members = {name: Member(since=now) for name in peers if name != me}
        self._round: list[str] = []
        self._out: dict[int, _Out] = {}
        # Danger: counted from 1 at each start, an old ack that is sent again would clear a new ping.
        self._number = rng.getrandbits(48)
        self._beat_at = now
        self._news: dict[str, int] = {}  # names of which there is news, and how often it was told

    def reachable(self) -> set[str]:
        """Who answers, or may still object to its death. Me too."""
        return {self.name, *(name for name, m in self.members.items() if m.state != DEAD)}

    def reconfigure(self, peers: Iterable[str], now: int) -> None:
        """Other names. What is known of those that stay, stays."""
        names = {name for name in peers if name != self.name}
        self.members = {name: self.members.get(name) or Member(since=now) for name in sorted(names)}
        self._round = [name for name in self._round if name in names]
        self._out = {n: out for n, out in self._out.items() if out.to in names}
        self._news = {name: times for name, times in self._news.items() if name in names or name == self.name}

    def tick(self, now: int) -> list[Payload]:
        """One beat: what is due of pings that are out, and the next ones."""
        if now - self._beat_at > LATE:
            # Danger: it is I who stood still. What a suspect has to say waits unread, and it would be held for dead.
            for m in self.members.values():
                m.since += now - self._beat_at
        self._beat_at = now
        says = self._overdue(now)
        for name, m in self.members.items():
            if m.state == SUSPECT and now - m.since >= SUSPECT_FOR:
                self._set(now, name, m.incarnation, DEAD)
        n = len(self.members)
        for _ in range(min(n, MAX_PINGS_PER_TICK, max(MIN_PINGS_PER_TICK, -(-n // TICKS_PER_ROUND)))):
            if not self._round:
                # Danger: drawn at random, some peer is left out for long. The dead are in the round too: a cut that
                # heals is noticed by no other means.
                self._round = sorted(self.members)
                self.rng.shuffle(self._round)
            says.append(self._ping(now, self._round.pop()))
        return says

    def _ping(self, now: int, to: str, asker: str = "", number: int = 0) -> Ping:
        self._number += 1
        self._out[self._number] = _Out(to, now, bool(asker), asker, number)
        return Ping(to, self._number)

    def _overdue(self, now: int) -> list[Payload]:
        says: list[Payload] = []
        for number, out in list(self._out.items()):
            if not out.asked and now - out.at >= ACK_WAIT:
                out.asked = True
                able = [n for n, m in self.members.items() if m.state == ALIVE and n != out.to]
                helpers = self.rng.sample(able, min(HELPERS, len(able)))
                says += [PingRequest(helper, number, out.to) for helper in helpers]
            elif now - out.at >= 2 * ACK_WAIT:
                del self._out[number]
                m = self.members[out.to]
                if m.state == ALIVE and not out.asker:
                    self._set(now, out.to, m.incarnation, SUSPECT)
        return says

    def receive(
        self, now: int, name: str, incarnation: int, said: Payload | None, rumours: Iterable[MemberUpdate]
    ) -> list[Payload]:
        """An authentic message of a peer that has not come before. What to say to it."""
        if name not in self.members:
            return []
        self._rumour(now, MemberUpdate(name, incarnation, ALIVE))
        for rumour in rumours:
            self._rumour(now, rumour)
        match said:
            case Ping(_, number):
                return [Ack(name, number)]
            case PingRequest(_, number, target) if target in self.members and target != name:
                return [self._ping(now, target, name, number)]
            case Ack(_, number) if (out := self._out.get(number)) and out.to == name:
                del self._out[number]
                return [Ack(out.asker, out.number)] if out.asker in self.members else []
            case Ack(_, number) if (out := self._out.get(number)) and out.asked and not out.asker:
                del self._out[number]  # a helper's word that the target has answered it
        return []

    def updates_for(self, to: str) -> list[MemberUpdate]:
        """What the next message carries on: my own state, what I hold of its addressee if that is amiss, then the news
        told least often."""
        most = 3 * math.ceil(math.log2(len(self.members) + 2))
        told = [MemberUpdate(self.name, self.incarnation, ALIVE)]
        if (about := self.members.get(to)) and about.state != ALIVE:  # it must hear of it to object
            told.append(MemberUpdate(to, about.incarnation, about.state))
        for name in sorted(self._news, key=lambda n: self._news[n])[: MAX_UPDATES - len(told)]:
            if name in self.members and name != to:
                m = self.members[name]
                told.append(MemberUpdate(name, m.incarnation, m.state))
            self._news[name] += 1
            if self._news[name] >= most:
                del self._news[name]
        return told

    def _rumour(self, now: int, r: MemberUpdate) -> None:
        if r.name == self.name:
            # Danger: a word of my death that nobody objects to spreads, and all the others reckon without me.
            if r.state != ALIVE and r.incarnation >= self.incarnation:
                self.incarnation = r.incarnation + 1
            return
        m = self.members.get(r.name)
        if m is None or r.state not in _RANK:
            return
        if (r.incarnation, _RANK[r.state]) > (m.incarnation, _RANK[m.state]):
            self._set(now, r.name, r.incarnation, r.state)

    def _set(self, now: int, name: str, incarnation: int, state: str) -> None:
        m = self.members[name]
        m.incarnation, m.state, m.since = incarnation, state, now
        self._news[name] = 0
