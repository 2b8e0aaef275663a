"""The codec of the simulator's frames, against the example bytes in the description of the wire format."""

import io
import json
import struct
import subprocess
import sys
from typing import Any

import pytest

from pearhill.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    LogMessage,
    MigrateStream,
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
from pearhill.routing.router import Router
from pearhill.routing.topology import Endpoint, Phase
from pearhill.simulator import wire
from pearhill.simulator.adapter import Adapter, parse_settings

EXAMPLE = bytes.fromhex(
    "0c0000005a5c8000000000005900000005000000 05 04000000 03000000"
    "0a 2c000000 c4913a5d e02e0000 00009644 107cf3d901648e2b 0000e144 00 640ad2557c3bf091 80a90300 0000 00008043 01"
    "01 04000000 4d000000 05 04000000 05000000 02 04000000 192b6f0e"
)
SETTINGS: dict[str, Any] = {
    "allowed": {"max-attempts": 5, "may-cancel": True, "second-copies": False},
    "classes": [{"aim": 1000000, "deadline": 4000000, "effect": "read_like", "group": "all", "worth": 2.0}],
    "extra": {
        "local-read": True,
        "release-within": 1000000,
        "role-by-kind": ["read", "write"],
        "tokens-by-kind": [200000, 100000],
    },
    "n-instances": 2,
    "zone": 0,
    "tick": 2000,
    "report": {"columns": ["x0", "x1"]},
    "never-heard-of": 1,
    "rules": {"cold": 14000000, "cold-from": 0.25, "fall": 1000000, "fall-multiple": 2.5},
}


def frame(records: bytes, count: int) -> bytes:
    return struct.pack("<IQII", 1, 5_000_000, len(records) + 4, count) + records


def record(code: int, fields: bytes) -> bytes:
    return struct.pack("<BI", code, len(fields)) + fields


def start(settings: object = SETTINGS) -> bytes:
    raw = json.dumps(settings).encode() if not isinstance(settings, bytes) else settings
    return record(5, b"\x03\0\0\0") + record(4, struct.pack("<QI", 9, len(raw)) + raw)


def read(raw: bytes) -> wire.Frame:
    got = wire.read_frame(io.BytesIO(raw), lambda _: (0, 1))
    assert got is not None
    return got


def test_the_example_events_are_decoded() -> None:
    got = read(EXAMPLE)
    assert (got.seq, got.clock) == (12, 0x805C5A)
    (a, arrived), (b, timer_fired), (c, disconnected) = got.events
    assert (a, b, c) == (3, 3, 5)
    assert arrived == RequestArrived(
        0x5D3A91C4, 0, 0, 0x91F03B7C55D20A64, 0x2B8E6401D9F37C10, 1200, 1800, 256, 240000, False, False
    )
    assert (timer_fired, disconnected) == (TimerFired(77), ClientDisconnected(0x0E6F2B19))


def test_a_health_check_is_encoded_and_its_result_decoded() -> None:
    ((instance, done),) = read(
        frame(bytes.fromhex("05 04000000 03000000 00 0b000000 78050000 f211902c c800 00"), 2)
    ).events
    assert (instance, done) == (3, HealthCheckEnded(0x2C9011F2, Outcome.ANSWERED, 1400, None))
    report = record(0, struct.pack("<IIHB2f", 9, 7, 503, 2, 0.25, 3.5))
    (rejected,) = read(frame(record(5, b"\x03\0\0\0") + report, 2)).events
    # A replica that rejects a health check is alive.
    assert rejected[1] == HealthCheckEnded(7, Outcome.ANSWERED, 9, ReportedLoad(0.25, 3.5))
    timeout_record = record(0, struct.pack("<IIHB", 9, 7, 504, 0))
    timed_out = read(frame(record(5, b"\x03\0\0\0") + timeout_record, 2)).events[0][1]
    assert isinstance(timed_out, HealthCheckEnded)
    assert timed_out.outcome == Outcome.TIMEOUT
    assert wire.encode_action(SendHealthCheck(0x2C9011F2)) == bytes.fromhex("45 04000000 f211902c")


def test_the_example_outcome_and_endpoint_list_are_decoded() -> None:
    ended = bytes.fromhex("1e000000 c4913a5d 00000000 c800 01 44480000 074a1203 0000 02 cdcccc3e0000a03f")
    listed = bytes.fromhex(
        "39000000 2900000000000000 03 02000000 074a1203 00 0000 0000 01 0000803f 0000000000000000"
        "f211902c 01 0000 0000 01 0000c03f 20145d0000000000"
    )
    got = read(frame(record(5, b"\x03\0\0\0") + b"\x08" + ended + b"\x03" + listed, 3))
    memory_used: Any = pytest.approx(0.4)
    load = ReportedLoad(memory_used, 1.25)
    assert got.events[0][1] == AttemptEnded(0x5D3A91C4, 0, 0x03124A07, Outcome.ANSWERED, True, 0, 18500, load)
    assert got.events[1][1] == EndpointsUpdated(
        True,
        (
            Endpoint(0x03124A07, 0, 0, 0, Phase.READY, 1.0, 0),
            Endpoint(0x2C9011F2, 1, 0, 0, Phase.READY, 1.5, 0x5D1420),
        ),
    )


def test_the_example_actions_are_encoded() -> None:
    got = wire.encode_reply(
        12,
        [
            (3, SendAttempt(0x5D3A91C4, 0x03124A07, 80000)),
            (3, SetTimer(77, 500000)),
            (5, LogMessage("two servers known")),
        ],
    )
    assert got == bytes.fromhex(
        "0c000000 05000000 48000000 4f 04000000 03000000 40 0c000000 c4913a5d 074a1203 80380100"
        "44 08000000 4d000000 20a10700 4f 04000000 05000000"
        "48 13000000 1100 74776f2073657276657273206b6e6f776e"
    )


@pytest.mark.parametrize(
    ("action", "code", "fields"),
    [
        (CancelAttempt(7, 2), 67, "<IH"),
        (RejectRequest(7, 9), 65, "<II"),
        (FailRequest(7), 66, "<I"),
        (ReleaseState(7), 78, "<I"),
        (MigrateStream(7), 76, "<I"),
    ],
)
def test_every_other_action_is_encoded_with_its_fields(action: Action, code: int, fields: str) -> None:
    raw = wire.encode_action(action)
    assert struct.unpack("<BI", raw[:5]) == (code, struct.calcsize(fields))
    assert list(struct.unpack(fields, raw[5:])) == [
        getattr(action, name)
        for name in action.__slots__
        if name != "reason"  # only logged, not sent
    ]


def test_a_fault_is_encoded_with_its_text() -> None:
    assert wire.encode_action(wire.Fault("KeyError: 3")) == record(73, b"\x0b\0KeyError: 3")


@pytest.mark.parametrize(
    ("status", "detail", "outcome"),
    [
        (102, 40, Outcome.PREFILLED),
        (503, 0, Outcome.FULL),
        (503, 1, Outcome.STATE_LOST),
        (504, 0, Outcome.TIMEOUT),
        (502, 0, Outcome.UNREACHABLE),
        (598, 0, Outcome.TRUNCATED),
        (499, 0, Outcome.CANCELLED),
        (410, 0, Outcome.NOT_SENT),
        (500, 0, Outcome.ERROR),
    ],
)
def test_statuses_are_decoded_to_outcomes(status: int, detail: int, outcome: Outcome) -> None:
    body = struct.pack("<IIHBIIHB", 1, detail, status, 0, 9, 4, 0, 0)
    event = read(frame(record(5, b"\0\0\0\0") + record(8, body), 2)).events[0][1]
    assert isinstance(event, AttemptEnded)
    assert event.outcome == outcome
    assert event.load is None
    assert event.cached_tokens == (40 if status == 102 else 0)


def test_a_response_start_is_decoded() -> None:
    event = read(frame(record(5, b"\0\0\0\0") + record(7, struct.pack("<IHII", 1, 2, 3, 4)), 2)).events[0][1]
    assert event == ResponseStarted(1, 2, 3, 4)


def test_end_of_input_between_frames_returns_none() -> None:
    assert wire.read_frame(io.BytesIO(b""), lambda _: (0, 1)) is None


def run(raw: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "pearhill.simulator.adapter"], input=raw, capture_output=True, timeout=60
    )


def test_the_adapter_replies_to_every_frame_and_exits_with_status_0() -> None:
    done = run(frame(b"", 0) + frame(start(), 2) + frame(b"", 0))
    assert (done.returncode, done.stderr) == (0, b"")
    assert done.stdout == struct.pack("<III", 1, 0, 0) * 3


@pytest.mark.parametrize(
    ("raw", "expected_text"),
    [
        (frame(start(), 2)[:-3], "ends after"),
        (frame(start(), 2)[:9], "header"),
        (frame(record(5, b"\0\0\0\0") + record(99, b""), 2), "unknown event code 99"),
        (frame(struct.pack("<BI", 1, 50) + b"\0\0", 1), "50 bytes stated"),
        (frame(record(5, b"\0\0\0\0") + record(1, b"\0"), 2), "record 1"),
        (frame(record(1, b"\0\0\0\0"), 1), "no instance"),
        (frame(record(5, b"\0\0\0\0") + record(1, b"\0\0\0\0"), 2), "instance 0 was never started"),
        (frame(start(b"{no json"), 2), "settings"),
        (frame(start({k: v for k, v in SETTINGS.items() if k != "rules"}), 2), "rules is missing"),
        (frame(start({**SETTINGS, "classes": []}), 2), "classes"),
        (frame(b"", 0) + b"\1", "header"),
        (struct.pack("<IQII", 1, 5, 2, 0), "too small"),
    ],
)
def test_malformed_input_prints_one_line_and_exits_with_an_error(raw: bytes, expected_text: str) -> None:
    done = run(raw)
    text = done.stderr.decode()
    assert done.returncode not in (0, 1)
    assert expected_text in text
    assert text.count("\n") == 1
    assert "Traceback" not in text


@pytest.mark.parametrize(
    ("change", "field"), [({"role-by-kind": ["read", "juggle"]}, "role"), ({"release-within": 0}, "release_within")]
)
def test_an_error_in_the_settings_names_the_field(change: dict[str, Any], field: str) -> None:
    with pytest.raises(wire.WireError, match=field):
        parse_settings(json.dumps({**SETTINGS, "extra": {**SETTINGS["extra"], **change}}).encode())


def test_an_exception_in_the_router_is_encoded_as_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: Router, now: int, event: Event) -> None:
        raise KeyError("gone wrong")

    monkeypatch.setattr("pearhill.routing.router.Router.handle", broken)
    adapter, timer_fired = Adapter(), record(5, b"\x03\0\0\0") + record(1, b"\x01\0\0\0")
    adapter.process_frame(read(frame(start(), 2)))
    assert wire.encode_action(wire.Fault("KeyError: 'gone wrong'")) in adapter.process_frame(
        read(frame(timer_fired, 2))
    )
