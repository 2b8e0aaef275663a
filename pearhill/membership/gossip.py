"""The gossip protocol of one dispatcher: membership and loads in the same messages.

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

PARTITION_SHARE = 1 / 3  # of the fleet; if more are dead at once, a network partition is assumed
PARTITION_TIMEOUT_US = 60_000_000  # after this long, members behind a partition count as dead as well


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """A message between two dispatchers. `sequence` increases with each message of a sender, across all recipients."""

    sender: str
    incarnation: int
    sequence: int
    payload: Payload
    updates: tuple[MemberUpdate, ...]
    loads: tuple[ReplicaLoad, ...]


class GossipProtocol:
    """One dispatcher's side of the gossip. `own_loads` returns this dispatcher's current tokens at each replica."""

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
        self._replay_window = ReplayWindow()

    def tick(self, now: int) -> list[GossipMessage]:
        """Returns the messages that are due."""
        payloads = self.members.tick(now)
        self._counted_peers = self.counted_peers(now)
        self.peer_loads.update_weights(now, self._counted_peers)
        return self._messages(payloads)

    def receive(self, now: int, message: GossipMessage) -> list[GossipMessage]:
        """Processes an authentic message, which may be late or repeated. Returns the answers to it."""
        if message.sender not in self.members.members:
            return []
        # Without this check, replayed messages of a dead dispatcher would make it look alive.
        if not self._replay_window.accept(message.sender, message.incarnation, message.sequence):
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

    def counted_peers(self, now: int) -> set[str]:
        """Returns the peers that presumably send requests: those not dead, and those behind a network partition.

        If each side of a partition counted the other side as dead, both would claim the whole of each limit: together
        they would grant each starting replica, each tenant's quota and each retry budget twice the intended amount.
        """
        members = self.members.members
        alive = {name for name, member in members.items() if member.state != MemberState.DEAD}
        recently_dead = {
            name
            for name, member in members.items()
            if member.state == MemberState.DEAD and now - member.state_since < PARTITION_TIMEOUT_US
        }
        known = len(alive) + len(recently_dead) + 1
        is_partition = len(recently_dead) > math.floor(PARTITION_SHARE * known)
        return alive | recently_dead if is_partition else alive

    def count(self, now: int) -> int:
        """Returns how many dispatchers share the work, including this one."""
        return len(self.counted_peers(now)) + 1

    def estimate_peer_load(self, now: int, replica: int, queued_tokens: int, total_tokens: int) -> PeerLoadEstimate:
        """Returns the estimated load of the other dispatchers at a replica.

        `queued_tokens` and `total_tokens` are this dispatcher's own tokens there.
        """
        own = ReplicaLoad(replica, queued_tokens, total_tokens)
        return self.peer_loads.estimate_peer_load(now, replica, self._counted_peers, own)

    def reconfigure(self, peers: Iterable[str], now: int) -> None:
        """Replaces the list of peers. The state of those that remain is retained."""
        self.members.reconfigure(peers, now)
        self.peer_loads.keep(self.members.members)
        self._counted_peers = self.counted_peers(now)
        self._replay_window.keep(self.members.members)
