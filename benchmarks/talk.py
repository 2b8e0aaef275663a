"""How evenly many dispatchers load many replicas, with and without knowing one another's loads, free of I/O.

    .venv/bin/python benchmarks/talk.py [--ways own,told,sums --dispatchers 200 --engines 60 --rate 10 --seconds 20 \
        --seeds 5]

One process plays all dispatchers and all choices on its own clock: requests come at random to dispatchers of uneven
share (some get ten times the mean), each holds a replica for a drawn time, and each choice is the emptier of two
replicas drawn for it. The same arrivals are played six ways: by the dispatcher's own work alone ("own"), with the
others' loads by gossip ("told": a tenth of the datagrams lost, up to 50 ms late), with the sums of three aggregators
("sums": the same loss and delay, dispatchers spread over three regions), by gossip with the fleet partitioned in two
("cut"), by one who sees those two replicas as they are ("two"), and by one who sees all (join the shortest queue,
"all"). Printed: peak over mean of work by replica in 1 s windows, mean and spread over the seeds; time of a choice;
datagrams sent and bytes both ways for each dispatcher, with their IP and UDP headers. Not for CI.
"""

from __future__ import annotations

import argparse
import heapq
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership.aggregation_messages import AggregationCodec, AggregationMessage
from pearhill.membership.aggregator import AGGREGATOR_TICK_US, Aggregator
from pearhill.membership.aggregator_choice import AggregatorSite
from pearhill.membership.byte_budget import HEADER_BYTES
from pearhill.membership.gossip import GossipMessage, GossipProtocol
from pearhill.membership.gossip_messages import GossipCodec
from pearhill.membership.members import GOSSIP_TICK_US
from pearhill.membership.reporter import Reporter

S = 1_000_000
START = 1_000 * S
TOKENS = 1000  # of a request
MEAN_HOLD_S = 0.5  # for which a request holds a replica
WARM_UP_S = 5  # not counted
WAYS = ("own", "told", "sums", "cut", "two", "all")
LOSS = 0.1  # of the datagrams
MIN_DELAY_US = 200
MAX_DELAY_US = 50_000
KEYS = [b"k" * 32]
SITES = [AggregatorSite(f"a{k}", f"r{k}") for k in range(3)]


@dataclass
class Result:
    """What one play measured."""

    peaks: list[float] = field(default_factory=list)  # peak over mean, by window
    datagrams: int = 0  # sent by dispatchers
    bytes: int = 0  # of dispatchers, both ways
    choice_us: float = 0.0


class LoadMeter:
    """Tokens at each replica, and their integral over the time since the window began."""

    def __init__(self, replicas: int) -> None:
        self.tokens = [0] * replicas
        self._area = [0.0] * replicas
        self._updated_at = [START] * replicas

    def change(self, now: int, replica: int, tokens: int) -> None:
        """So many tokens more at the replica."""
        self._area[replica] += self.tokens[replica] * (now - self._updated_at[replica])
        self.tokens[replica] += tokens
        self._updated_at[replica] = now

    def end_window(self, now: int) -> float:
        """Peak over mean of the window, at whose end a new one begins."""
        for replica in range(len(self.tokens)):
            self.change(now, replica, 0)
        peak = max(self._area) * len(self._area) / max(1.0, sum(self._area))
        self._area = [0.0] * len(self._area)
        return peak


class Play:
    """One way, played once."""

    def __init__(self, way: str, dispatchers: int, replicas: int, rate: float, seconds: int, seed: int) -> None:
        self.way = way
        self.replicas = replicas
        self.end = START + seconds * S
        self.result = Result()
        self.meter = LoadMeter(replicas)
        self.own = [[0] * replicas for _ in range(dispatchers)]
        self.names = [f"d{k}" for k in range(dispatchers)]
        self._index = {name: k for k, name in enumerate(self.names)}
        self._net = random.Random(seed + 1)
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_count = 0
        self._choice_s = 0.0
        self._choices = 0
        self._gossip_codec = GossipCodec(KEYS)
        self._aggregation_codec = AggregationCodec(KEYS)
        self._protocols: list[GossipProtocol] = []
        self._reporters: list[Reporter] = []
        self._aggregators: dict[str, Aggregator] = {}
        if way in ("told", "cut"):
            self._start_gossip(seed)
        if way == "sums":
            self._start_reports(seed)
        self._plan_windows(seconds)
        self._plan_arrivals(random.Random(seed), rate)

    def _at(self, when: int, handler: Callable[..., None], *values: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, handler, values))

    def run(self) -> Result:
        """Play all events up to the end."""
        while self._events:
            now, _, handler, values = heapq.heappop(self._events)
            if now > self.end:
                break
            handler(now, *values)
        self.result.choice_us = self._choice_s / max(1, self._choices) * 1e6
        return self.result

    # What is planned at the start.

    def _own_loads(self, dispatcher: int) -> Callable[[], list[ReplicaLoad]]:
        own = self.own[dispatcher]
        return lambda: [ReplicaLoad(replica, tokens, tokens) for replica, tokens in enumerate(own) if tokens]

    def _start_gossip(self, seed: int) -> None:
        for k, name in enumerate(self.names):
            rng = random.Random(seed * len(self.names) + k)
            self._protocols.append(GossipProtocol(name, self.names, START, rng, self._own_loads(k)))
        for k in range(len(self.names)):
            self._at(START + self._net.randrange(GOSSIP_TICK_US), self._gossip_tick, k)

    def _start_reports(self, seed: int) -> None:
        for k, name in enumerate(self.names):
            rng = random.Random(seed * len(self.names) + k)
            self._reporters.append(Reporter(name, SITES[k % 3].region, SITES, START, rng, self._own_loads(k)))
        names = [site.name for site in SITES]
        self._aggregators = {name: Aggregator(name, names, START, random.Random(seed)) for name in names}
        for reporter in self._reporters:
            self._at(reporter.next_tick(START), self._report_tick, reporter)
        for aggregator in self._aggregators.values():
            self._at(START + self._net.randrange(AGGREGATOR_TICK_US), self._aggregator_tick, aggregator)

    def _plan_windows(self, seconds: int) -> None:
        for second in range(WARM_UP_S, seconds + 1):
            self._at(START + second * S, self._end_window, second)

    def _plan_arrivals(self, rng: random.Random, rate: float) -> None:
        dispatchers = range(len(self.names))
        shares = [10.0 if k % 20 == 0 else 1.0 for k in dispatchers]
        arrival = START
        while arrival < self.end:
            arrival += int(rng.expovariate(rate * self.replicas) * S)
            dispatcher = rng.choices(dispatchers, shares)[0]
            pair = rng.sample(range(self.replicas), 2)
            hold = int(rng.expovariate(1 / MEAN_HOLD_S) * S)
            self._at(arrival, self._arrive, dispatcher, pair, hold)

    # Requests.

    def _arrive(self, now: int, dispatcher: int, pair: list[int], hold: int) -> None:
        began = time.perf_counter()
        replica = self._choose(now, dispatcher, pair)
        self._choice_s += time.perf_counter() - began
        self._choices += 1
        self.own[dispatcher][replica] += TOKENS
        self.meter.change(now, replica, TOKENS)
        self._at(now + hold, self._finish, dispatcher, replica)

    def _choose(self, now: int, dispatcher: int, pair: list[int]) -> int:
        if self.way == "all":
            return min(range(self.replicas), key=self.meter.tokens.__getitem__)
        if self.way == "two":
            return min(pair, key=self.meter.tokens.__getitem__)
        own = self.own[dispatcher]
        sources: list[GossipProtocol] | list[Reporter] = self._protocols or self._reporters
        if not sources:
            return min(pair, key=own.__getitem__)
        source = sources[dispatcher]
        return min(
            pair,
            key=lambda replica: own[replica]
            + source.estimate_peer_load(now, replica, own[replica], own[replica]).total_tokens,
        )

    def _finish(self, now: int, dispatcher: int, replica: int) -> None:
        self.own[dispatcher][replica] -= TOKENS
        self.meter.change(now, replica, -TOKENS)

    def _end_window(self, now: int, second: int) -> None:
        peak = self.meter.end_window(now)
        if second != WARM_UP_S:
            self.result.peaks.append(peak)

    # Gossip.

    def _gossip_tick(self, now: int, dispatcher: int) -> None:
        messages = self._protocols[dispatcher].tick(now)
        self._at(now + GOSSIP_TICK_US, self._gossip_tick, dispatcher)
        self._send_gossip(now, dispatcher, messages)

    def _receive_gossip(self, now: int, dispatcher: int, data: bytes) -> None:
        self.result.bytes += len(data) + HEADER_BYTES
        message = self._gossip_codec.unpack(data, self.names[dispatcher])
        self._send_gossip(now, dispatcher, self._protocols[dispatcher].receive(now, message))

    def _send_gossip(self, now: int, sender: int, messages: list[GossipMessage]) -> None:
        half = len(self.names) // 2
        for message in messages:
            to = self._index[message.payload.to]
            data = self._gossip_codec.pack(message)
            self.result.datagrams += 1
            self.result.bytes += len(data) + HEADER_BYTES
            is_lost = self._net.random() < LOSS
            is_cut = self.way == "cut" and (to < half) != (sender < half)
            if not is_lost and not is_cut:
                self._at(now + self._net.randrange(MIN_DELAY_US, MAX_DELAY_US), self._receive_gossip, to, data)

    # Reports and sums.

    def _report_tick(self, now: int, reporter: Reporter) -> None:
        if now >= reporter.next_tick(now):
            self._send_aggregation(now, reporter.tick(now))
        self._at(max(now + 1, reporter.next_tick(now)), self._report_tick, reporter)

    def _aggregator_tick(self, now: int, aggregator: Aggregator) -> None:
        self._send_aggregation(now, aggregator.tick(now))
        self._at(now + AGGREGATOR_TICK_US, self._aggregator_tick, aggregator)

    def _receive_aggregation(self, now: int, to: str, data: bytes) -> None:
        message = self._aggregation_codec.unpack(data, to)
        if to in self._aggregators:
            self._send_aggregation(now, self._aggregators[to].receive(now, message))
            return
        self.result.bytes += len(data) + HEADER_BYTES
        self._send_aggregation(now, self._reporters[self._index[to]].receive(now, message, len(data)))

    def _send_aggregation(self, now: int, messages: list[AggregationMessage]) -> None:
        for message in messages:
            data = self._aggregation_codec.pack(message)
            if message.sender in self._index:
                self._reporters[self._index[message.sender]].record_sent(len(data))
                self.result.datagrams += 1
                self.result.bytes += len(data) + HEADER_BYTES
            if self._net.random() >= LOSS:
                delay = self._net.randrange(MIN_DELAY_US, MAX_DELAY_US)
                self._at(now + delay, self._receive_aggregation, message.to, data)


def parse_arguments() -> argparse.Namespace:
    """The command line; it ends the process when a way is unknown."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    for name, value in (("dispatchers", 40), ("engines", 60), ("seconds", 20), ("seeds", 5)):
        parser.add_argument(f"--{name}", type=int, default=value)
    parser.add_argument("--rate", type=float, default=10, help="requests a second for each engine")
    parser.add_argument("--ways", default=",".join(WAYS), help="which are played, by commas")
    arguments = parser.parse_args()
    arguments.ways = arguments.ways.split(",")
    unknown = set(arguments.ways) - set(WAYS)
    if unknown:
        parser.error(f"--ways: {', '.join(sorted(unknown))} found, allowed are {', '.join(WAYS)}")
    return arguments


def print_way(way: str, arguments: argparse.Namespace) -> None:
    """Play a way with all seeds, and print its line."""
    runs = [
        Play(way, arguments.dispatchers, arguments.engines, arguments.rate, arguments.seconds, seed).run()
        for seed in range(1, arguments.seeds + 1)
    ]
    means = [statistics.mean(run.peaks) for run in runs]
    dispatcher_seconds = len(runs) * arguments.seconds * arguments.dispatchers
    datagrams = sum(run.datagrams for run in runs) / dispatcher_seconds
    size = sum(run.bytes for run in runs) / dispatcher_seconds
    print(
        f"{way:5} {statistics.mean(means):.3f} ({min(means):.3f} to {max(means):.3f}), a choice "
        f"{statistics.mean(run.choice_us for run in runs):.1f} us, {datagrams:.1f} datagrams and "
        f"{size:.0f} bytes a second each",
        flush=True,
    )


def main() -> None:
    """Print one line for each way."""
    arguments = parse_arguments()
    print(
        f"{arguments.dispatchers} dispatchers, {arguments.engines} engines, {arguments.rate:g} requests a second each, "
        f"seeds 1 to {arguments.seeds}; peak over mean in 1 s windows"
    )
    for way in arguments.ways:
        print_way(way, arguments)


if __name__ == "__main__":
    main()
