"""Dispatchers gossip over a network that drops, duplicates and delays datagrams and partitions; they crash, restart and
stall."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import settings as examples
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from pearhill.load_reports.peer_loads import HALF_LIFE_US, MAX_ROWS, PeerLoads, ReplicaLoad, largest_loads
from pearhill.membership.gossip import GossipMessage, GossipProtocol
from pearhill.membership.gossip_messages import GossipCodec
from pearhill.membership.members import GOSSIP_TICK_US, Ack, MemberState, MemberUpdate, Ping, PingRequest
from pearhill.membership.message_authenticator import MAX_DATAGRAM_BYTES, MessageRejectedError

S = 1_000_000
KEY = b"k" * 32
CONVERGENCE_TIME_US = 9 * S  # a round of pings, an indirect probe, the suspicion time, and the spread of the update


class Network:
    """Protocol instances, each with its own tick, and the datagrams in transit between them."""

    def __init__(self, count: int, seed: int) -> None:
        self.rng, self.now, self.count = random.Random(seed), 1_000 * S, 0
        self.names = [f"d{n}" for n in range(count)]
        self.heap: list[tuple[int, int, str, Any]] = []
        self.drop = self.duplicate = 0.0
        self.delay, self.blocked_paths = 2_000, set[tuple[str, str]]()
        self.up: dict[str, GossipProtocol] = {}
        self.stalled: set[str] = set()
        self.codec = GossipCodec([KEY])
        self.replayable: list[tuple[str, bytes]] = []
        for name in self.names:
            self.start(name)

    def schedule(self, wait: int, kind: str, subject: object = None) -> None:
        self.count += 1
        heapq.heappush(self.heap, (self.now + wait, self.count, kind, subject))

    def start(self, name: str) -> None:
        # Each has another power of ten of tokens at replica 1, so that a sum shows whose work it includes.
        rows = [ReplicaLoad(1, 0, 10 ** self.names.index(name))]
        self.up[name] = GossipProtocol(name, self.names, self.now, random.Random(self.rng.random()), lambda: rows)
        self.schedule(self.rng.randrange(GOSSIP_TICK_US), "tick", (name, self.up[name]))

    def send(self, sender: str, messages: list[GossipMessage]) -> None:
        for m in messages:
            data = self.codec.pack(m)
            self.replayable = [*self.replayable[-200:], (m.payload.to, data)]
            if (sender, m.payload.to) in self.blocked_paths or self.rng.random() < self.drop:
                continue
            for _ in range(1 + (self.rng.random() < self.duplicate)):
                self.schedule(self.rng.randrange(1, 2 * self.delay), "datagram", (m.payload.to, data))

    def deliver(self, to: str, data: bytes) -> None:
        if to not in self.up:
            return
        if to in self.stalled:
            # The datagram stays in the socket past the next tick.
            return self.schedule(2 * GOSSIP_TICK_US, "datagram", (to, data))
        self.send(to, self.up[to].receive(self.now, self.codec.unpack(data, to)))

    def run(self, duration_us: int) -> None:
        end = self.now + duration_us
        while self.heap and self.heap[0][0] <= end:
            self.now, _, kind, subject = heapq.heappop(self.heap)
            if kind == "tick":
                name, protocol = subject
                if self.up.get(name) is protocol:
                    if name not in self.stalled:
                        self.send(name, protocol.tick(self.now))
                    self.schedule(GOSSIP_TICK_US, "tick", subject)
            else:
                self.deliver(*subject)
        self.now = end

    def heal(self) -> None:
        self.drop, self.duplicate, self.delay = 0.0, 0.0, 2_000
        self.blocked_paths.clear()
        self.stalled.clear()

    def views(self) -> dict[str, dict[str, str]]:
        return {name: {n: m.state for n, m in c.members.members.items()} for name, c in self.up.items()}


class Fleet(RuleBasedStateMachine):
    @initialize(count=st.integers(3, 9), seed=st.integers(0, 1 << 30))
    def begin(self, count: int, seed: int) -> None:
        self.net = Network(count, seed)
        self.net.run(2 * S)

    @rule(duration_us=st.sampled_from((GOSSIP_TICK_US // 3, GOSSIP_TICK_US, S, 4 * S)))
    def time_passes(self, duration_us: int) -> None:
        self.net.run(duration_us)

    @rule(
        drop=st.sampled_from((0.0, 0.3, 0.9)),
        duplicate=st.sampled_from((0.0, 0.5)),
        delay=st.sampled_from((100, 20_000, 400_000)),
    )
    def the_network_is_bad(self, drop: float, duplicate: float, delay: int) -> None:
        self.net.drop, self.net.duplicate, self.net.delay = drop, duplicate, delay

    @rule(data=st.data())
    def some_are_cut_off(self, data: st.DataObject) -> None:
        side = data.draw(st.sets(st.sampled_from(self.net.names)))
        one_way = data.draw(st.booleans())
        self.net.blocked_paths |= {(a, b) for a in side for b in self.net.names if b not in side}
        if not one_way:
            self.net.blocked_paths |= {(b, a) for a, b in list(self.net.blocked_paths)}

    @rule()
    def the_cut_heals(self) -> None:
        self.net.blocked_paths.clear()

    @rule(data=st.data())
    def one_crashes(self, data: st.DataObject) -> None:
        if len(self.net.up) > 1:
            del self.net.up[data.draw(st.sampled_from(sorted(self.net.up)))]

    @rule(data=st.data())
    def one_starts(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(self.net.names))
        self.net.start(name)

    @rule(data=st.data())
    def one_stalls(self, data: st.DataObject) -> None:
        if self.net.up:
            self.net.stalled.add(data.draw(st.sampled_from(sorted(self.net.up))))

    @rule(data=st.data())
    def an_old_datagram_comes_again(self, data: st.DataObject) -> None:
        if self.net.replayable:
            self.net.deliver(*data.draw(st.sampled_from(self.net.replayable)))

    @invariant()
    def no_work_is_counted_twice(self) -> None:
        for name, protocol in getattr(self, "net", Network(0, 0)).up.items():
            others = protocol.peer_loads.estimate_peer_load(self.net.now, 1, list(self.net.names), ReplicaLoad(1, 0, 0))
            known = sum(10 ** self.net.names.index(n) for n in protocol.peer_loads._last if n != name)
            # Without the share assumed for silent peers, the sum never exceeds what the peers have reported.
            worth = 1 + sum(protocol.peer_loads.weight(self.net.now, n) for n in self.net.names)
            assert others.total_tokens * worth / (len(self.net.names) + 1) <= known + 1e-6

    def teardown(self) -> None:
        """After all faults end, all dispatchers soon agree on which members are alive and which are dead."""
        if not hasattr(self, "net"):
            return
        self.net.heal()
        self.net.run(CONVERGENCE_TIME_US)
        for name, view in self.net.views().items():
            assert view == {
                n: MemberState.ALIVE if n in self.net.up else MemberState.DEAD for n in self.net.names if n != name
            }, name


Fleet.TestCase.settings = examples(
    max_examples=60, stateful_step_count=20, deadline=None, database=None, derandomize=True
)
TestFleet = Fleet.TestCase


def test_a_dead_dispatcher_is_detected_in_bounded_time_and_no_longer_counted() -> None:
    net = Network(9, 1)
    net.run(3 * S)
    assert {c.count(net.now) for c in net.up.values()} == {9}
    for name in ("d1", "d4", "d7"):  # a third of the fleet, which is not taken for a partition
        del net.up[name]
    net.run(5 * S)
    assert {c.count(net.now) for c in net.up.values()} == {6}


def test_a_partition_in_two_halves_leaves_all_counted_and_heals() -> None:
    net = Network(8, 2)
    net.run(3 * S)
    side = net.names[:4]
    net.blocked_paths = {(a, b) for a in net.names for b in net.names if (a in side) != (b in side)}
    net.run(20 * S)
    assert {len(c.members.reachable()) for c in net.up.values()} == {4}
    assert {c.count(net.now) for c in net.up.values()} == {8}  # each half continues to send requests
    net.blocked_paths.clear()
    net.run(4 * S)
    assert {len(c.members.reachable()) for c in net.up.values()} == {8}


def test_a_stalled_dispatcher_suspects_no_peer_and_is_alive_again_afterwards() -> None:
    net = Network(5, 3)
    net.run(3 * S)
    net.delay = 40_000
    while not net.up["d2"].members._open_pings:  # it stalls with an open ping, whose answer stays unread
        net.run(10_000)
    net.stalled = {"d2"}
    net.run(6 * S)
    assert net.views()["d0"]["d2"] == MemberState.DEAD
    net.stalled.clear()
    for _ in range(400):
        net.run(10_000)
        assert set(net.views()["d2"].values()) == {MemberState.ALIVE}
    assert net.views()["d0"]["d2"] == MemberState.ALIVE


def test_a_suspect_keeps_its_time_to_refute_if_the_suspecting_dispatcher_stalls() -> None:
    net = Network(2, 6)
    net.run(3 * S)
    del net.up["d1"]
    while net.views()["d0"]["d1"] == MemberState.ALIVE:
        net.run(GOSSIP_TICK_US)
    net.stalled = {"d0"}
    net.run(6 * S)
    net.stalled.clear()
    net.run(GOSSIP_TICK_US)
    assert net.views()["d0"]["d1"] == MemberState.SUSPECT
    net.run(3 * S)
    assert net.views()["d0"]["d1"] == MemberState.DEAD


def test_a_repeated_ping_is_answered_once_and_an_old_ack_answers_no_ping_of_a_later_start() -> None:
    net = Network(2, 5)
    first, second = net.up["d0"], net.up["d1"]
    ping = first.tick(net.now)[0]
    (ack,) = second.receive(net.now, ping)
    assert isinstance(ack.payload, Ack)
    assert second.receive(net.now, ping) == []
    restarted = GossipProtocol("d0", net.names, net.now + S, random.Random(8), lambda: [])
    restarted.tick(net.now + S)
    restarted.receive(net.now + S, ack)
    assert len(restarted.members._open_pings) == 1


def test_a_path_that_fails_in_one_direction_makes_no_member_dead() -> None:
    net = Network(6, 4)
    net.run(3 * S)
    net.blocked_paths = {("d0", "d1")}
    for _ in range(40):
        net.run(GOSSIP_TICK_US)
        assert all(MemberState.DEAD not in view.values() for view in net.views().values())


def test_silent_peers_are_assumed_to_send_the_mean_load() -> None:
    work, own_load = PeerLoads(), ReplicaLoad(7, 100, 100)
    # Without reports, each peer counts as the own load.
    assert work.estimate_peer_load(0, 7, ["a", "b", "c"], own_load).total_tokens == 300
    for name in "abc":
        work.receive(0, name, (1, 1), [ReplicaLoad(7, 400, 400)])
    now = work.estimate_peer_load(0, 7, ["a", "b", "c"], own_load)
    assert (now.total_tokens, now.confidence) == (1200, 1)
    work.receive(6 * HALF_LIFE_US, "a", (1, 2), [ReplicaLoad(7, 0, 0)])
    later = work.estimate_peer_load(8 * HALF_LIFE_US, 7, ["a", "b", "c"], own_load)
    assert later.confidence < 0.1
    assert 100 < later.total_tokens < 300
    assert not work.receive(9 * HALF_LIFE_US, "a", (1, 2), [ReplicaLoad(7, 9, 9)])
    assert not work.receive(9 * HALF_LIFE_US, "a", (0, 9), [])


PING = Ping("d2", 9)


def message(rows: int = 3, update_count: int = 2, payload: Ping | Ack | PingRequest = PING) -> GossipMessage:
    return GossipMessage(
        "d1",
        1 << 50,
        77,
        payload,
        tuple(MemberUpdate(f"d{n}", 1 << 50, MemberState.ALIVE) for n in range(update_count)),
        tuple(largest_loads(ReplicaLoad((1 << 63) + n, 40_000 + n, 1 << 39) for n in range(rows))),
    )


def test_a_message_survives_encoding_and_the_largest_fits_one_datagram() -> None:
    for m in (message(), message(payload=Ack("d2", 5)), message(payload=PingRequest("d2", 5, "d3")), message(0, 0)):
        assert GossipCodec([KEY]).unpack(GossipCodec([KEY]).pack(m), "d2") == m
    packed = GossipCodec([KEY]).pack(message(MAX_ROWS, 12))
    unpacked = GossipCodec([KEY]).unpack(packed, "d2")
    assert len(packed) <= MAX_DATAGRAM_BYTES
    assert len(unpacked.loads) >= 40
    assert unpacked.loads == message(MAX_ROWS).loads[: len(unpacked.loads)]


@pytest.mark.parametrize(
    ("corrupt", "reason"),
    [
        (lambda d: d[:10], "size"),
        (lambda d: d + b"x" * MAX_DATAGRAM_BYTES, "size"),
        (lambda d: b"", "size"),
        (lambda d: b"\x02" + d[1:], "version"),
        (lambda d: d[:-1], "forged"),
        (lambda d: d + b"\0", "forged"),
        (lambda d: GossipCodec([b"j" * 32]).pack(message()), "forged"),
        (lambda d: GossipCodec([KEY]).pack(message(payload=Ping("d3", 1))), "not-for-me"),
        (lambda d: b"\x01" + GossipCodec.tag(KEY, b"\x93\x01") + b"\x93\x01", "malformed"),
        (lambda d: b"\x01" + GossipCodec.tag(KEY, b"\xc1" * 40) + b"\xc1" * 40, "malformed"),
        (lambda d: GossipCodec([KEY]).pack(GossipMessage("d1", 1 << 63, 1, Ping("d2", 1), (), ())), "malformed"),
    ],
)
def test_a_foreign_forged_truncated_or_misaddressed_datagram_is_rejected(
    corrupt: Callable[[bytes], bytes], reason: str
) -> None:
    with pytest.raises(MessageRejectedError, match=f"^{reason}$"):
        GossipCodec([KEY]).unpack(corrupt(GossipCodec([KEY]).pack(message())), "d2")


def test_any_flipped_byte_is_rejected_and_keys_can_be_rotated() -> None:
    packed = GossipCodec([KEY]).pack(message())
    for n in range(len(packed)):
        with pytest.raises(MessageRejectedError):
            GossipCodec([KEY]).unpack(packed[:n] + bytes([packed[n] ^ 0x20]) + packed[n + 1 :], "d2")
    assert GossipCodec([b"new" * 9, KEY]).unpack(packed, "d2") == message()
    for keys in ([], [b"short"]):
        with pytest.raises(ValueError, match="at least 16 bytes"):
            GossipCodec(keys)
