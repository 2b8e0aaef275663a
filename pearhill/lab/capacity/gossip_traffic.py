"""Determines the size of a gossip datagram by encoding one with the program's own protocol code."""

from __future__ import annotations

from pearhill.core.replica_ids import replica_id
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership.byte_budget import HEADER_BYTES
from pearhill.membership.gossip import GossipMessage
from pearhill.membership.gossip_messages import GossipCodec
from pearhill.membership.members import (
    MemberState,
    MemberUpdate,
    Ping,
)


def gossip_datagram_bytes(rows: int) -> int:
    """Returns the bytes of one ping whose digest has `rows` rows, including IP and UDP headers."""
    digest = tuple(ReplicaLoad(replica_id(f"s-{k}"), 3_815, 41_210) for k in range(rows))
    started = 1_796_187_600_000_000
    message = GossipMessage(
        "dispatcher-123",
        started,
        1 << 20,
        Ping("dispatcher-321", 1 << 47),
        (MemberUpdate("dispatcher-123", started, MemberState.ALIVE),),
        digest,
    )
    return len(GossipCodec([b"k" * 32]).pack(message)) + HEADER_BYTES
