"""The state that two processes of one dispatcher exchange, and how it is stored: a line with a mark, the version and a
CRC-32 of the rest, then JSON. Other versions read it: its keys stay."""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, replace

from pearhill.lifecycle.overrides import MAX_OVERRIDES, Override

FAMILY_MARK = b"pearhill-note "  # begins the messages of every version
MESSAGE_VERSION = 1
MESSAGE_MARK = FAMILY_MARK + b"%d " % MESSAGE_VERSION


class TakeoverMessageError(ValueError):
    """Not a message, or none that can be believed; the text says why."""


@dataclass(frozen=True, slots=True)
class TakeoverMessage:
    """One process's state for the other. Times are microseconds of Unix time, by the writer's clock."""

    name: str  # the dispatcher's
    started_at: int  # of the process, which distinguishes the two
    written_at: int
    serving: bool  # it accepts clients' connections
    quiet: bool  # it answers no client any more
    ended: bool  # no further message will be written
    down: dict[int, Override]
    drain: Override | None
    origin: int = 0  # how far its writer's clock is ahead of the monotonic clock that all processes of a boot share
    boot: str = ""  # which boot; empty: the writer did not know

    def aligned(self, origin: int, boot: str) -> TakeoverMessage:
        """Its times by the reader's clock. The wall clock may have been stepped between the starts of the two."""
        by = origin - self.origin
        if not boot or boot != self.boot or not by:
            return self
        return replace(
            self,
            started_at=self.started_at + by,
            written_at=self.written_at + by,
            down={replica: override.shifted(by) for replica, override in self.down.items()},
            drain=self.drain and self.drain.shifted(by),
            origin=origin,
        )

    def encode(self) -> bytes:
        """The bytes to store."""
        fields = {
            "name": self.name,
            "start": self.started_at,
            "at": self.written_at,
            "serving": self.serving,
            "quiet": self.quiet,
            "ended": self.ended,
            "out": {f"{replica:x}": _encode_override(override) for replica, override in self.down.items()},
            "drain": self.drain and _encode_override(self.drain),
            "origin": self.origin,
            "boot": self.boot,
        }
        body = json.dumps(fields).encode()
        return MESSAGE_MARK + b"%08x\n" % zlib.crc32(body) + body


def decode(data: bytes, name: str) -> TakeoverMessage:
    """The message of another process of the dispatcher `name`. TakeoverMessageError: torn, of another version, of
    another dispatcher, or nonsense; nothing of it is used then."""
    message = _decode_body(_checked_body(data))
    if message.name != name:
        raise TakeoverMessageError("of another dispatcher")
    if len(message.down) > MAX_OVERRIDES:
        raise TakeoverMessageError("too many wishes")
    return message


def _checked_body(data: bytes) -> bytes:
    """What follows the first line, if that fits it."""
    head, newline, body = data.partition(b"\n")
    if not head.startswith(MESSAGE_MARK):
        raise TakeoverMessageError("of another version" if head.startswith(FAMILY_MARK) else "no note")
    if not newline or head[len(MESSAGE_MARK) :] != b"%08x" % zlib.crc32(body):
        raise TakeoverMessageError("torn")
    return body


def _decode_body(body: bytes) -> TakeoverMessage:
    try:
        fields = json.loads(body)
        down = {int(replica, 16): _decode_override(override) for replica, override in fields["out"].items()}
        drain = fields["drain"] and _decode_override(fields["drain"])
        return TakeoverMessage(
            name=str(fields["name"]),
            started_at=int(fields["start"]),
            written_at=int(fields["at"]),
            serving=fields["serving"] is True,
            quiet=fields["quiet"] is True,
            ended=fields["ended"] is True,
            down=down,
            drain=drain or None,
            origin=int(fields.get("origin", 0)),  # messages of versions before 0.3 lack both
            boot=str(fields.get("boot", "")),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError, OverflowError) as e:
        raise TakeoverMessageError(f"unreadable: {e!r}") from None


def _encode_override(override: Override) -> list[int]:
    return [override.set_at, override.on, override.since]


def _decode_override(fields: object) -> Override:
    match fields:
        case [int(set_at), bool(on), int(since)] if set_at >= 0 and since >= 0:
            return Override(set_at, on, since)
    raise TakeoverMessageError("a wish that is none")
