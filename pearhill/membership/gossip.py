"""One dispatcher's part in the gossip of a fleet: members and loads together.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pearhill.load_reports.peer_load_source import PeerLoadEstimate
from pearhill.load_reports.peer_loads import PeerLoads, ReplicaLoad, largest_loads
from pearhill.membership.members import MemberState, MemberUpdate, Payload, SwimMembership
from pearhill.membership.replay_window import ReplayWindow

PARTITION_SHARE = 1 / 3  # of the fleet: more than that, dead together, is a network partition
PARTITION_TIMEOUT_US = 60_000_000  # after so long they count as dead all the same


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """What one dispatcher sends another; `sequence` grows with each message, whoever it is for."""

    sender: str
    incarnation: int
    sequence: int
    payload: Payload
    updates: tuple[MemberUpdate, ...]
    loads: tuple[ReplicaLoad, ...]


class GossipProtocol:
    """`own_loads` gives this dispatcher's tokens at each replica, as they are now."""

    def __init__(
        self,
        name: str,
        peers: Iterable[str],
        started: int,
        rng: random.Random,
        own_loads: Callable[[], Iterable[ReplicaLoad]],
    ) -> None:
        self.members = SwimMembership(name, peers, started, started, rng)
        self.peer_loads = PeerLoads()
        self._own_loads = own_loads
        self._sequence = 0
        self._counted_peers = set(self.members.members)  # as of the last tick
        self._window = ReplayWindow()

    def tick(self, now: int) -> list[GossipMessage]:
        """The messages that are due."""
        payloads = self.members.tick(now)
        self._counted_peers = self.counted(now)
        self.peer_loads.update_weights(now, self._counted_peers)
        return self._messages(payloads)

    def receive(self, now: int, message: GossipMessage) -> list[GossipMessage]:
        """Take an authentic message, whenever it comes and however often. The answers to it."""
        if message.sender not in self.members.members:
            return []
        # Replayed, the messages of a dead dispatcher would be signs of its life.
        if not self._window.first_time(message.sender, message.incarnation, message.sequence):
            return []
        version = (message.incarnation, message.sequence)
        self.peer_loads.receive(now, message.sender, version, message.loads)
        answers = self.members.receive(now, message.sender, message.incarnation, message.payload, message.updates)
        return self._messages(answers)

    def _messages(self, payloads: list[Payload]) -> list[GossipMessage]:
        if not payloads:
            return []
        loads = tuple(largest_loads(self._own_loads()))
        return [self._message(payload, loads) for payload in payloads]

    def _message(self, payload: Payload, loads: tuple[ReplicaLoad, ...]) -> GossipMessage:
        self._sequence += 1
        return GossipMessage(
            sender=self.members.name,
            incarnation=self.members.incarnation,
            sequence=self._sequence,
            payload=payload,
            updates=tuple(self.members.updates_for(payload.to)),
            loads=loads,
        )

    def counted(self, now: int) -> set[str]:
        """The peers that send requests, as far as is known: the reachable, and those behind a network partition.

        Counted as dead, each side of a partition would take the other's share too: together they would give each
        starting replica, each tenant's quota and each retry budget twice what is right.
        """
        members = self.members.members
        alive = {name for name, member in members.items() if member.state != MemberState.DEAD}
        lately_dead = {
            name
            for name, member in members.items()
            if member.state == MemberState.DEAD and now - member.state_since < PARTITION_TIMEOUT_US
        }
        known = len(alive) + len(lately_dead) + 1
        is_partition = len(lately_dead) > math.floor(PARTITION_SHARE * known)
        return alive | lately_dead if is_partition else alive

    def count(self, now: int) -> int:
        """Dispatchers that share the work, this one among them."""
        return len(self.counted(now)) + 1

    def estimate_peer_load(self, now: int, replica: int, queued_tokens: int, total_tokens: int) -> PeerLoadEstimate:
        """What the others have at a replica where this dispatcher has so many queued tokens, and in all."""
        own = ReplicaLoad(replica, queued_tokens, total_tokens)
        return self.peer_loads.estimate_peer_load(now, replica, self._counted_peers, own)

    def reconfigure(self, peers: Iterable[str], now: int) -> None:
        """Name the peers anew. What is known of those that stay, stays."""
        self.members.reconfigure(peers, now)
        self.peer_loads.keep(self.members.members)
        self._counted_peers = self.counted(now)
        self._window.keep(self.members.members)
