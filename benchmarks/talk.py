"""How evenly many dispatchers load many engines, with and without a word of one another, free of I/O.

    .venv/bin/python benchmarks/talk.py [--ways own,told,sums --dispatchers 200 --engines 60 --rate 10 --seconds 20 \
        --seeds 5]

One process plays all councils and all choices on its own clock: requests come at random to dispatchers of uneven
share (some get ten times the mean), each holds an engine for a drawn while, and each choice is the emptier of two
engines drawn for it. The same arrivals are dealt six ways: by my own work alone, by mine and what the others have
told (datagrams of `membership.datagram`, a tenth of them lost, up to 50 ms late), by mine and the sums of three
aggregators (`membership.frames`, the same loss and delay, dispatchers spread over three regions), by talk with the
fleet cut in two, by one who sees those two engines as they are, and by one who sees all (join the shortest queue).
Printed: peak over mean of work by engine in 1 s windows, mean and spread over the seeds; time of a choice; datagrams
sent and bytes both ways for each dispatcher, with their IP and UDP headers. Not for CI.
"""

from __future__ import annotations

import argparse
import heapq
import random
import statistics
import time
from dataclasses import dataclass, field

from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership import aggregator
from pearhill.membership.aggregation_messages import AggregationCodec, AggregationMessage
from pearhill.membership.aggregator import Aggregator
from pearhill.membership.aggregator_choice import AggregatorSite
from pearhill.membership.byte_budget import HEADER_BYTES
from pearhill.membership.gossip import GossipProtocol
from pearhill.membership.gossip_messages import GossipCodec
from pearhill.membership.members import GOSSIP_TICK_US
from pearhill.membership.reporter import Reporter

S = 1_000_000
TOKENS, HOLD, WARM = 1000, 0.5, 5  # of a request; mean seconds that it holds an engine; seconds not counted
WAYS = ("own", "told", "sums", "cut", "two", "all")
LOST, LATEST = 0.1, 50_000  # of the datagrams; microseconds under way at the most
SITES = [AggregatorSite(f"a{k}", f"r{k}") for k in range(3)]


@dataclass
class Result:
    peaks: list[float] = field(default_factory=list)
    datagrams: int = 0  # sent by dispatchers
    bytes: int = 0  # of dispatchers, both ways
    choice_us: float = 0.0


def play(way: str, n: int, engines: int, rate: float, seconds: int, seed: int) -> Result:
    rng, net = random.Random(seed), random.Random(seed + 1)
    start, codec, names = 1_000 * S, GossipCodec([b"k" * 32]), [f"d{k}" for k in range(n)]
    shares = [10.0 if k % 20 == 0 else 1.0 for k in range(n)]
    mine = [[0] * engines for _ in range(n)]
    total, area, seen = [0] * engines, [0.0] * engines, [start] * engines
    index = {name: k for k, name in enumerate(names)}
    councils = []
    if way in ("told", "cut"):
        councils = [
            GossipProtocol(
                name,
                names,
                start,
                random.Random(seed * n + k),
                lambda k=k: [ReplicaLoad(e, t, t) for e, t in enumerate(mine[k]) if t],
            )  # type: ignore[misc]
            for k, name in enumerate(names)
        ]
    frames, reporters, aggregators = AggregationCodec([b"k" * 32]), list[Reporter](), dict[str, Aggregator]()
    if way == "sums":
        reporters = [
            Reporter(
                name,
                SITES[k % 3].region,
                SITES,
                start,
                random.Random(seed * n + k),
                lambda k=k: [ReplicaLoad(e, t, t) for e, t in enumerate(mine[k]) if t],
            )  # type: ignore[misc]
            for k, name in enumerate(names)
        ]
        aggregators = {
            site.name: Aggregator(site.name, [s.name for s in SITES], start, random.Random(seed)) for site in SITES
        }
    peers: list[GossipProtocol] | list[Reporter] = councils or reporters
    heap: list[tuple[int, int, str, object]] = []
    count, out, spent, choices = 0, Result(), 0.0, 0

    def at(when: int, what: str, thing: object) -> None:
        nonlocal count
        count += 1
        heapq.heappush(heap, (when, count, what, thing))

    def change(now: int, engine: int, tokens: int) -> None:
        area[engine] += total[engine] * (now - seen[engine])
        total[engine], seen[engine] = total[engine] + tokens, now

    def send(now: int, made: list[AggregationMessage]) -> None:
        for f in made:
            data = frames.pack(f)
            if f.sender in index:
                reporters[index[f.sender]].sent(len(data))
                out.datagrams, out.bytes = out.datagrams + 1, out.bytes + len(data) + HEADER_BYTES
            if net.random() >= LOST:
                at(now + net.randrange(200, LATEST), "frame", (f.to, data))

    for k in range(len(councils)):
        at(start + net.randrange(GOSSIP_TICK_US), "beat", k)
    for k in range(len(reporters)):
        at(reporters[k].next_tick(start), "report", k)
    for name in aggregators:
        at(start + net.randrange(aggregator.AGGREGATOR_TICK_US), "aggregate", name)
    for w in range(WARM, seconds + 1):
        at(start + w * S, "window", w)
    arrival = start
    while arrival < start + seconds * S:
        arrival += int(rng.expovariate(rate * engines) * S)
        at(
            arrival,
            "arrival",
            (rng.choices(range(n), shares)[0], rng.sample(range(engines), 2), int(rng.expovariate(1 / HOLD) * S)),
        )
    while heap:
        now, _, what, thing = heapq.heappop(heap)
        if now > start + seconds * S:
            break
        if what == "arrival":
            k, two, hold = thing  # type: ignore[misc]
            began = time.perf_counter()
            if way == "all":
                engine = min(range(engines), key=total.__getitem__)
            elif way == "two":
                engine = min(two, key=total.__getitem__)
            elif peers:
                engine = min(two, key=lambda e: mine[k][e] + peers[k].others(now, e, mine[k][e], mine[k][e])[1])
            else:
                engine = min(two, key=mine[k].__getitem__)
            spent, choices = spent + time.perf_counter() - began, choices + 1
            mine[k][engine] += TOKENS
            change(now, engine, TOKENS)
            at(now + hold, "end", (k, engine))
        elif what == "end":
            k, engine = thing  # type: ignore[misc]
            mine[k][engine] -= TOKENS
            change(now, engine, -TOKENS)
        elif what == "window":
            for engine in range(engines):
                change(now, engine, 0)
            if thing != WARM:
                out.peaks.append(max(area) * engines / max(1.0, sum(area)))
            area = [0.0] * engines
        elif what == "aggregate":
            send(now, aggregators[thing].tick(now))  # type: ignore[index]
            at(now + aggregator.AGGREGATOR_TICK_US, "aggregate", thing)
        elif what == "report":
            reporter = reporters[thing]  # type: ignore[index]
            if now >= reporter.next_tick(now):
                send(now, reporter.tick(now))
            at(max(now + 1, reporter.next_tick(now)), "report", thing)
        elif what == "frame":
            to, data = thing  # type: ignore[misc]
            if to in aggregators:
                send(now, aggregators[to].receive(now, frames.unpack(data, to)))
            else:
                out.bytes += len(data) + HEADER_BYTES
                send(now, reporters[index[to]].receive(now, frames.unpack(data, to), len(data)))
        else:
            if what == "beat":
                sender, messages = thing, councils[thing].tick(now)  # type: ignore[index]
                at(now + GOSSIP_TICK_US, "beat", thing)
            else:
                sender, data = thing  # type: ignore[misc]
                out.bytes += len(data) + HEADER_BYTES
                messages = councils[sender].receive(now, codec.unpack(data, names[sender]))
            for m in messages:
                to, data, out.datagrams = index[m.payload.to], codec.pack(m), out.datagrams + 1
                out.bytes += len(data) + HEADER_BYTES
                if net.random() < LOST or (way == "cut" and (to < n // 2) != (sender < n // 2)):
                    continue
                at(now + net.randrange(200, LATEST), "datagram", (to, data))
    out.choice_us = spent / max(1, choices) * 1e6
    return out


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    for name, value in (("dispatchers", 40), ("engines", 60), ("seconds", 20), ("seeds", 5)):
        parser.add_argument(f"--{name}", type=int, default=value)
    parser.add_argument("--rate", type=float, default=10, help="requests a second for each engine")
    parser.add_argument("--ways", default=",".join(WAYS), help="which are played, by commas")
    told = parser.parse_args()
    ways = told.ways.split(",")
    if strange := set(ways) - set(WAYS):
        parser.error(f"--ways: {', '.join(sorted(strange))} found, allowed are {', '.join(WAYS)}")
    print(
        f"{told.dispatchers} dispatchers, {told.engines} engines, {told.rate:g} requests a second each, seeds 1 to "
        f"{told.seeds}; peak over mean in 1 s windows"
    )
    for way in ways:
        runs = [
            play(way, told.dispatchers, told.engines, told.rate, told.seconds, seed)
            for seed in range(1, told.seeds + 1)
        ]
        means = [statistics.mean(r.peaks) for r in runs]
        per = len(runs) * told.seconds * told.dispatchers
        datagrams, size = sum(r.datagrams for r in runs) / per, sum(r.bytes for r in runs) / per
        print(
            f"{way:5} {statistics.mean(means):.3f} ({min(means):.3f} to {max(means):.3f}), a choice "
            f"{statistics.mean(r.choice_us for r in runs):.1f} us, {datagrams:.1f} datagrams and "
            f"{size:.0f} bytes a second each",
            flush=True,
        )


if __name__ == "__main__":
    main()
