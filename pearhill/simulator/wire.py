"""The codec between the simulator's frames and the router's events and actions. It decides nothing."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import BinaryIO

from pearhill.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    LogMessage,
    MigrateStream,
    QueryLoad,
    RejectRequest,
    ReleaseState,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
)
from pearhill.routing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    Event,
    HealthCheckEnded,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from pearhill.routing.outcomes import Outcome
from pearhill.routing.topology import Endpoint, Phase

PHASES = {0: Phase.GONE, 1: Phase.READY, 2: Phase.DRAINING}
OUTCOMES = {
    200: Outcome.ANSWERED,
    102: Outcome.PREFILLED,
    500: Outcome.ERROR,
    503: Outcome.FULL,
    504: Outcome.TIMEOUT,
    502: Outcome.UNREACHABLE,
    598: Outcome.TRUNCATED,
    499: Outcome.CANCELLED,
    410: Outcome.NOT_SENT,
}
TURNED_AWAY = 503  # of a probe: the engine lives
FULL_LIST, CACHED_LIST, FAILED_CALL = 0, 3, 4

_HEAD = struct.Struct("<IQII")
_RECORD = struct.Struct("<BI")
_ENTRY = struct.Struct("<IBHHBfQ")
_SUBMIT = struct.Struct("<IIfQfBQIHfB")
_ENDED = struct.Struct("<IIHBIIHB")
_PROBED = struct.Struct("<IIHB")
_FIRST = struct.Struct("<IHII")
_U32 = struct.Struct("<I")


class WireError(Exception):
    """A frame that does not follow the wire; the text says what and where."""


@dataclass(frozen=True, slots=True)
class Start:
    seed: int
    settings: bytes


@dataclass(frozen=True, slots=True)
class Halt:
    pass


@dataclass(frozen=True, slots=True)
class Fault:
    """The decision code has failed with this text."""

    text: str


@dataclass(frozen=True, slots=True)
class Frame:
    seq: int
    clock: int
    events: tuple[tuple[int, Event | Start | Halt], ...]


def _whole(value: float) -> int:
    """A token count sent as a float; what is no count at all reads as none."""
    return int(value) if 0 <= value < 1e9 else 0


def _listed(b: bytes) -> EndpointsUpdated | None:
    _, mode, n = struct.unpack_from("<QBI", b)
    if mode == FAILED_CALL:
        return None
    entries = []
    for k in range(n):
        engine, zone, kind, cell, phase, weight, started = _ENTRY.unpack_from(b, 13 + 22 * k)
        if phase not in PHASES:
            raise WireError(f"list entry {k} has the unknown phase {phase}")
        entries.append(Endpoint(engine, zone, kind, cell, PHASES[phase], weight, started))
    return EndpointsUpdated(mode in (FULL_LIST, CACHED_LIST), tuple(entries))


def _submit(b: bytes) -> RequestArrived:
    txn, _, prefix_len, prefix, prompt, cls, session, ttl, tenant, most, opts = _SUBMIT.unpack_from(b)
    return RequestArrived(
        txn,
        cls,
        tenant,
        session,
        prefix,
        _whole(prefix_len),
        _whole(prompt),
        _whole(most),
        ttl,
        bool(opts & 2),
        bool(opts & 16),
    )


def _load(b: bytes, at: int, values: int, load_at: tuple[int, int]) -> tuple[float, float] | None:
    report = struct.unpack_from(f"<{values}f", b, at)
    x0, x1 = load_at
    return (report[x0], report[x1]) if min(load_at) >= 0 and max(load_at) < values else None


def _probed(b: bytes, load_at: tuple[int, int]) -> HealthCheckEnded:
    rtt, engine, verdict, values = _PROBED.unpack_from(b)
    outcome = Outcome.ANSWERED if verdict == TURNED_AWAY else OUTCOMES.get(verdict, Outcome.UNREACHABLE)
    return HealthCheckEnded(engine, outcome, rtt, _load(b, _PROBED.size, values, load_at))


def _ended(b: bytes, load_at: tuple[int, int]) -> AttemptEnded:
    txn, detail, verdict, settled, rtt, engine, n, values = _ENDED.unpack_from(b)
    load = _load(b, _ENDED.size, values, load_at)
    if verdict not in OUTCOMES:
        raise WireError(f"ENDED has the unknown verdict {verdict}")
    outcome = Outcome.STATE_LOST if verdict == 503 and detail == 1 else OUTCOMES[verdict]
    kept = detail if verdict in (102, 200) else 0
    return AttemptEnded(txn, n, engine, outcome, bool(settled), kept, rtt, load)


def _began(b: bytes) -> ResponseStarted:
    txn, n, engine, rtt = _FIRST.unpack_from(b)
    return ResponseStarted(txn, n, engine, rtt)


def _start(b: bytes) -> Start:
    seed, n = struct.unpack_from("<QI", b)
    if len(b) < 12 + n:
        raise WireError("START is shorter than its settings")
    return Start(seed, b[12 : 12 + n])


def _skip(b: bytes) -> None:
    """NOTE and DATAGRAM answer what is never asked for here."""


_EVENTS: dict[int, Callable[[bytes], Event | Start | Halt | None]] = {
    6: _skip,
    11: _skip,
    3: _listed,
    4: _start,
    10: _submit,
    7: _began,
    9: lambda b: Halt(),
    1: lambda b: TimerFired(_U32.unpack_from(b)[0]),
    2: lambda b: ClientDisconnected(_U32.unpack_from(b)[0]),
}

_REPORTING: dict[int, Callable[[bytes, tuple[int, int]], Event]] = {0: _probed, 8: _ended}  # may hold a report


def read_frame(stream: BinaryIO, load_at: Callable[[int], tuple[int, int]]) -> Frame | None:
    """The next frame, or None at the end of input. `load_at` tells where an instance's load values stand."""
    head = stream.read(_HEAD.size)
    if not head:
        return None
    if len(head) < _HEAD.size:
        raise WireError(f"the frame header ends after {len(head)} of {_HEAD.size} bytes")
    seq, clock, length, count = _HEAD.unpack(head)
    if length < 4:
        raise WireError(f"frame {seq}: the length {length} is too small")
    body = stream.read(length - 4)
    if len(body) < length - 4:
        raise WireError(f"frame {seq} ends after {len(body)} of {length - 4} bytes")
    return Frame(seq, clock, tuple(_records(seq, body, count, load_at)))


def _records(
    seq: int,
    body: bytes,
    count: int,
    load_at: Callable[[int], tuple[int, int]],
) -> Iterator[tuple[int, Event | Start | Halt]]:
    at, instance = 0, -1
    for k in range(count):
        where = f"frame {seq}, record {k} at byte {at}"
        if at + _RECORD.size > len(body):
            raise WireError(f"{where}: no room for a record")
        code, size = _RECORD.unpack_from(body, at)
        at += _RECORD.size
        fields = body[at : at + size]
        at += size
        if len(fields) < size:
            raise WireError(f"{where}: {size} bytes stated, {len(fields)} present")
        try:
            if code == 5:
                instance = _U32.unpack_from(fields)[0]
                continue
            if instance < 0:
                raise WireError("no instance was named before it")
            if code not in _REPORTING and code not in _EVENTS:
                raise WireError(f"unknown event code {code}")
            reporting = _REPORTING.get(code)
            event = reporting(fields, load_at(instance)) if reporting else _EVENTS[code](fields)
        except (WireError, struct.error) as e:
            raise WireError(f"{where}: {e}") from None
        if event is not None:
            yield instance, event
    if at != len(body):
        raise WireError(f"frame {seq}: {len(body) - at} bytes after its last record")


def _text(code: int, text: str) -> bytes:
    raw = text.encode()[:1000]
    return _RECORD.pack(code, 2 + len(raw)) + struct.pack("<H", len(raw)) + raw


def encode_action(a: Action | Fault) -> bytes:
    """One action as one record."""
    match a:
        case SendAttempt():
            return struct.pack("<BIIIi", 64, 12, a.request, a.replica, a.attempt_timeout)
        case SetTimer():
            return struct.pack("<BIII", 68, 8, a.timer, a.delay)
        case CancelAttempt():
            return struct.pack("<BIIH", 67, 6, a.request, a.attempt)
        case RejectRequest():
            return struct.pack("<BIII", 65, 8, a.request, a.retry_after)
        case FailRequest():
            return struct.pack("<BII", 66, 4, a.request)
        case SendHealthCheck():
            return struct.pack("<BII", 69, 4, a.replica)
        case ReleaseState():
            return struct.pack("<BII", 78, 4, a.request)
        case MigrateStream():
            return struct.pack("<BII", 76, 4, a.request)
        case LogMessage():
            return _text(72, a.text)
        case QueryLoad():
            raise WireError("a Look is answered inside, and has no record")
        case Fault():
            return _text(73, a.text)


def encode_reply(seq: int, actions: list[tuple[int, Action | Fault]]) -> bytes:
    """The reply to one frame: the actions in order, each run of them behind a FOR record."""
    parts, instance = [], -1
    for who, action in actions:
        if who != instance:
            parts.append(struct.pack("<BII", 79, 4, who))
            instance = who
        parts.append(encode_action(action))
    body = b"".join(parts)
    return struct.pack("<III", seq, len(parts), len(body)) + body
