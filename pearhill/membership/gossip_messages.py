"""Messages between dispatchers as datagrams: one byte of version, a keyed checksum, MessagePack. One message is one
datagram that fits any path without being split."""

from __future__ import annotations

import hashlib
import hmac
from typing import ClassVar

import msgspec

from pearhill.load_reports.peer_loads import MAX_ROWS, ReplicaLoad
from pearhill.membership.gossip import GossipMessage
from pearhill.membership.members import MAX_UPDATES, Ack, MemberUpdate, Ping, PingRequest

VERSION = 1
MAX_DATAGRAM_BYTES = 1400
TAG_BYTES = 16  # bytes of HMAC-SHA256 (RFC 2104, cut as its section 5 allows)
MIN_KEY_BYTES = 16
MAX_COUNT = 1 << 62  # an incarnation or sequence; it has to be counted on
PING, ACK, ASK = 0, 1, 2


class MessageRejectedError(Exception):
    """A datagram that is not taken; the text is its reason code."""


class _Body(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    sender: str
    to: str
    incarnation: int
    sequence: int
    kind: int
    number: int
    target: str
    rumours: list[tuple[str, int, str]]
    rows: list[tuple[int, int, int]]


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_Body] = msgspec.msgpack.Decoder(_Body)


class MessageAuthenticator:
    """Datagrams of one version with a keyed checksum. `keys`: the first one signs, any of them is accepted, so that a
    key is changed without a gap."""

    version: ClassVar[int]

    def __init__(self, keys: list[bytes]) -> None:
        if not keys or min(map(len, keys)) < MIN_KEY_BYTES:
            raise ValueError(f"a key of at least {MIN_KEY_BYTES} bytes is needed")
        self.keys = keys

    def _seal(self, body: bytes) -> bytes:
        return bytes((self.version,)) + self._tag(self.keys[0], body) + body

    def _open(self, data: bytes) -> bytes:
        """The body. Rejected: it is foreign, forged or torn."""
        if len(data) > MAX_DATAGRAM_BYTES or len(data) <= 1 + TAG_BYTES:
            raise MessageRejectedError("size")
        if data[0] != self.version:
            raise MessageRejectedError("version")
        tag, body = data[1 : 1 + TAG_BYTES], data[1 + TAG_BYTES :]
        if not any(hmac.compare_digest(tag, self._tag(key, body)) for key in self.keys):
            raise MessageRejectedError("forged")
        return body

    @classmethod
    def _tag(cls, key: bytes, body: bytes) -> bytes:
        return hmac.digest(key, bytes((cls.version,)) + body, hashlib.sha256)[:TAG_BYTES]


class GossipCodec(MessageAuthenticator):
    version = VERSION

    def pack(self, m: GossipMessage) -> bytes:
        """Danger: a digest of many engines does not fit. Its smallest rows go, then the last rumours."""
        kind, target = {Ping: (PING, ""), Ack: (ACK, ""), PingRequest: (ASK, "")}[type(m.payload)]
        if isinstance(m.payload, PingRequest):
            target = m.payload.target
        rumours = [(r.name, r.incarnation, r.state) for r in m.updates]
        rows = [(r.replica, r.queued_tokens, r.total_tokens) for r in m.loads]
        while True:
            body = _encoder.encode(
                _Body(m.sender, m.payload.to, m.incarnation, m.sequence, kind, m.payload.number, target, rumours, rows)
            )
            if len(body) + 1 + TAG_BYTES <= MAX_DATAGRAM_BYTES or not (rows or rumours):
                break
            (rows or rumours).pop()
        return self._seal(body)

    def unpack(self, data: bytes, me: str) -> GossipMessage:
        """Rejected: it is foreign, forged, torn, or for somebody else."""
        try:
            b = _decoder.decode(self._open(data))
        except (msgspec.DecodeError, RecursionError):
            raise MessageRejectedError("malformed") from None
        if b.to != me:
            raise MessageRejectedError(
                "not-for-me"
            )  # Danger: replayed to another, an ack would clear a ping that it never saw.
        if (
            len(b.rumours) > MAX_UPDATES
            or len(b.rows) > MAX_ROWS
            or b.kind not in (PING, ACK, ASK)
            or any(not 0 <= n <= MAX_COUNT for n in (b.incarnation, b.sequence, *(r[1] for r in b.rumours)))
        ):
            raise MessageRejectedError("malformed")
        say = PingRequest(me, b.number, b.target) if b.kind == ASK else (Ack if b.kind == ACK else Ping)(me, b.number)
        return GossipMessage(
            b.sender,
            b.incarnation,
            b.sequence,
            say,
            tuple(MemberUpdate(*r) for r in b.rumours),
            tuple(ReplicaLoad(*r) for r in b.rows),
        )
