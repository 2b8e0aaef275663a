"""The message that two processes of one dispatcher exchange, and its stored form.

A stored message is a line with a marker, the version and a CRC-32 of the rest, followed by JSON. Processes of other
versions read it, so its keys must not change.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, replace

from pearhill.lifecycle.overrides import MAX_OVERRIDES, Override

FAMILY_MARK = b"pearhill-note "  # the first bytes of a message of any version
MESSAGE_VERSION = 1
MESSAGE_MARK = FAMILY_MARK + b"%d " % MESSAGE_VERSION


class TakeoverMessageError(ValueError):
    """The data is not a valid message of this dispatcher; the text says why."""


@dataclass(frozen=True, slots=True)
class TakeoverMessage:
    """The state of one process, for the other. Times are microseconds of Unix time, by the writer's clock."""

    name: str  # of the dispatcher
    started_at: int  # start of the process, which distinguishes the two
    written_at: int
    serving: bool  # whether the process accepts clients' connections
    quiet: bool  # whether the process has answered all its clients
    ended: bool  # no further message will be written
    down: dict[int, Override]
    drain: Override | None
    origin: int = 0  # how far the writer's clock is ahead of the monotonic clock that all processes of a boot share
    boot: str = ""  # the id of the writer's boot, or empty if unknown

    def aligned(self, origin: int, boot: str) -> TakeoverMessage:
        """Returns the message with its times by the reader's clock.

        The two clocks differ if the wall clock was stepped between the starts of the two processes.
        """
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
        """Returns the bytes to store."""
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
    """Returns the message of another process of the dispatcher `name`.

    Raises TakeoverMessageError if the data is torn, of another version or dispatcher, or malformed.
    """
    message = _decode_body(_checked_body(data))
    if message.name != name:
        raise TakeoverMessageError("of another dispatcher")
    if len(message.down) > MAX_OVERRIDES:
        raise TakeoverMessageError("too many overrides")
    return message


def _checked_body(data: bytes) -> bytes:
    """Returns the data after the first line, whose version and checksum are verified."""
    head, newline, body = data.partition(b"\n")
    if not head.startswith(MESSAGE_MARK):
        raise TakeoverMessageError("of another version" if head.startswith(FAMILY_MARK) else "not a takeover message")
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
    raise TakeoverMessageError("malformed override")
