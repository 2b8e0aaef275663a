"""What one aggregator stores about a peer: the peer's slot table and sums, and how much of this one's table it has.

The peer's sums count under a lease, as a dispatcher's work does: until PARTIAL_SUM_LEASE_US after this aggregator sent
the message that they answer. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from pearhill.membership.aggregation_messages import PARTIAL_SUM_LEASE_US, PartialSum, TableEntry
from pearhill.membership.fragments import FragmentAssembler, SendTimes
from pearhill.membership.gauges import TOKENS, unpack

UNKNOWN_REPLICA = -1
SlotFor = Callable[[int], int | None]  # returns this aggregator's slot of a replica


@dataclass(slots=True)
class PeerAggregator:
    """One start of another aggregator. Messages are identified by the sequence of their first part."""

    incarnation: int = -1
    last_seen: int = -1
    version: int = 0
    replicas: list[int] = field(default_factory=list)  # by the peer's slots
    send_times: SendTimes = field(default_factory=SendTimes)  # send times of the messages to the peer
    newest_received: int = -1  # newest message received from the peer
    fragments: FragmentAssembler[PartialSum] = field(default_factory=FragmentAssembler)
    newest_counted: int = -1  # newest message of the peer whose sums are used
    lease_end: int = -1
    reporting: int = 0
    loads: list[float] = field(default_factory=list)  # by this aggregator's slots
    waits: list[float] = field(default_factory=list)
    known_incarnation: int = -1  # of this aggregator's table, as the peer last reported
    known_version: int = 0

    def is_fresh(self, now: int) -> bool:
        """Returns whether the peer's sums count."""
        return self.lease_end > now

    def has_work(self, slot: int) -> bool:
        """Returns whether the peer's last sums, fresh or not, include work at the slot."""
        return slot < len(self.loads) and bool(self.loads[slot] or self.waits[slot])

    def receive(self, now: int, message: PartialSum, started: int, slot_count: int, slot_for: SlotFor) -> None:
        """Processes one part of the peer's sums, which count once all parts have arrived.

        `started` is this aggregator's own start.
        """
        number = message.sequence - message.part
        self.newest_received = max(self.newest_received, number)
        if message.known_incarnation != started:
            # The peer has received nothing of this start yet; its entries are those that an earlier start lacked.
            return
        if number >= self.newest_counted:
            self.known_incarnation = message.known_incarnation
            self.known_version = max(self.known_version, message.known_version)
        self._update_table(message.entries)
        messages = self.fragments.add(number, message)
        if not messages or number <= self.newest_counted:
            return
        sent_at = self.send_times.get(message.echo)
        if sent_at is None or now - sent_at >= PARTIAL_SUM_LEASE_US:
            return
        if self.version < message.reused_version:
            return
        self.newest_counted = number
        self.lease_end = sent_at + PARTIAL_SUM_LEASE_US
        self.reporting = message.reporting
        self._count(messages, slot_count, slot_for)

    def _update_table(self, entries: Iterable[TableEntry]) -> None:
        for slot, replica, version in entries:
            if version > self.version:
                self.replicas.extend([UNKNOWN_REPLICA] * (slot + 1 - len(self.replicas)))
                self.replicas[slot] = replica
                self.version = version

    def _count(self, messages: list[PartialSum], slot_count: int, slot_for: SlotFor) -> None:
        """Converts gauges by the peer's slots to tokens by this aggregator's slots."""
        loads = [0.0] * slot_count
        waits = [0.0] * slot_count
        for message in messages:
            replicas = self.replicas[message.first_slot :]
            load_codes = unpack(message.loads, message.slot_count)
            wait_codes = unpack(message.waits, message.slot_count)
            for replica, load, wait in zip(replicas, load_codes, wait_codes, strict=False):
                if replica < 0 or not (load or wait):
                    continue
                slot = slot_for(replica)
                if slot is None:
                    continue
                if slot >= len(loads):
                    loads.extend([0.0] * (slot + 1 - len(loads)))
                    waits.extend([0.0] * (slot + 1 - len(waits)))
                loads[slot] = TOKENS[load]
                waits[slot] = TOKENS[wait]
        self.loads = loads
        self.waits = waits
