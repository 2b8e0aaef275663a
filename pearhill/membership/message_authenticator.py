"""Datagrams with a keyed checksum: one byte of version, the checksum, a body in MessagePack."""

from __future__ import annotations

import hashlib
import hmac
from typing import ClassVar

MAX_DATAGRAM_BYTES = 1400  # fits any path without being split
TAG_BYTES = 16  # of HMAC-SHA256 (RFC 2104, truncated as its section 5 allows)
MIN_KEY_BYTES = 16
MAX_COUNT = 1 << 62  # an incarnation or sequence, which must leave room to count on


class MessageRejectedError(Exception):
    """A datagram that is not accepted; the text is its reason code."""


class MessageAuthenticator:
    """Seals and opens datagrams of one version. The first of `keys` signs, each of them is accepted, so that a key is
    changed without a gap."""

    version: ClassVar[int]

    def __init__(self, keys: list[bytes]) -> None:
        """ValueError: there is no key, or one is too short."""
        if not keys or min(map(len, keys)) < MIN_KEY_BYTES:
            raise ValueError(f"a key of at least {MIN_KEY_BYTES} bytes is needed")
        self.keys = keys

    def fits(self, body: bytes) -> bool:
        """Whether a datagram holds the body."""
        return 1 + TAG_BYTES + len(body) <= MAX_DATAGRAM_BYTES

    def seal(self, body: bytes) -> bytes:
        """The datagram of a body."""
        return bytes((self.version,)) + self.tag(self.keys[0], body) + body

    def unseal(self, data: bytes) -> bytes:
        """The body of a datagram. MessageRejectedError: it is foreign, forged or torn."""
        if len(data) > MAX_DATAGRAM_BYTES or len(data) <= 1 + TAG_BYTES:
            raise MessageRejectedError("size")
        if data[0] != self.version:
            raise MessageRejectedError("version")
        tag = data[1 : 1 + TAG_BYTES]
        body = data[1 + TAG_BYTES :]
        if not any(hmac.compare_digest(tag, self.tag(key, body)) for key in self.keys):
            raise MessageRejectedError("forged")
        return body

    @classmethod
    def tag(cls, key: bytes, body: bytes) -> bytes:
        """The keyed checksum over version and body."""
        return hmac.digest(key, bytes((cls.version,)) + body, hashlib.sha256)[:TAG_BYTES]
