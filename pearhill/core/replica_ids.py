"""How replicas are numbered."""

from __future__ import annotations

import hashlib


def replica_id(uid: str) -> int:
    """The number of a replica: the same in every dispatcher, since it is computed from the replica's uid alone."""
    return int.from_bytes(hashlib.blake2b(uid.encode(), digest_size=8).digest())
