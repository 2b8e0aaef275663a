"""One dispatcher's part in a fleet that talks: members and work together, as facts for everybody else here."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pearhill.load_reports.peer_loads import PeerLoads, ReplicaLoad, largest_loads
from pearhill.membership.members import DEAD, Members, MemberUpdate, Payload
from pearhill.membership.replay_window import ReplayWindow

LOST_AT_ONCE = 1 / 3  # of the fleet: more than that, gone together, is a cut and not so many deaths
BELIEVED = 60_000_000  # after so long even a cut counts as a loss


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """What one dispatcher sends another; `sequence` grows with each, whoever it is for."""

    sender: str
    incarnation: int
    sequence: int
    payload: Payload
    updates: tuple[MemberUpdate, ...]
    loads: tuple[ReplicaLoad, ...]


class GossipProtocol:
    """`work` tells my own tokens at each engine, as they are now."""

    def __init__(
        self, me: str, peers: Iterable[str], started: int, rng: random.Random, work: Callable[[], Iterable[ReplicaLoad]]
    ) -> None:
        self.members, self.peer_loads, self._mine = Members(me, peers, started, started, rng), PeerLoads(), work
        self._sequence = 0
        self._peers = set(self.members.members)  # counted, as of the last beat
        self._window = ReplayWindow()

    def tick(self, now: int) -> list[GossipMessage]:
        says = self.members.tick(now)
        self._peers = self.counted(now)
        self.peer_loads.weigh(now, self._peers)
        return self._messages(says)

    def receive(self, now: int, message: GossipMessage) -> list[GossipMessage]:
        """An authentic message, whenever it comes and however often. The answers to it."""
        # Danger: sent again, the words of a dead dispatcher would be signs of its life.
        if message.sender not in self.members.members or not self._window.first_time(
            message.sender, message.incarnation, message.sequence
        ):
            return []
        self.peer_loads.receive(now, message.sender, (message.incarnation, message.sequence), message.loads)
        return self._messages(
            self.members.receive(now, message.sender, message.incarnation, message.payload, message.updates)
        )

    def _messages(self, says: list[Payload]) -> list[GossipMessage]:
        rows = tuple(largest_loads(self._mine())) if says else ()
        made = []
        for say in says:
            self._sequence += 1
            made.append(
                GossipMessage(
                    self.members.name,
                    self.members.incarnation,
                    self._sequence,
                    say,
                    tuple(self.members.updates_for(say.to)),
                    rows,
                )
            )
        return made

    def counted(self, now: int) -> set[str]:
        """The peers that send work, as far as can be told: whoever is there, and whoever is only out of sight.
        Danger: cut in two, each half would believe the other dead, and both together would give each starting
        engine, each member's share and each retry budget twice what is right."""
        members = self.members.members
        there = {name for name, m in members.items() if m.state != DEAD}
        lately = {name for name, m in members.items() if m.state == DEAD and now - m.since < BELIEVED}
        known = len(there) + len(lately) + 1
        return there | lately if len(lately) > math.floor(LOST_AT_ONCE * known) else there

    def count(self, now: int) -> int:
        """Dispatchers that share the work, this one among them."""
        return len(self.counted(now)) + 1

    def others(self, now: int, engine: int, waiting: int, load: int) -> tuple[float, float, float]:
        """What the others have at an engine where I have this much: tokens yet to be read, under way in all, and how
        much of that is fresh word."""
        told = self.peer_loads.others(now, engine, self._peers, ReplicaLoad(engine, waiting, load))
        return told.queued_tokens, told.total_tokens, told.confidence

    def reconfigure(self, peers: Iterable[str], now: int) -> None:
        self.members.reconfigure(peers, now)
        self.peer_loads.keep(self.members.members)
        self._peers = self.counted(now)
        self._window.keep(self.members.members)
