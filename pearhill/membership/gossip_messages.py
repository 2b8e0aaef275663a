"""Gossip messages, encoded as datagrams of version 1, one message per datagram."""

from __future__ import annotations

import msgspec

from pearhill.load_reports.peer_loads import MAX_ROWS, ReplicaLoad
from pearhill.membership.gossip import GossipMessage
from pearhill.membership.members import MAX_UPDATES, Ack, MemberUpdate, Payload, Ping, PingRequest
from pearhill.membership.message_authenticator import MAX_COUNT, MessageAuthenticator, MessageRejectedError

VERSION = 1
KIND_PING = 0
KIND_ACK = 1
KIND_PING_REQUEST = 2

UpdateRow = tuple[str, int, str]  # name, incarnation, state
LoadRow = tuple[int, int, int]  # replica, queued tokens, total tokens


class _Body(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    sender: str
    to: str
    incarnation: int
    sequence: int
    kind: int
    number: int
    target: str
    updates: list[UpdateRow]
    loads: list[LoadRow]


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_Body] = msgspec.msgpack.Decoder(_Body)


class GossipCodec(MessageAuthenticator):
    """Encodes gossip messages as datagrams and decodes them."""

    version = VERSION

    def pack(self, message: GossipMessage) -> bytes:
        """Returns the datagram of a message. If it is too large, omits the smallest loads, then the last updates."""
        updates = [(update.name, update.incarnation, update.state) for update in message.updates]
        loads = [(load.replica, load.queued_tokens, load.total_tokens) for load in message.loads]
        body = _encode(message, updates, loads)
        while not self.fits(body) and (loads or updates):
            if loads:
                loads.pop()
            else:
                updates.pop()
            body = _encode(message, updates, loads)
        return self.sign(body)

    def unpack(self, data: bytes, me: str) -> GossipMessage:
        """Returns the message of a datagram.

        Raises MessageRejectedError if the datagram is foreign, forged, truncated or not addressed to `me`.
        """
        try:
            body = _decoder.decode(self.verify(data))
        except (msgspec.DecodeError, RecursionError):
            raise MessageRejectedError("malformed") from None
        if body.to != me:
            # An ack replayed to another dispatcher would otherwise answer a ping that its sender never received.
            raise MessageRejectedError("not-for-me")
        if not _is_valid(body):
            raise MessageRejectedError("malformed")
        return GossipMessage(
            sender=body.sender,
            incarnation=body.incarnation,
            sequence=body.sequence,
            payload=_payload(body),
            updates=tuple(MemberUpdate(*row) for row in body.updates),
            loads=tuple(ReplicaLoad(*row) for row in body.loads),
        )


def _encode(message: GossipMessage, updates: list[UpdateRow], loads: list[LoadRow]) -> bytes:
    payload = message.payload
    body = _Body(
        sender=message.sender,
        to=payload.to,
        incarnation=message.incarnation,
        sequence=message.sequence,
        kind=_kind(payload),
        number=payload.number,
        target=payload.target if isinstance(payload, PingRequest) else "",
        updates=updates,
        loads=loads,
    )
    return _encoder.encode(body)


def _kind(payload: Payload) -> int:
    match payload:
        case Ping():
            return KIND_PING
        case Ack():
            return KIND_ACK
        case PingRequest():
            return KIND_PING_REQUEST


def _payload(body: _Body) -> Payload:
    if body.kind == KIND_PING_REQUEST:
        return PingRequest(body.to, body.number, body.target)
    if body.kind == KIND_ACK:
        return Ack(body.to, body.number)
    return Ping(body.to, body.number)


def _is_valid(body: _Body) -> bool:
    if len(body.updates) > MAX_UPDATES or len(body.loads) > MAX_ROWS:
        return False
    if body.kind not in (KIND_PING, KIND_ACK, KIND_PING_REQUEST):
        return False
    counts = (body.incarnation, body.sequence, *(incarnation for _, incarnation, _ in body.updates))
    return all(0 <= count <= MAX_COUNT for count in counts)
