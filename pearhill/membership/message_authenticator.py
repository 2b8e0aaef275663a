"""Authenticated datagrams: one byte of version, a message authentication code (MAC), a body in MessagePack."""

from __future__ import annotations

import hashlib
import hmac
from typing import ClassVar

MAX_DATAGRAM_BYTES = 1400  # fits any path without fragmentation
TAG_BYTES = 16  # of HMAC-SHA256 (RFC 2104, truncated as its section 5 allows)
MIN_KEY_BYTES = 16
MAX_COUNT = 1 << 62  # of an incarnation or sequence; leaves a margin for increments


class MessageRejectedError(Exception):
    """Raised for a datagram that is not accepted; the text is the reason code."""


class MessageAuthenticator:
    """Signs and verifies datagrams of one version.

    The first of `keys` signs and each of them is accepted, so that a key can be rotated without rejected datagrams.
    """

    version: ClassVar[int]

    def __init__(self, keys: list[bytes]) -> None:
        """Raises ValueError if there is no key or one is too short."""
        if not keys or min(map(len, keys)) < MIN_KEY_BYTES:
            raise ValueError(f"a key of at least {MIN_KEY_BYTES} bytes is needed")
        self.keys = keys

    def fits(self, body: bytes) -> bool:
        """Returns whether the body fits one datagram."""
        return 1 + TAG_BYTES + len(body) <= MAX_DATAGRAM_BYTES

    def sign(self, body: bytes) -> bytes:
        """Returns the signed datagram of a body."""
        return bytes((self.version,)) + self.tag(self.keys[0], body) + body

    def verify(self, data: bytes) -> bytes:
        """Returns the body of a datagram. Raises MessageRejectedError if it is foreign, forged or truncated."""
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
        """Returns the MAC over version and body."""
        return hmac.digest(key, bytes((cls.version,)) + body, hashlib.sha256)[:TAG_BYTES]
