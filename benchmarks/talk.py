"""Simulates how evenly many dispatchers load many replicas, with and without peer load, without I/O.

    .venv/bin/python benchmarks/talk.py [--ways own,told,sums --dispatchers 200 --engines 60 --rate 10 --seconds 20 \
        --seeds 5]

One process simulates all dispatchers and all choices on a simulated clock. Requests arrive at random at dispatchers
with uneven traffic (some receive ten times that of the others). Each request occupies a replica for a random time, and
each choice takes the less loaded of two random replicas. The same arrivals are simulated under six policies:

    own   a dispatcher uses its own load alone
    told  it also uses the loads of peers, received by gossip; a tenth of the datagrams is lost, delays are up to 50 ms
    sums  it also uses the sums of three aggregators; same loss and delay, dispatchers are spread over three regions
    cut   as told, with the fleet partitioned in two
    two   it uses the exact loads of the two replicas
    all   it uses the exact loads of all replicas (join the shortest queue)

The output for each policy is the peak-to-mean ratio of load per replica in 1 s windows, as mean and range over the
seeds, the time of a choice, and datagrams sent and bytes in both directions for each dispatcher, including IP and UDP
headers. Not for CI.
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

MICROSECONDS_PER_S = 1_000_000
START_US = 1_000 * MICROSECONDS_PER_S
TOKENS_PER_REQUEST = 1000  # load of one request
MEAN_SERVICE_TIME_S = 0.5  # mean time for which a request occupies a replica
WARM_UP_S = 5  # excluded from the results
POLICIES = ("own", "told", "sums", "cut", "two", "all")
LOSS_RATE = 0.1  # fraction of datagrams that are lost
MIN_DELAY_US = 200
MAX_DELAY_US = 50_000
KEYS = [b"k" * 32]
AGGREGATOR_SITES = [AggregatorSite(f"a{k}", f"r{k}") for k in range(3)]


@dataclass
class Result:
    """Measurements of one simulation."""

    peaks: list[float] = field(default_factory=list)  # peak-to-mean ratio of each window
    datagrams: int = 0  # sent by dispatchers
    bytes: int = 0  # sent and received by dispatchers
    choice_us: float = 0.0


class LoadMeter:
    """Tracks the tokens at each replica, and their integral over time since the start of the window."""

    def __init__(self, replicas: int) -> None:
        self.tokens = [0] * replicas
        self._area = [0.0] * replicas
        self._updated_at = [START_US] * replicas

    def change(self, now: int, replica: int, tokens: int) -> None:
        """Add `tokens`, which may be negative, to the load of the replica."""
        self._area[replica] += self.tokens[replica] * (now - self._updated_at[replica])
        self.tokens[replica] += tokens
        self._updated_at[replica] = now

    def end_window(self, now: int) -> float:
        """End the window, start a new one, and return the peak-to-mean ratio of the ended one."""
        for replica in range(len(self.tokens)):
            self.change(now, replica, 0)
        peak = max(self._area) * len(self._area) / max(1.0, sum(self._area))
        self._area = [0.0] * len(self._area)
        return peak


class Simulation:
    """One simulation of one policy."""

    def __init__(self, policy: str, dispatchers: int, replicas: int, rate: float, seconds: int, seed: int) -> None:
        self.policy = policy
        self.replicas = replicas
        self.end = START_US + seconds * MICROSECONDS_PER_S
        self.result = Result()
        self.meter = LoadMeter(replicas)
        self.own = [[0] * replicas for _ in range(dispatchers)]
        self.names = [f"d{k}" for k in range(dispatchers)]
        self._index = {name: k for k, name in enumerate(self.names)}
        self._network_rng = random.Random(seed + 1)
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_count = 0
        self._choice_s = 0.0
        self._choices = 0
        self._gossip_codec = GossipCodec(KEYS)
        self._aggregation_codec = AggregationCodec(KEYS)
        self._protocols: list[GossipProtocol] = []
        self._reporters: list[Reporter] = []
        self._aggregators: dict[str, Aggregator] = {}
        if policy in ("told", "cut"):
            self._start_gossip(seed)
        if policy == "sums":
            self._start_reports(seed)
        self._schedule_windows(seconds)
        self._schedule_arrivals(random.Random(seed), rate)

    def _schedule(self, when: int, handler: Callable[..., None], *values: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, handler, values))

    def run(self) -> Result:
        """Process all events up to the end of the simulated time, and return the measurements."""
        while self._events:
            now, _, handler, values = heapq.heappop(self._events)
            if now > self.end:
                break
            handler(now, *values)
        self.result.choice_us = self._choice_s / max(1, self._choices) * 1e6
        return self.result

    # Events that are scheduled at the start.

    def _own_loads(self, dispatcher: int) -> Callable[[], list[ReplicaLoad]]:
        own = self.own[dispatcher]
        return lambda: [ReplicaLoad(replica, tokens, tokens) for replica, tokens in enumerate(own) if tokens]

    def _start_gossip(self, seed: int) -> None:
        for k, name in enumerate(self.names):
            rng = random.Random(seed * len(self.names) + k)
            self._protocols.append(GossipProtocol(name, self.names, START_US, rng, self._own_loads(k)))
        for k in range(len(self.names)):
            self._schedule(START_US + self._network_rng.randrange(GOSSIP_TICK_US), self._gossip_tick, k)

    def _start_reports(self, seed: int) -> None:
        for k, name in enumerate(self.names):
            rng = random.Random(seed * len(self.names) + k)
            self._reporters.append(
                Reporter(name, AGGREGATOR_SITES[k % 3].region, AGGREGATOR_SITES, START_US, rng, self._own_loads(k))
            )
        names = [site.name for site in AGGREGATOR_SITES]
        self._aggregators = {name: Aggregator(name, names, START_US, random.Random(seed)) for name in names}
        for reporter in self._reporters:
            self._schedule(reporter.next_tick(START_US), self._report_tick, reporter)
        for aggregator in self._aggregators.values():
            self._schedule(
                START_US + self._network_rng.randrange(AGGREGATOR_TICK_US), self._aggregator_tick, aggregator
            )

    def _schedule_windows(self, seconds: int) -> None:
        for second in range(WARM_UP_S, seconds + 1):
            self._schedule(START_US + second * MICROSECONDS_PER_S, self._end_window, second)

    def _schedule_arrivals(self, rng: random.Random, rate: float) -> None:
        dispatchers = range(len(self.names))
        shares = [10.0 if k % 20 == 0 else 1.0 for k in dispatchers]
        arrival = START_US
        while arrival < self.end:
            arrival += int(rng.expovariate(rate * self.replicas) * MICROSECONDS_PER_S)
            dispatcher = rng.choices(dispatchers, shares)[0]
            candidates = rng.sample(range(self.replicas), 2)
            service_time_us = int(rng.expovariate(1 / MEAN_SERVICE_TIME_S) * MICROSECONDS_PER_S)
            self._schedule(arrival, self._arrive, dispatcher, candidates, service_time_us)

    # Requests.

    def _arrive(self, now: int, dispatcher: int, candidates: list[int], service_time_us: int) -> None:
        began = time.perf_counter()
        replica = self._choose(now, dispatcher, candidates)
        self._choice_s += time.perf_counter() - began
        self._choices += 1
        self.own[dispatcher][replica] += TOKENS_PER_REQUEST
        self.meter.change(now, replica, TOKENS_PER_REQUEST)
        self._schedule(now + service_time_us, self._finish, dispatcher, replica)

    def _choose(self, now: int, dispatcher: int, candidates: list[int]) -> int:
        if self.policy == "all":
            return min(range(self.replicas), key=self.meter.tokens.__getitem__)
        if self.policy == "two":
            return min(candidates, key=self.meter.tokens.__getitem__)
        own = self.own[dispatcher]
        sources: list[GossipProtocol] | list[Reporter] = self._protocols or self._reporters
        if not sources:
            return min(candidates, key=own.__getitem__)
        source = sources[dispatcher]
        return min(
            candidates,
            key=lambda replica: own[replica]
            + source.estimate_peer_load(now, replica, own[replica], own[replica]).total_tokens,
        )

    def _finish(self, now: int, dispatcher: int, replica: int) -> None:
        self.own[dispatcher][replica] -= TOKENS_PER_REQUEST
        self.meter.change(now, replica, -TOKENS_PER_REQUEST)

    def _end_window(self, now: int, second: int) -> None:
        peak = self.meter.end_window(now)
        if second != WARM_UP_S:
            self.result.peaks.append(peak)

    # Gossip.

    def _gossip_tick(self, now: int, dispatcher: int) -> None:
        messages = self._protocols[dispatcher].tick(now)
        self._schedule(now + GOSSIP_TICK_US, self._gossip_tick, dispatcher)
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
            is_lost = self._network_rng.random() < LOSS_RATE
            is_partitioned = self.policy == "cut" and (to < half) != (sender < half)
            if not is_lost and not is_partitioned:
                self._schedule(
                    now + self._network_rng.randrange(MIN_DELAY_US, MAX_DELAY_US), self._receive_gossip, to, data
                )

    # Reports and sums.

    def _report_tick(self, now: int, reporter: Reporter) -> None:
        if now >= reporter.next_tick(now):
            self._send_aggregation(now, reporter.tick(now))
        self._schedule(max(now + 1, reporter.next_tick(now)), self._report_tick, reporter)

    def _aggregator_tick(self, now: int, aggregator: Aggregator) -> None:
        self._send_aggregation(now, aggregator.tick(now))
        self._schedule(now + AGGREGATOR_TICK_US, self._aggregator_tick, aggregator)

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
            if self._network_rng.random() >= LOSS_RATE:
                delay = self._network_rng.randrange(MIN_DELAY_US, MAX_DELAY_US)
                self._schedule(now + delay, self._receive_aggregation, message.to, data)


def parse_arguments() -> argparse.Namespace:
    """Parse the command line. Exits the process if a policy is unknown."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    for name, value in (("dispatchers", 40), ("engines", 60), ("seconds", 20), ("seeds", 5)):
        parser.add_argument(f"--{name}", type=int, default=value)
    parser.add_argument("--rate", type=float, default=10, help="requests per second for each replica")
    parser.add_argument("--ways", default=",".join(POLICIES), help="policies to simulate, separated by commas")
    arguments = parser.parse_args()
    arguments.ways = arguments.ways.split(",")
    unknown = set(arguments.ways) - set(POLICIES)
    if unknown:
        parser.error(f"--ways: unknown: {', '.join(sorted(unknown))}; allowed: {', '.join(POLICIES)}")
    return arguments


def print_policy(policy: str, arguments: argparse.Namespace) -> None:
    """Simulate a policy with all seeds, and print its line."""
    runs = [
        Simulation(policy, arguments.dispatchers, arguments.engines, arguments.rate, arguments.seconds, seed).run()
        for seed in range(1, arguments.seeds + 1)
    ]
    means = [statistics.mean(run.peaks) for run in runs]
    dispatcher_seconds = len(runs) * arguments.seconds * arguments.dispatchers
    datagrams = sum(run.datagrams for run in runs) / dispatcher_seconds
    size = sum(run.bytes for run in runs) / dispatcher_seconds
    print(
        f"{policy:5} {statistics.mean(means):.3f} ({min(means):.3f} to {max(means):.3f}), a choice "
        f"{statistics.mean(run.choice_us for run in runs):.1f} us, {datagrams:.1f} datagrams and "
        f"{size:.0f} bytes a second each",
        flush=True,
    )


def main() -> None:
    """Print one line for each policy."""
    arguments = parse_arguments()
    print(
        f"{arguments.dispatchers} dispatchers, {arguments.engines} engines, {arguments.rate:g} requests a second each, "
        f"seeds 1 to {arguments.seeds}; peak over mean in 1 s windows"
    )
    for policy in arguments.ways:
        print_policy(policy, arguments)


if __name__ == "__main__":
    main()
