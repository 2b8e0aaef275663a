"""A stand-in for the library `xxhash`, for machines where only the deploy file's build has run.

The build of the deploy file leaves out the extra [chat]. The only library of it that the chat API's process imports is
`xxhash`, for the checksums in the journal of budgets, at which no case looks. Where `xxhash` is installed, this file is
not used.
"""

from __future__ import annotations

import hashlib


def xxh3_64_intdigest(data: bytes) -> int:
    """Return a checksum of 64 bits, another one than the library's."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())
