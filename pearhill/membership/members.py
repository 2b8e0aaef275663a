"""Failure detection among the configured dispatchers: SWIM (Das, Gupta, Motivala, 2002) with suspicion, incarnations
and indirect probes.

Every message is a sign of life of its sender and carries a few member updates. A ping without an answer is repeated
through other members, so that a single bad path does not make a member suspect. After that the target is suspect, and
dead unless it refutes the suspicion in time. A dispatcher that is reported suspect or dead raises its incarnation, and
that update replaces the old one everywhere. Times are microseconds of the caller's clock; no other process's clock is
read.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

GOSSIP_TICK_US = 250_000
MIN_PINGS_PER_TICK = 4
MAX_PINGS_PER_TICK = 24
TICKS_PER_ROUND = 2  # each member is pinged once per round, unless MAX_PINGS_PER_TICK prevents it
ACK_TIMEOUT_US = 250_000  # for a direct answer, then as long again for an answer through other members
INDIRECT_PROBES = 3
MAX_TICK_GAP_US = 3 * GOSSIP_TICK_US  # between two ticks; a longer gap means that this process was stalled
SUSPICION_US = 2_000_000  # time for a suspect to refute the suspicion
MAX_UPDATES = 12  # per message


class MemberState(StrEnum):
    """The assumed state of a member; the values are those on the wire."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


_PRECEDENCE = {MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.DEAD: 2}  # per incarnation, the highest wins


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A member's state as reported by one message. `state` may be one that this version does not support."""

    name: str
    incarnation: int
    state: str


@dataclass(frozen=True, slots=True)
class Ping:
    """A ping, answered by an Ack with the same number."""

    to: str
    number: int


@dataclass(frozen=True, slots=True)
class Ack:
    """The answer to the Ping or PingRequest with the same number."""

    to: str
    number: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """An indirect ping (SWIM's ping-req): the recipient pings `target` and forwards its Ack."""

    to: str
    number: int
    target: str


Payload = Ping | Ack | PingRequest


@dataclass(slots=True)
class Member:
    """Another dispatcher, its assumed state, and since when this dispatcher assumes that state."""

    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    state_since: int = 0


@dataclass(slots=True)
class OpenPing:
    """A ping that is not answered yet. `requester` is the dispatcher that requested it under `request_number`."""

    to: str
    sent_at: int
    is_indirect: bool = False  # other members were asked to ping as well, or one of them requested this ping
    requester: str = ""
    request_number: int = 0


class SwimMembership:
    """The members of a fleet and their states in the view of one dispatcher.

    `incarnation` must be larger than at any earlier start under the same name; callers pass the time of the start.
    """

    def __init__(self, name: str, peers: Iterable[str], incarnation: int, now: int, rng: random.Random) -> None:
        self.name = name
        self.incarnation = incarnation
        self.rng = rng
        self.members = {peer: Member(state_since=now) for peer in peers if peer != name}
        self._round: list[str] = []  # members not yet pinged in this round
        self._open_pings: dict[int, OpenPing] = {}
        # Starts at random: with numbers from 1, a replayed ack to an earlier start would answer a ping of this one.
        self._ping_number = rng.getrandbits(48)
        self._last_tick = now
        self._times_sent: dict[str, int] = {}  # by member with a new state: how often its update was sent

    def reachable(self) -> set[str]:
        """Returns the members that are alive or suspect, and this dispatcher."""
        return {self.name, *(name for name, member in self.members.items() if member.state != MemberState.DEAD)}

    def reconfigure(self, peers: Iterable[str], now: int) -> None:
        """Replaces the list of members. The state of those that remain is retained."""
        names = {name for name in peers if name != self.name}
        self.members = {name: self.members.get(name) or Member(state_since=now) for name in sorted(names)}
        self._round = [name for name in self._round if name in names]
        self._open_pings = {number: ping for number, ping in self._open_pings.items() if ping.to in names}
        self._times_sent = {
            name: times for name, times in self._times_sent.items() if name in names or name == self.name
        }

    # Ticks.

    def tick(self, now: int) -> list[Payload]:
        """Declares overdue suspects dead. Returns the indirect probes that are due, and the next pings."""
        self._detect_stall(now)
        payloads = self._follow_up_pings(now)
        self._declare_dead(now)
        for _ in range(self._pings_per_tick()):
            payloads.append(self._ping(now, self._next_in_round()))
        return payloads

    def _detect_stall(self, now: int) -> None:
        """Extends suspicions by the time of a stall: answers that arrived meanwhile are still unread."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap > MAX_TICK_GAP_US:
            for member in self.members.values():
                member.state_since += gap

    def _declare_dead(self, now: int) -> None:
        for name, member in self.members.items():
            if member.state == MemberState.SUSPECT and now - member.state_since >= SUSPICION_US:
                self._set(now, name, member.incarnation, MemberState.DEAD)

    def _pings_per_tick(self) -> int:
        count = len(self.members)
        per_tick = -(-count // TICKS_PER_ROUND)
        return min(count, MAX_PINGS_PER_TICK, max(MIN_PINGS_PER_TICK, per_tick))

    def _next_in_round(self) -> str:
        """Returns the next member of a shuffled round; with independent draws, some member might not be drawn for long.

        Dead members are part of the round, because their pings are the only way to detect a healed partition.
        """
        if not self._round:
            self._round = sorted(self.members)
            self.rng.shuffle(self._round)
        return self._round.pop()

    def _ping(self, now: int, to: str, requester: str = "", request_number: int = 0) -> Ping:
        self._ping_number += 1
        self._open_pings[self._ping_number] = OpenPing(to, now, bool(requester), requester, request_number)
        return Ping(to, self._ping_number)

    def _follow_up_pings(self, now: int) -> list[Payload]:
        payloads: list[Payload] = []
        for number, ping in list(self._open_pings.items()):
            age = now - ping.sent_at
            if not ping.is_indirect and age >= ACK_TIMEOUT_US:
                ping.is_indirect = True
                payloads += self._indirect_probes(number, ping.to)
            elif age >= 2 * ACK_TIMEOUT_US:
                del self._open_pings[number]
                self._suspect(now, ping)
        return payloads

    def _indirect_probes(self, number: int, target: str) -> list[PingRequest]:
        candidates = [
            name for name, member in self.members.items() if member.state == MemberState.ALIVE and name != target
        ]
        helpers = self.rng.sample(candidates, min(INDIRECT_PROBES, len(candidates)))
        return [PingRequest(helper, number, target) for helper in helpers]

    def _suspect(self, now: int, ping: OpenPing) -> None:
        member = self.members[ping.to]
        if member.state == MemberState.ALIVE and not ping.requester:
            self._set(now, ping.to, member.incarnation, MemberState.SUSPECT)

    # Incoming messages.

    def receive(
        self, now: int, sender: str, incarnation: int, payload: Payload | None, updates: Iterable[MemberUpdate]
    ) -> list[Payload]:
        """Processes an authentic message that is not a replay. Returns the answers to it."""
        if sender not in self.members:
            return []
        self._merge(now, MemberUpdate(sender, incarnation, MemberState.ALIVE))
        for update in updates:
            self._merge(now, update)
        match payload:
            case Ping(_, number):
                return [Ack(sender, number)]
            case PingRequest(_, number, target) if target in self.members and target != sender:
                return [self._ping(now, target, sender, number)]
            case Ack(_, number):
                return self._receive_ack(sender, number)
        return []

    def _receive_ack(self, sender: str, number: int) -> list[Payload]:
        ping = self._open_pings.get(number)
        if ping is None:
            return []
        if ping.to == sender:
            del self._open_pings[number]
            return [Ack(ping.requester, ping.request_number)] if ping.requester in self.members else []
        if ping.is_indirect and not ping.requester:
            del self._open_pings[number]  # a helper forwarded the target's answer
        return []

    def _merge(self, now: int, update: MemberUpdate) -> None:
        if update.name == self.name:
            self._refute(update)
            return
        member = self.members.get(update.name)
        if member is None or update.state not in _PRECEDENCE:
            return
        state = MemberState(update.state)
        if (update.incarnation, _PRECEDENCE[state]) > (member.incarnation, _PRECEDENCE[member.state]):
            self._set(now, update.name, update.incarnation, state)

    def _refute(self, update: MemberUpdate) -> None:
        """Raises the incarnation above that of a wrong update; all members would declare this one dead otherwise."""
        if update.state != MemberState.ALIVE and update.incarnation >= self.incarnation:
            self.incarnation = update.incarnation + 1

    def _set(self, now: int, name: str, incarnation: int, state: MemberState) -> None:
        member = self.members[name]
        member.incarnation = incarnation
        member.state = state
        member.state_since = now
        self._times_sent[name] = 0

    # Outgoing updates.

    def updates_for(self, to: str) -> list[MemberUpdate]:
        """Returns the updates for the next message to member `to`.

        These are this dispatcher's state, the recipient's state unless it is alive, so that the recipient can refute
        it, and then the updates that were sent least often.
        """
        updates = [MemberUpdate(self.name, self.incarnation, MemberState.ALIVE)]
        addressee = self.members.get(to)
        if addressee and addressee.state != MemberState.ALIVE:
            updates.append(MemberUpdate(to, addressee.incarnation, addressee.state))
        max_times = 3 * math.ceil(math.log2(len(self.members) + 2))
        least_sent = sorted(self._times_sent, key=lambda name: self._times_sent[name])
        for name in least_sent[: MAX_UPDATES - len(updates)]:
            if name in self.members and name != to:
                member = self.members[name]
                updates.append(MemberUpdate(name, member.incarnation, member.state))
            self._times_sent[name] += 1
            if self._times_sent[name] >= max_times:
                del self._times_sent[name]
        return updates
