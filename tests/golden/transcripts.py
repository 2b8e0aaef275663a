"""Long simulations with fixed seeds, as digests of all messages and decisions of each second.

A changed byte or a changed order of random draws changes the digest of its second and of all later ones.
"""

import hashlib
import json
import random
from collections.abc import Iterable
from types import SimpleNamespace
from typing import Any

from pearhill.budgets import Budgets, Limit, Plan, TenantPlan, Usage
from pearhill.core.deadlines import Deadlines
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership.aggregation_messages import AggregationCodec
from pearhill.membership.aggregator import Aggregator
from pearhill.membership.aggregator_choice import AggregatorSite
from pearhill.membership.gossip import GossipProtocol
from pearhill.membership.gossip_messages import GossipCodec
from pearhill.membership.reporter import Reporter
from pearhill.net.fleet import Fleet, FleetSetup

KEY = [b"golden-files-have-a-public-key"]
START, SECOND, STEP = 1_796_083_200_000_000, 1_000_000, 25_000
WALL = START // SECOND


class Transcript:
    """One line a second: its number, the number of entries, and a digest of these and all earlier entries."""

    def __init__(self) -> None:
        self._hash, self._count, self.lines = hashlib.sha256(), 0, list[str]()

    def add(self, *values: Any) -> None:
        self._hash.update(json.dumps(values, default=bytes.hex).encode())
        self._count += 1

    def end_second(self) -> None:
        self.lines.append(f"{len(self.lines)} {self._count} {self._hash.hexdigest()[:24]}")
        self._count = 0

    def text(self) -> bytes:
        return ("\n".join(self.lines) + "\n").encode()


class Network:
    """Delivers datagrams one step later, loses one in ten, and delivers one in twenty twice."""

    def __init__(self, seed: int) -> None:
        self.rng, self.transcript = random.Random(seed), Transcript()
        self.arriving: list[tuple[str, bytes]] = []
        self.sent: list[tuple[str, bytes]] = []

    def send(self, to: str, data: bytes) -> None:
        self.transcript.add(to, data)
        drawn = self.rng.random()
        self.sent += [(to, data)] * (0 if drawn < 0.1 else 2 if drawn > 0.95 else 1)

    def step(self) -> Iterable[tuple[str, bytes]]:
        self.arriving, self.sent = self.sent, []
        return self.arriving


def _rows(rng: random.Random, engines: int) -> list[ReplicaLoad]:
    rows = []
    for engine in range(engines):
        waiting = rng.choice((0, 0, rng.randrange(1, 200_000)))
        rows.append(ReplicaLoad((engine + 1) * 1_000_003, waiting, waiting + rng.randrange(1, 50_000)))
    return rows


def gossip() -> bytes:
    """Five dispatchers for 40 seconds; one is unreachable from second 15 to 25, one restarts at 30."""
    network, codec = Network(1), GossipCodec(KEY)
    names = [f"n{k}" for k in range(5)]

    def start(name: str, now: int) -> GossipProtocol:
        rng = random.Random(f"{name} {now}")
        return GossipProtocol(name, [n for n in names if n != name], now, rng, lambda: _rows(rng, 6))

    protocols = {name: start(name, START + k) for k, name in enumerate(names)}
    for now in range(START, START + 40 * SECOND, STEP):
        second = (now - START) / SECOND
        for to, data in network.step():
            if to == "n1" and 15 <= second < 25:
                continue
            for answer in protocols[to].receive(now, codec.unpack(data, to)):
                network.send(answer.payload.to, codec.pack(answer))
        if second == 30:
            protocols["n2"] = start("n2", now)
        for name, protocol in protocols.items():
            if (now - START) % 250_000 == 0 and not (name == "n1" and 15 <= second < 25):
                for message in protocol.tick(now):
                    network.send(message.payload.to, codec.pack(message))
        if (now - START) % SECOND == 0:
            for protocol in protocols.values():
                # The order of a sum over a set varies, and with it the last digits.
                others = protocol.estimate_peer_load(now, 2 * 1_000_003, 10, 30)
                network.transcript.add(protocol.count(now), [round(value, 6) for value in others])
            network.transcript.end_second()
    return network.transcript.text()


def aggregation() -> bytes:
    """Six dispatchers and three aggregators for 60 seconds.

    One aggregator is stopped from second 20 to 40, one dispatcher leaves at 30, and one restarts at 45.
    """
    network, codec = Network(2), AggregationCodec(KEY)
    sites = [AggregatorSite(f"a{k}", f"r{k}") for k in range(3)]

    def new_reporter(name: str, now: int) -> Reporter:
        rng = random.Random(f"{name} {now}")
        return Reporter(name, f"r{int(name[1:]) % 3}", sites, now, rng, lambda: _rows(rng, 30))

    def new_aggregator(name: str, now: int) -> Aggregator:
        return Aggregator(name, [site.name for site in sites], now, random.Random(f"{name} {now}"))

    reporters = {f"n{k}": new_reporter(f"n{k}", START + k) for k in range(6)}
    aggregators = {site.name: new_aggregator(site.name, START + k) for k, site in enumerate(sites)}
    stopped = set[str]()

    def send(frames: Iterable[Any], reporter: Reporter | None = None) -> None:
        for frame in frames:
            data = codec.pack(frame)
            network.send(frame.to, data)
            if reporter:
                reporter.record_sent(len(data))

    for now in range(START, START + 60 * SECOND, STEP):
        second = (now - START) / SECOND
        for to, data in network.step():
            if to in stopped:
                continue
            if to in aggregators:
                send(aggregators[to].receive(now, codec.unpack(data, to)))
            else:
                send(reporters[to].receive(now, codec.unpack(data, to), len(data)), reporters[to])
        if second == 20:
            stopped.add("a1")
        elif second == 40:
            stopped.discard("a1")
            aggregators["a1"] = new_aggregator("a1", now)
        elif second == 30:
            send(reporters["n5"].leave(now), reporters["n5"])
            stopped.add("n5")
        elif second == 45:
            reporters["n2"] = new_reporter("n2", now)
        if (now - START) % 100_000 == 0:
            for name, aggregator in aggregators.items():
                if name not in stopped:
                    send(aggregator.tick(now))
        for name, reporter in reporters.items():
            if name not in stopped and reporter.next_tick(now) <= now:
                send(reporter.tick(now), reporter)
        if (now - START) % SECOND == 0:
            for reporter in reporters.values():
                network.transcript.add(reporter.count(now), reporter.estimate_peer_load(now, 2 * 1_000_003, 10, 30))
                network.transcript.add(reporter.figures(now))
            for aggregator in aggregators.values():
                network.transcript.add(aggregator.figures(now))
            network.transcript.end_second()
    return network.transcript.text()


def budgets() -> bytes:
    """Four tenants with two accounts: 6,000 admissions in a minute with their settlements, some after midnight."""
    rng, transcript = random.Random(3), Transcript()
    tenants = {
        "a": TenantPlan(Limit(tokens_per_min=60_000, burst=20_000, open=40, debt=5_000), "x", 2.0),
        "b": TenantPlan(Limit(tokens_per_min=6_000, burst=4_000, day=200_000), "x", 1.0),
        "c": TenantPlan(Limit(month=900_000), "", 0.0, Limit(tokens_per_min=6_000, burst=2_000)),
        "d": TenantPlan(Limit(tokens_per_min=600, burst=600), "y", 1.0),
    }
    accounts = {"x": Limit(tokens_per_min=70_000, burst=25_000), "y": Limit(day=60_000)}
    tenant_budgets = Budgets(
        Plan(tenants, accounts, TenantPlan(Limit(day=3_000)), capacity=200_000, capacity_burst=30_000), START
    )
    open_reservations: list[Any] = []
    for step in range(6_000):
        now, wall = START + 10_000 * step, WALL + step // 40 * (700 if step > 4_000 else 1)
        tenant, key = rng.choice("aaabbcdde"), rng.choice(("", "k1", "k2"))
        prompt, answer = rng.randrange(1, 3_000), rng.randrange(1, 1_000)
        decision = tenant_budgets.admit(now, wall, tenant, key, prompt, answer, rng.choice((0, 0, answer // 3)))
        transcript.add(decision.status, decision.retry_after, decision.reason, decision.quota_exhausted)
        if decision.reservation:
            transcript.add(decision.reservation.amount, decision.reservation.is_burst)
            open_reservations.append((decision.reservation, prompt, answer))
        if open_reservations and rng.random() < 0.6:
            reservation, prompt, answer = open_reservations.pop(rng.randrange(len(open_reservations)))
            used = Usage(prompt, prompt // 3, rng.randrange(answer * 2)) if rng.random() < 0.9 else None
            transcript.add(tenant_budgets.settle(now, reservation, used))
        if step % 100 == 0:
            transcript.add(*(tenant_budgets.balance(now, wall, name) for name in "abcde"))
            transcript.add(tenant_budgets.state())
            transcript.end_second()
    return transcript.text()


def _key_types(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _key_types(each) for key, each in value.items()}
    return [_key_types(each) for each in value] if isinstance(value, list) else type(value).__name__


def fleet_keys() -> bytes:
    """The keys of the fleet status on the admin endpoint, and the types of their values."""
    deadlines = Deadlines(lambda: START)
    setup = FleetSetup("n1", ("127.0.0.1", 1), tuple(KEY), {"n2": ("127.0.0.1", 2)})
    fleet = Fleet(setup, 1, deadlines, list)
    fleet._apply_setup()
    router_stub = SimpleNamespace(replica_statuses=lambda now: {11: (5, 9, False)})
    node = SimpleNamespace(
        dispatcher=SimpleNamespace(router=router_stub),
        backend=SimpleNamespace(addresses={11: ("127.0.0.1", 3)}),
        dispatcher_count=2,
    )
    fleet_status = fleet.figures(node)
    reporter = Reporter("n1", "r", [AggregatorSite("a1", "r")], START, random.Random(1), list)
    aggregator = Aggregator("a1", ["a1", "a2"], START, random.Random(1))
    fleet.close()
    figures = [fleet_status, reporter.figures(START), aggregator.figures(START)]
    return json.dumps([_key_types(each) for each in figures], indent=1).encode()
