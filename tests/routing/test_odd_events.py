"""Long sequences of valid but unusual events, and the invariants of the router's actions."""

import os
import random
import subprocess
import sys

import pytest

from pearhill.routing.actions import Action, FailRequest, RejectRequest, ReleaseState, SendAttempt
from pearhill.routing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    ReportedLoad,
    ResponseStarted,
    TimerFired,
)
from pearhill.routing.outcomes import Outcome
from pearhill.routing.settings import Idempotency
from pearhill.routing.topology import Phase
from tests.driver import FLEET, RouterDriver, endpoint, settings

OUTCOMES = (
    Outcome.PREFILLED,
    Outcome.FULL,
    Outcome.STATE_LOST,
    Outcome.TIMEOUT,
    Outcome.UNREACHABLE,
    Outcome.TRUNCATED,
    Outcome.ERROR,
    Outcome.CANCELLED,
    Outcome.NOT_SENT,
)


EVENTS = 600
UNKNOWN_REQUEST = 999_999
UNKNOWN_REPLICA = 777
UNKNOWN_TIMER = 888_888
TIMEOUT = 4_000_000  # of each request
SLACK = 5_000_000  # after which every request has ended


class OddEvents:
    """One router under random events, and the invariants that each of its actions must keep."""

    def __init__(self, seed: int, effect: str) -> None:
        self.rng = random.Random(seed)
        self.driver = RouterDriver(settings(effect, "cell"), FLEET + (endpoint(21, 2),), seed=seed)
        self.attempts: dict[int, int] = {}  # in flight: replica by request
        self.ended: set[int] = set()  # requests with their final answer, or whose client has disconnected
        self.deadlines: dict[int, int] = {}  # of all other requests
        self.held: set[int] = set()  # requests whose state is held and was not fetched yet
        self.phases = {e.replica: e.phase for e in FLEET}
        self.text: list[str] = []  # all actions

    def check(self, actions: list[Action]) -> None:
        for action in actions:
            self.text.append(repr(action))
            if isinstance(action, SendAttempt):
                self.check_attempt(action)
            elif isinstance(action, RejectRequest | FailRequest):
                assert action.request in self.deadlines
                assert action.request not in self.ended
                self.ended.add(action.request)
                del self.deadlines[action.request]
            elif isinstance(action, ReleaseState):
                self.held.discard(action.request)
        assert not {request for request in self.held if request not in self.attempts}

    def check_attempt(self, attempt: SendAttempt) -> None:
        assert attempt.request not in self.attempts
        assert attempt.request not in self.ended
        assert self.phases.get(attempt.replica, Phase.READY) == Phase.READY
        self.attempts[attempt.request] = attempt.replica
        self.held.discard(attempt.request)

    def step(self) -> None:
        """Feed one random event."""
        roll = self.rng.random()
        if roll < 0.35:
            self.arrive()
        elif roll < 0.75 and self.attempts:
            self.end_attempt()
        elif roll < 0.8 and self.deadlines:
            self.disconnect()
        elif roll < 0.85:
            self.update_endpoint()
        elif roll < 0.9:
            self.send_unknown()
        else:
            self.check(self.driver.wait(self.rng.randrange(500_000)))
        assert all(deadline >= self.driver.now for deadline in self.deadlines.values())

    def arrive(self) -> None:
        self.deadlines[self.driver.next_request] = self.driver.now + TIMEOUT
        _, actions = self.driver.arrive(
            prompt_tokens=self.rng.randrange(20, 20_000),
            session=self.rng.randrange(9),
            prefix=self.rng.randrange(4),
            prefix_tokens=self.rng.randrange(0, 4000),
        )
        self.check(actions)

    def end_attempt(self) -> None:
        request = self.rng.choice(sorted(self.attempts))
        outcome = self.rng.choice(OUTCOMES)
        if outcome == Outcome.PREFILLED and self.attempts[request] > 10:  # it is not a prefill replica
            outcome = Outcome.FULL
        replica = self.attempts.pop(request)
        if outcome == Outcome.PREFILLED:
            self.held.add(request)
        load = ReportedLoad(self.rng.random(), 1.0)
        answered = request in self.ended
        attempt = self.driver.attempt[request]
        self.check(self.driver.feed(AttemptEnded(request, attempt, replica, outcome, answered, 0, 9000, load)))

    def disconnect(self) -> None:
        request = self.rng.choice(sorted(self.deadlines))
        del self.deadlines[request]
        self.ended.add(request)
        self.check(self.driver.feed(ClientDisconnected(request)))

    def update_endpoint(self) -> None:
        listed = self.rng.choice(FLEET)
        phase = self.rng.choice((Phase.READY, Phase.READY, Phase.DRAINING, Phase.GONE))
        self.phases[listed.replica] = phase
        started_at = self.driver.now if phase == Phase.READY else 0
        updated = endpoint(listed.replica, listed.kind, listed.cell, phase=phase, started_at=started_at)
        self.check(self.driver.feed(EndpointsUpdated(False, (updated,))))

    def send_unknown(self) -> None:
        """Feed events of a request, a replica and a timer that the router does not have."""
        self.check(
            self.driver.feed(ResponseStarted(UNKNOWN_REQUEST, 0, 1, 5))
            + self.driver.feed(ClientDisconnected(UNKNOWN_REQUEST))
            + self.driver.feed(TimerFired(UNKNOWN_TIMER))
        )
        ended = AttemptEnded(UNKNOWN_REQUEST, 0, UNKNOWN_REPLICA, Outcome.TIMEOUT, False, 0, 5, None)
        self.check(self.driver.feed(ended))

    def finish(self) -> None:
        """Let all deadlines pass, and assert that every request has ended."""
        self.check(self.driver.wait(SLACK))
        assert not self.deadlines


def play(seed: int, effect: str = Idempotency.IDEMPOTENT) -> list[str]:
    """Drive one router through 600 random events; assert the invariants; return all actions as text."""
    odd = OddEvents(seed, effect)
    for _ in range(EVENTS):
        odd.step()
    odd.finish()
    return odd.text


@pytest.mark.parametrize("effect", [Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.UNSAFE])
@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_through_odd_events(seed: int, effect: str) -> None:
    assert len(play(seed, effect)) > 300


def test_same_actions_in_processes_with_different_hash_seeds() -> None:
    code = "from tests.routing.test_odd_events import play; print('\\n'.join(play(3)))"
    runs = {
        subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            check=True,
            timeout=120,
            env={**os.environ, "PYTHONHASHSEED": str(n)},
        ).stdout
        for n in (1, 2)
    }
    assert len(runs) == 1
    assert len(runs.pop()) > 1000
