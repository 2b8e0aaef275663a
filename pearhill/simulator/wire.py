"""Decodes the simulator's frames into the router's events, and encodes the router's actions as replies."""

from __future__ import annotations

import enum
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, BinaryIO

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
    ReportedLoad,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from pearhill.routing.outcomes import Outcome
from pearhill.routing.topology import Endpoint, Phase

PHASES_BY_CODE = {0: Phase.GONE, 1: Phase.READY, 2: Phase.DRAINING}
OUTCOMES_BY_STATUS = {
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
HEALTH_CHECK_REJECTED_STATUS = 503  # status of a health check; a replica that rejects the check is alive
STATE_LOST_DETAIL = 1  # detail of an attempt with status 503: the replica has lost the request's state
STATUSES_WITH_CACHED_TOKENS = (102, 200)  # statuses of an attempt whose detail is the number of cached tokens
OPTION_IS_RETRY = 2
OPTION_RESUMED = 16
MAX_TEXT_BYTES = 1000
MAX_TOKENS = 1e9  # values from this one on are not valid token counts
NOT_REPORTED = -1

_FRAME_HEADER = struct.Struct("<IQII")
_RECORD_HEADER = struct.Struct("<BI")
_LIST_HEADER = struct.Struct("<QBI")
_LIST_ENTRY = struct.Struct("<IBHHBfQ")
_REQUEST_ARRIVED = struct.Struct("<IIfQfBQIHfB")
_ATTEMPT_ENDED = struct.Struct("<IIHBIIHB")
_HEALTH_CHECK_ENDED = struct.Struct("<IIHB")
_RESPONSE_STARTED = struct.Struct("<IHII")
_START = struct.Struct("<QI")
_U32 = struct.Struct("<I")

LoadPositions = tuple[int, int]  # indexes of the two load values in a report; NOT_REPORTED if it has none


class ListMode(enum.IntEnum):
    """How the simulated dispatcher has obtained a list of endpoints."""

    FULL = 0
    CACHED = 3
    FAILED = 4


class EventCode(enum.IntEnum):
    """The codes of a frame's records."""

    HEALTH_CHECK_ENDED = 0
    TIMER_FIRED = 1
    CLIENT_DISCONNECTED = 2
    ENDPOINTS_UPDATED = 3
    START = 4
    INSTANCE = 5  # the records after it are for this instance
    NOTE = 6
    RESPONSE_STARTED = 7
    ATTEMPT_ENDED = 8
    HALT = 9
    REQUEST_ARRIVED = 10
    DATAGRAM = 11


class ActionCode(enum.IntEnum):
    """The codes of a reply's records."""

    SEND_ATTEMPT = 64
    REJECT_REQUEST = 65
    FAIL_REQUEST = 66
    CANCEL_ATTEMPT = 67
    SET_TIMER = 68
    SEND_HEALTH_CHECK = 69
    LOG_MESSAGE = 72
    FAULT = 73
    MIGRATE_STREAM = 76
    RELEASE_STATE = 78
    INSTANCE = 79  # the records after it are from this instance


class WireError(Exception):
    """Raised for a frame that violates the wire format. The text names the fault and its position."""


@dataclass(frozen=True, slots=True)
class Start:
    """The start of an instance. `settings`: JSON."""

    seed: int
    settings: bytes


@dataclass(frozen=True, slots=True)
class Halt:
    """The end of an instance."""


@dataclass(frozen=True, slots=True)
class Fault:
    """The text of an exception that a router has raised."""

    text: str


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame: events with their instances. `clock`: the time of these events in the simulator, in microseconds."""

    seq: int
    clock: int
    events: tuple[tuple[int, Event | Start | Halt], ...]


def _token_count(value: float) -> int:
    """Returns a token count that was sent as a float, or 0 if the value is not a valid count."""
    return int(value) if 0 <= value < MAX_TOKENS else 0


def _endpoints_updated(body: bytes) -> EndpointsUpdated | None:
    _, mode, count = _LIST_HEADER.unpack_from(body)
    if mode == ListMode.FAILED:
        return None
    endpoints = tuple(_endpoint(body, number) for number in range(count))
    return EndpointsUpdated(mode in (ListMode.FULL, ListMode.CACHED), endpoints)


def _endpoint(body: bytes, number: int) -> Endpoint:
    offset = _LIST_HEADER.size + _LIST_ENTRY.size * number
    replica, zone, kind, cell, phase, weight, started = _LIST_ENTRY.unpack_from(body, offset)
    if phase not in PHASES_BY_CODE:
        raise WireError(f"list entry {number} has the unknown phase {phase}")
    return Endpoint(replica, zone, kind, cell, PHASES_BY_CODE[phase], weight, started)


def _request_arrived(body: bytes) -> RequestArrived:
    (
        request,
        _,
        prefix_tokens,
        prefix,
        prompt_tokens,
        request_class,
        session,
        timeout,
        tenant,
        max_output_tokens,
        options,
    ) = _REQUEST_ARRIVED.unpack_from(body)
    return RequestArrived(
        request,
        request_class,
        tenant,
        session,
        prefix,
        _token_count(prefix_tokens),
        _token_count(prompt_tokens),
        _token_count(max_output_tokens),
        timeout,
        bool(options & OPTION_IS_RETRY),
        bool(options & OPTION_RESUMED),
    )


def _decode_load(body: bytes, offset: int, count: int, positions: LoadPositions) -> ReportedLoad | None:
    """Returns the two load values of a report with `count` values, or None if the report lacks one of them."""
    report = struct.unpack_from(f"<{count}f", body, offset)
    if min(positions) < 0 or max(positions) >= count:
        return None
    utilization, waiting = positions
    return ReportedLoad(memory_used=report[utilization], queued_ktokens=report[waiting])


def _health_check_ended(body: bytes, positions: LoadPositions) -> HealthCheckEnded:
    elapsed, replica, status, count = _HEALTH_CHECK_ENDED.unpack_from(body)
    rejected = status == HEALTH_CHECK_REJECTED_STATUS
    outcome = Outcome.ANSWERED if rejected else OUTCOMES_BY_STATUS.get(status, Outcome.UNREACHABLE)
    return HealthCheckEnded(replica, outcome, elapsed, _decode_load(body, _HEALTH_CHECK_ENDED.size, count, positions))


def _attempt_ended(body: bytes, positions: LoadPositions) -> AttemptEnded:
    request, detail, status, settled, elapsed, replica, attempt, count = _ATTEMPT_ENDED.unpack_from(body)
    load = _decode_load(body, _ATTEMPT_ENDED.size, count, positions)
    if status not in OUTCOMES_BY_STATUS:
        raise WireError(f"ATTEMPT_ENDED has the unknown status {status}")
    outcome = OUTCOMES_BY_STATUS[status]
    if outcome == Outcome.FULL and detail == STATE_LOST_DETAIL:
        outcome = Outcome.STATE_LOST
    cached_tokens = detail if status in STATUSES_WITH_CACHED_TOKENS else 0
    return AttemptEnded(request, attempt, replica, outcome, bool(settled), cached_tokens, elapsed, load)


def _response_started(body: bytes) -> ResponseStarted:
    request, attempt, replica, elapsed = _RESPONSE_STARTED.unpack_from(body)
    return ResponseStarted(request, attempt, replica, elapsed)


def _start(body: bytes) -> Start:
    seed, size = _START.unpack_from(body)
    if len(body) < _START.size + size:
        raise WireError("START is shorter than the stated length of its settings")
    return Start(seed, body[_START.size : _START.size + size])


def _ignore_record(body: bytes) -> None:
    """Ignore a NOTE or DATAGRAM record: both are responses to actions that this program never takes."""


_DECODERS: dict[int, Callable[[bytes], Event | Start | Halt | None]] = {
    EventCode.NOTE: _ignore_record,
    EventCode.DATAGRAM: _ignore_record,
    EventCode.ENDPOINTS_UPDATED: _endpoints_updated,
    EventCode.START: _start,
    EventCode.REQUEST_ARRIVED: _request_arrived,
    EventCode.RESPONSE_STARTED: _response_started,
    EventCode.HALT: lambda body: Halt(),
    EventCode.TIMER_FIRED: lambda body: TimerFired(_U32.unpack_from(body)[0]),
    EventCode.CLIENT_DISCONNECTED: lambda body: ClientDisconnected(_U32.unpack_from(body)[0]),
}

_LOAD_DECODERS: dict[int, Callable[[bytes, LoadPositions], Event]] = {
    EventCode.HEALTH_CHECK_ENDED: _health_check_ended,
    EventCode.ATTEMPT_ENDED: _attempt_ended,
}


def read_frame(stream: BinaryIO, load_positions: Callable[[int], LoadPositions]) -> Frame | None:
    """Returns the next frame, or None at the end of input.

    `load_positions` returns the positions of an instance's load values. Raises WireError if the frame is malformed.
    """
    header = stream.read(_FRAME_HEADER.size)
    if not header:
        return None
    if len(header) < _FRAME_HEADER.size:
        raise WireError(f"the frame header ends after {len(header)} of {_FRAME_HEADER.size} bytes")
    seq, clock, length, count = _FRAME_HEADER.unpack(header)
    if length < 4:
        raise WireError(f"frame {seq}: the length {length} is too small")
    body = stream.read(length - 4)
    if len(body) < length - 4:
        raise WireError(f"frame {seq} ends after {len(body)} of {length - 4} bytes")
    return Frame(seq, clock, tuple(_decode_records(seq, body, count, load_positions)))


def _decode_records(
    seq: int,
    body: bytes,
    count: int,
    load_positions: Callable[[int], LoadPositions],
) -> Iterator[tuple[int, Event | Start | Halt]]:
    offset = 0
    instance = -1
    for number in range(count):
        location = f"frame {seq}, record {number} at byte {offset}"
        if offset + _RECORD_HEADER.size > len(body):
            raise WireError(f"{location}: the frame ends before the record's header is complete")
        code, size = _RECORD_HEADER.unpack_from(body, offset)
        offset += _RECORD_HEADER.size
        fields = body[offset : offset + size]
        offset += size
        if len(fields) < size:
            raise WireError(f"{location}: {size} bytes stated, {len(fields)} present")
        try:
            if code == EventCode.INSTANCE:
                instance = _U32.unpack_from(fields)[0]
                continue
            event = _decode_event(code, fields, instance, load_positions)
        except (WireError, struct.error) as e:
            raise WireError(f"{location}: {e}") from None
        if event is not None:
            yield instance, event
    if offset != len(body):
        raise WireError(f"frame {seq}: {len(body) - offset} bytes after its last record")


def _decode_event(
    code: int, fields: bytes, instance: int, load_positions: Callable[[int], LoadPositions]
) -> Event | Start | Halt | None:
    """Returns the event of one record, or None if the record is ignored."""
    if instance < 0:
        raise WireError("no instance record precedes this record")
    decode_with_load = _LOAD_DECODERS.get(code)
    if decode_with_load:
        return decode_with_load(fields, load_positions(instance))
    decode = _DECODERS.get(code)
    if decode is None:
        raise WireError(f"unknown event code {code}")
    return decode(fields)


def _encode_text(code: ActionCode, text: str) -> bytes:
    raw = text.encode()[:MAX_TEXT_BYTES]
    return _RECORD_HEADER.pack(code, 2 + len(raw)) + struct.pack("<H", len(raw)) + raw


# The layout of each record: its code, the size of its fields in bytes, its fields.
_ENCODERS: dict[type[Action | Fault], Callable[[Any], bytes]] = {
    SendAttempt: lambda a: struct.pack("<BIIIi", ActionCode.SEND_ATTEMPT, 12, a.request, a.replica, a.attempt_timeout),
    SetTimer: lambda a: struct.pack("<BIII", ActionCode.SET_TIMER, 8, a.timer, a.delay),
    CancelAttempt: lambda a: struct.pack("<BIIH", ActionCode.CANCEL_ATTEMPT, 6, a.request, a.attempt),
    RejectRequest: lambda a: struct.pack("<BIII", ActionCode.REJECT_REQUEST, 8, a.request, a.retry_after),
    FailRequest: lambda a: struct.pack("<BII", ActionCode.FAIL_REQUEST, 4, a.request),
    SendHealthCheck: lambda a: struct.pack("<BII", ActionCode.SEND_HEALTH_CHECK, 4, a.replica),
    ReleaseState: lambda a: struct.pack("<BII", ActionCode.RELEASE_STATE, 4, a.request),
    MigrateStream: lambda a: struct.pack("<BII", ActionCode.MIGRATE_STREAM, 4, a.request),
    LogMessage: lambda a: _encode_text(ActionCode.LOG_MESSAGE, a.text),
    Fault: lambda a: _encode_text(ActionCode.FAULT, a.text),
}


def encode_action(action: Action | Fault) -> bytes:
    """Returns the record of an action. Raises WireError if the action has no record."""
    if isinstance(action, QueryLoad):
        raise WireError("QueryLoad is answered within the process and has no record")
    return _ENCODERS[type(action)](action)


def encode_reply(seq: int, actions: list[tuple[int, Action | Fault]]) -> bytes:
    """Returns the reply to one frame: the actions in order.

    A record with the instance precedes each run of actions of the same instance.
    """
    parts = []
    instance = -1
    for owner, action in actions:
        if owner != instance:
            parts.append(struct.pack("<BII", ActionCode.INSTANCE, 4, owner))
            instance = owner
        parts.append(encode_action(action))
    body = b"".join(parts)
    return struct.pack("<III", seq, len(parts), len(body)) + body
