"""Fleets of dispatchers that count each other by aggregators, and by gossip: crashes, stalls, partitions, lossy paths.

Rules: while nothing disturbs them, all count the whole fleet, and after each disturbance they do so again in time; the
work of one is never counted twice; clients get their answers all the while, and SIGTERM ends each process in time.
"""

import itertools
import signal
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from tests.faults.case import Case, main
from tests.faults.chat_load import ChatLoad, NamingReplica
from tests.membership.test_aggregation_process import AGGREGATORS, DISPATCHERS, AggregationCase

MAX_AGREEMENT_S = 40.0  # the return to the home aggregator takes up to thirty
DISTURBED_S = 2.0
MAX_EXIT_S = 15.0
GOSSIPERS = DISPATCHERS[:4]
ANSWERING = DISPATCHERS[0]  # which clients use; it is never killed
LOSSY = 0.2


class Fleet(AggregationCase):
    """The processes of one fleet. `aggregators`: whether it has aggregators, or only gossips."""

    TIMEOUT_S = MAX_AGREEMENT_S  # type: ignore[assignment]

    def __init__(self, case: Case, has_aggregators: bool) -> None:
        self.case = case
        self.cleanup = case.cleanup
        self.has_aggregators = has_aggregators
        self.dispatchers = DISPATCHERS if has_aggregators else GOSSIPERS
        self.set_up(*(AGGREGATORS if has_aggregators else ()), *self.dispatchers)
        self.replica.close()
        self.replica = NamingReplica(case, 0.0)
        self.cleanup.callback(self.replica.close)

    def start(self) -> None:
        with ThreadPoolExecutor() as pool:
            if self.has_aggregators:
                list(pool.map(self.restart, AGGREGATORS))
            list(pool.map(self.restart, self.dispatchers))

    def restart(self, name: str) -> None:
        """Start a process, or start it again after it was killed."""
        if name in AGGREGATORS or self.has_aggregators:
            return self.run_one(name)
        peers = tuple(peer for peer in self.dispatchers if peer != name)
        return self.run_one(name, self.fleet_file(name, (), peers))

    def check_agreement(self, after: str) -> None:
        """Check that all count the whole fleet again, in time."""
        began = time.monotonic()
        count = len(self.dispatchers)
        try:
            if self.has_aggregators:
                self.agree(count, count, *self.dispatchers)
            else:
                self.wait_until(self.all_gossip_with_all, *self.dispatchers)
        except AssertionError as error:
            self.case.check(False, f"no agreement in {MAX_AGREEMENT_S} s after {after}: {str(error)[:500]}")
        self.case.count(f"agreed after {after}, up to {(time.monotonic() - began) // 10 * 10 + 10:.0f} s")

    def all_gossip_with_all(self) -> bool:
        states = [self.fleet_state(name) for name in self.dispatchers]
        return {(state["count"], state["source"]) for state in states} == {(len(self.dispatchers), "talk")}

    def disturbances(self) -> list[tuple[str, Callable[[], None], Callable[[], None]]]:
        """Returns what disturbs this fleet: a name, how it begins, and how it ends."""
        last = self.dispatchers[-1]
        found = [
            ("a killed dispatcher", lambda: self.send(signal.SIGKILL, last), lambda: self.restart(last)),
            ("a partition", lambda: self.relay.cut([last], [*self.programs]), self.relay.cut),
            ("a stopped dispatcher", lambda: self.send(signal.SIGSTOP, last), lambda: self.send(signal.SIGCONT, last)),
            ("a lossy path", lambda: self.set_loss(LOSSY), lambda: self.set_loss(0.0)),
        ]
        if self.has_aggregators:
            first, second = AGGREGATORS[:2]
            found = [
                ("a killed aggregator", lambda: self.send(signal.SIGKILL, first), lambda: self.restart(first)),
                *found,
                (
                    "a stopped aggregator",
                    lambda: self.send(signal.SIGSTOP, second),
                    lambda: self.send(signal.SIGCONT, second),
                ),
            ]
        return found

    def set_loss(self, share: float) -> None:
        self.relay.drop = self.relay.double = share

    def check_counts(self) -> None:
        """Check that nobody counts more dispatchers, or the work of more, than there are."""
        for name in self.dispatchers:
            if self.programs[name].process.poll() is not None:
                continue
            try:
                state = self.fleet_state(name)
            except OSError:
                continue  # it is stopped, or was killed just now
            self.case.check(state["count"] <= len(self.dispatchers), f"{name} counts {state['count']} dispatchers")
            heard = (state["reports"] or {}).get("heard", 0)
            self.case.check(heard <= len(self.dispatchers), f"{name} uses the work of {heard} dispatchers")

    def end(self) -> None:
        """End all processes by SIGTERM."""
        self.send(signal.SIGTERM, *self.programs)
        for name, program in self.programs.items():
            self.case.check(program.process.wait(MAX_EXIT_S) == 0, f"{name} did not end by SIGTERM")


def run(case: Case) -> None:
    for has_aggregators in (True, False):
        run_fleet(case, Fleet(case, has_aggregators), case.length_s / 2)
    case.check(case.counts.get("200", 0) > 0, "no request was served")


def run_fleet(case: Case, fleet: Fleet, length_s: float) -> None:
    fleet.start()
    fleet.check_agreement("the start")
    load_case_length = case.length_s
    case.length_s = length_s
    load = ChatLoad(case, fleet.programs[ANSWERING], leaving_share=0.0)
    clients = threading.Thread(target=load.run)
    clients.start()
    end = time.monotonic() + length_s
    disturbances = itertools.cycle(fleet.disturbances())
    while case.trouble and time.monotonic() < end:
        name, begin, heal = next(disturbances)
        begin()
        time.sleep(case.rng.uniform(DISTURBED_S, 2 * DISTURBED_S))
        if "stopped" not in name:
            fleet.check_counts()
        heal()
        fleet.check_agreement(name)
    clients.join()
    case.length_s = load_case_length
    fleet.check_counts()
    fleet.end()


if __name__ == "__main__":
    main(run)
