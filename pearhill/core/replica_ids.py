"""The numbering of replicas."""

from __future__ import annotations

import hashlib


def replica_id(uid: str) -> int:
    """Return the number of a replica. Computed from its uid alone, it is the same in every dispatcher."""
    return int.from_bytes(hashlib.blake2b(uid.encode(), digest_size=8).digest())
