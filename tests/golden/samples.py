"""One sample of every kind of stored or sent data, encoded by the code under test.

The folder `files` holds the bytes that version 0.3.0 encoded from the same samples. `python -m tests.golden.samples`
writes the files that are missing and changes no other.
"""

import io
import json
import pathlib
import struct
from collections.abc import Callable
from typing import Any

from pearhill.admin.endpoint import AdminEndpoint
from pearhill.bill.files import SCHEMA
from pearhill.bill.statement import sum_up
from pearhill.budgets import Budgets, Limit, Plan, TenantPlan, Usage
from pearhill.budgets.charges import Charge, encode_charge, encode_state
from pearhill.budgets.periods import month_of
from pearhill.counters import Calls, Counters, Figures
from pearhill.durable.frames import encode_frame
from pearhill.lifecycle.overrides import Override
from pearhill.lifecycle.takeover_message import TakeoverMessage
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership import gauges
from pearhill.membership.aggregation_messages import (
    AggregationCodec,
    Hello,
    HelloAck,
    MemberList,
    PartialSum,
    Report,
    Sums,
    Superseded,
)
from pearhill.membership.gossip import GossipMessage
from pearhill.membership.gossip_messages import GossipCodec
from pearhill.membership.members import Ack, MemberState, MemberUpdate, Ping, PingRequest
from pearhill.routing.actions import (
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
from pearhill.simulator import wire
from tests.golden import transcripts

FILES = pathlib.Path(__file__).with_name("files")
KEY = [b"golden-files-have-a-public-key"]
NOW, WALL, SECOND = 1_796_083_200_000_000, 1_796_083_200, 1_000_000
MONTH = month_of("2026-12")

MEMBER_UPDATES = (
    MemberUpdate("n1", 7, MemberState.ALIVE),
    MemberUpdate("n2", 1 << 40, MemberState.SUSPECT),
    MemberUpdate("n4", 0, MemberState.DEAD),
)
ROWS = (ReplicaLoad(11, 1_200, 4_800), ReplicaLoad((1 << 64) - 1, 0, 5))
GOSSIP = {
    "ping": GossipMessage("n1", NOW, 42, Ping("n2", 9), MEMBER_UPDATES, ROWS),
    "ack": GossipMessage("n2", NOW + 1, 43, Ack("n1", 9), (), ()),
    "ping-request": GossipMessage("n1", NOW, 44, PingRequest("n3", 10, "n2"), MEMBER_UPDATES[:1], ROWS[1:]),
}

LOAD_GAUGES = gauges.pack(bytes(range(40)))
WAIT_GAUGES = gauges.pack(bytes(38) + b"\x05\xff")
TABLE = ((0, 11, 1), (3, (1 << 64) - 1, 2))
AGGREGATION = {
    "report": Report(
        "n1", "a1", NOW, 5, 17, 0, 1, 2, 250, False, 3, 4, 0, LOAD_GAUGES, WAIT_GAUGES, ((99, 7, 8),), 40, 16
    ),
    "report-leaving": Report("n1", "a1", NOW, 6, 18, 1, 2, 2, -1, True, 3, 4, 0, b"\0", b"\0", ()),
    "sums": Sums("a1", "n1", NOW, 7, 17, -1, 3, 4, 2, 1, 0, 1, 0, LOAD_GAUGES, WAIT_GAUGES, TABLE, 40, False),
    "part": PartialSum("a1", "a2", NOW, 8, 3, 4, 5, 6, 7, 8, 0, 1, 0, LOAD_GAUGES, WAIT_GAUGES, TABLE, 40, 12),
    "roster": MemberList("a1", "a2", NOW, 9, 0, 1, (("n1", NOW, 2, 100), ("n2", NOW, 1, -1))),
    "hello": Hello("n1", "a2", NOW, 10, 3),
    "hello-ack": HelloAck("a2", "n1", NOW, 11, 3),
    "superseded": Superseded("a2", "n1", NOW, 12, NOW + 5),
}

TAKEOVER_MESSAGES = {
    "note": TakeoverMessage(
        "n1",
        NOW,
        NOW + 9,
        True,
        False,
        False,
        {0xABC: Override(NOW + 1, True, NOW), 0x1F: Override(NOW + 3, False, NOW + 2)},
        Override(NOW + 4, True, NOW + 4),
        123_456,
        "boot-1",
    ),
    "note-ended": TakeoverMessage("n1", NOW, NOW + 10, False, True, True, {}, None),
}


def _record(code: int, fields: bytes) -> bytes:
    return struct.pack("<BI", code, len(fields)) + fields


def event_frame() -> bytes:
    """A frame of the simulator with a record of each kind, packed here because pearhill only decodes such frames."""
    entry = struct.pack("<IBHHBfQ", 11, 1, 2, 3, 1, 0.5, 77) + struct.pack("<IBHHBfQ", 12, 0, 1, 0, 2, 1.0, 0)
    ended = "<IIHBIIHB2f"
    records = [
        _record(5, struct.pack("<I", 3)),
        _record(3, struct.pack("<QBI", 1, 0, 2) + entry),
        _record(3, struct.pack("<QBI", 2, 1, 1) + struct.pack("<IBHHBfQ", 12, 0, 1, 0, 0, 1.0, 0)),
        _record(3, struct.pack("<QBI", 3, 4, 0)),
        _record(3, struct.pack("<QBI", 4, 3, 0)),
        _record(10, struct.pack("<IIfQfBQIHfB", 21, 0, 300.0, 5, 1200.0, 0, 6, 4_000_000, 2, 256.0, 18)),
        _record(7, struct.pack("<IHII", 21, 1, 11, 30_000)),
        *(
            _record(8, struct.pack(ended, 21, detail, verdict, 1, 50_000, 11, 1, 2, 0.25, 3.5))
            for verdict, detail in (
                (200, 64),
                (102, 32),
                (500, 0),
                (503, 0),
                (503, 1),
                (504, 0),
                (502, 0),
                (598, 0),
                (499, 0),
                (410, 0),
            )
        ),
        _record(0, struct.pack("<IIHB2f", 900, 11, 200, 2, 0.5, 2.0)),
        _record(0, struct.pack("<IIHB", 900, 11, 503, 0)),
        _record(0, struct.pack("<IIHB", 900, 11, 410, 0)),
        _record(0, struct.pack("<IIHB", 900, 11, 504, 0)),
        _record(1, struct.pack("<I", 77)),
        _record(2, struct.pack("<I", 21)),
        _record(4, struct.pack("<QI", 9, 2) + b"{}"),
        _record(9, b""),
        _record(6, b"skipped"),
        _record(11, b""),
    ]
    body = b"".join(records)
    return struct.pack("<IQII", 12, 5_000_000, len(body) + 4, len(records)) + body


def _without_names(value: Any) -> Any:
    """Converts a value to lists and scalars, without the names of types and fields, because these may change."""
    if hasattr(value, "__dataclass_fields__"):
        return [_without_names(getattr(value, name)) for name in value.__dataclass_fields__]
    if isinstance(value, tuple | list):
        return [_without_names(each) for each in value]
    return value.hex() if isinstance(value, bytes) else value


def decoded_events() -> bytes:
    read = wire.read_frame(io.BytesIO(event_frame()), lambda instance: (0, 1))
    assert read is not None
    rows = [[who, _without_names(event)] for who, event in read.events]
    return "\n".join(["[", ",\n".join(json.dumps(row) for row in rows), "]\n"]).encode()


def action_reply() -> bytes:
    return wire.encode_reply(
        12,
        [
            (3, SendAttempt(21, 11, 1_500_000, 7, 8)),
            (3, SetTimer(77, 2_000_000)),
            (3, CancelAttempt(21, 1)),
            (4, RejectRequest(22, 2_000_000, "slow-reads")),
            (4, FailRequest(23, "deadline")),
            (3, SendHealthCheck(11)),
            (3, ReleaseState(21)),
            (3, MigrateStream(24)),
            (3, LogMessage("a line for the log")),
            (3, wire.Fault("ValueError: no")),
        ],
    )


CHARGES = (
    Charge(
        NOW, WALL, "r-1", "ada", "k1", "acc", "m", "/p", "answered", 1_200, 200, 64, 1_128_000, False, 20_788, MONTH
    ),
    Charge(
        NOW + SECOND, WALL + 1, "r-2", "ada", "", "acc", "m", "/p", "broken", 10, 0, 5, 15_000, True, 20_788, MONTH, 3
    ),
    Charge(NOW + 2 * SECOND, WALL + 2, "", "bob", "", "", "", "", "refused", 0, 0, 0, 0, False, 20_788, MONTH, 0, 4),
    Charge(NOW + 3 * SECOND, WALL + 3, "r-3", "bob", "k2", "", "m", "/q", "failed", 7, 0, 0, 0, False, 20_788, MONTH),
)


def new_budgets() -> Budgets:
    tenants = {
        "ada": TenantPlan(Limit(tokens_per_min=600, burst=5_000, debt=2_000), "acc", 1.0),
        "bob": TenantPlan(Limit(tokens_per_min=60, burst=1_000, day=50_000), "", 0.0),
    }
    return Budgets(Plan(tenants, {"acc": Limit(day=1_000_000)}), NOW)


def used_budgets() -> Budgets:
    budgets = new_budgets()
    for tenant, key, prompt, answer in (("ada", "k1", 1_000, 128), ("bob", "", 300, 10)):
        reservation = budgets.admit(NOW, WALL, tenant, key, prompt, answer).reservation
        budgets.settle(NOW + SECOND, reservation, Usage(prompt, 100, answer // 2))
    budgets.admit(NOW + SECOND, WALL + 1, "ada", "", 50, 50)
    return budgets


def journal_segment() -> bytes:
    """A segment with four charges, and the first bytes of a fifth as a crash leaves them."""
    frames = [encode_frame(number, encode_charge(charge)) for number, charge in enumerate(CHARGES, 3)]
    return b"".join(frames) + encode_frame(7, encode_charge(CHARGES[0]))[:25]


class _NodeStub:
    """A stand-in for the node behind the admin endpoint, with one replica of id `r-1`."""

    def can_serve(self) -> bool:
        return True

    def figures(self) -> Figures:
        return Figures({"chat": Calls(3, 2, 1), "batch": Calls()}, 5, 17, 4, 1)

    def set_replica_down(self, uid: str, out: bool) -> bool:
        return uid == "r-1"

    def drain(self, on: bool) -> None: ...

    def fleet(self) -> dict[str, Any] | None:
        return {"any": "thing"}


class _ResponseStub:
    def __init__(self) -> None:
        self.answers: list[list[Any]] = []

    def answer(self, status: int, headers: Any, body: bytes) -> None:
        self.answers.append([status, [list(pair) for pair in headers], body.decode()])


class _RequestStub:
    def __init__(self, method: str, target: str) -> None:
        self.method, self.target = method, target


ADMIN_REQUESTS = (
    ("GET", "/ops/readiness"),
    ("GET", "/ops/stats"),
    ("GET", "/ops/fleet"),
    ("POST", "/ops/replicas/down?target=r-1"),
    ("POST", "/ops/replicas/up?target=r-1"),
    ("POST", "/ops/replicas/up?target=r-2"),
    ("POST", "/ops/replicas/up"),
    ("POST", "/ops/drain/start"),
    ("POST", "/ops/drain/stop"),
    ("GET", "/ops/drain/stop"),
    ("GET", "/ops/unknown"),
)


def admin_responses() -> bytes:
    responses = {}
    for method, target in ADMIN_REQUESTS:
        response = _ResponseStub()
        AdminEndpoint(_NodeStub()).handle(_RequestStub(method, target), response)
        responses[f"{method} {target}"] = response.answers
    return json.dumps(responses, indent=1).encode()


def counters() -> bytes:
    sample = Counters(1, 2, 3)
    sample.retries["full"] += 2
    return json.dumps(sample.as_dict(), indent=1).encode()


def bill_columns() -> bytes:
    return json.dumps([[field.name, str(field.type)] for field in SCHEMA]).encode()


SAMPLES: dict[str, Callable[[], bytes]] = {
    "transcript-gossip.txt": transcripts.gossip,
    "transcript-aggregation.txt": transcripts.aggregation,
    "transcript-budgets.txt": transcripts.budgets,
    "fleet-keys.json": transcripts.fleet_keys,
    **{f"gossip-{name}.bin": lambda m=m: GossipCodec(KEY).pack(m) for name, m in GOSSIP.items()},
    **{f"aggregation-{name}.bin": lambda m=m: AggregationCodec(KEY).pack(m) for name, m in AGGREGATION.items()},
    **{f"{name}.txt": lambda n=n: n.encode() for name, n in TAKEOVER_MESSAGES.items()},
    "simulator-events.bin": event_frame,
    "simulator-events.json": decoded_events,
    "simulator-actions.bin": action_reply,
    **{f"charge-{number}.bin": lambda c=c: encode_charge(c) for number, c in enumerate(CHARGES)},
    "budgets-state.bin": lambda: encode_state(used_budgets()),
    "journal/00000000000000000002.state": lambda: encode_frame(2, encode_state(used_budgets()), 1 << 30),
    "journal/00000000000000000003.log": journal_segment,
    "operators-calls.json": admin_responses,
    "counters.json": counters,
    "bill.csv": lambda: sum_up(CHARGES, "2026-12").csv().encode(),
    "bill-columns.json": bill_columns,
}


def main() -> None:
    for name, make in SAMPLES.items():
        path = FILES / name
        path.parent.mkdir(parents=True, exist_ok=True)
        if not path.exists():
            path.write_bytes(make())


if __name__ == "__main__":
    main()
