"""Long sequences of legal but odd events, and the rules' invariants on the actions."""

import os
import random
import subprocess
import sys

import pytest

from pearhill.routing.actions import Action, FailRequest, RejectRequest, ReleaseState, SendAttempt
from pearhill.routing.events import AttemptEnded, ClientDisconnected, EndpointsUpdated, ResponseStarted, TimerFired
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


def play(seed: int, effect: str = Idempotency.IDEMPOTENT) -> list[str]:
    """Drive one router through 600 random events; assert the invariants; return all actions as text."""
    rng, d = random.Random(seed), RouterDriver(settings(effect, "cell"), FLEET + (endpoint(21, 2),), seed=seed)
    out: dict[int, int] = {}
    ended: set[int] = set()
    open_: dict[int, int] = {}
    held: set[int] = set()
    phases = {e.replica: e.phase for e in FLEET}
    text = []

    def check(actions: list[Action]) -> None:
        for a in actions:
            text.append(repr(a))
            if isinstance(a, SendAttempt):
                assert a.request not in out
                assert a.request not in ended
                assert phases.get(a.replica, Phase.READY) == Phase.READY
                out[a.request] = a.replica
                held.discard(a.request)
            elif isinstance(a, RejectRequest | FailRequest):
                assert a.request in open_
                assert a.request not in ended
                ended.add(a.request)
                del open_[a.request]
            elif isinstance(a, ReleaseState):
                held.discard(a.request)
        assert not {r for r in held if r not in out}

    for _ in range(600):
        roll = rng.random()
        if roll < 0.35:
            r, actions = d.next, None
            open_[r] = d.now + 4_000_000
            _, actions = d.arrive(
                prompt_tokens=rng.randrange(20, 20_000),
                session=rng.randrange(9),
                prefix=rng.randrange(4),
                prefix_tokens=rng.randrange(0, 4000),
            )
            check(actions)
        elif roll < 0.75 and out:
            r = rng.choice(sorted(out))
            outcome = rng.choice(OUTCOMES)
            if outcome == Outcome.PREFILLED and out[r] > 10:
                outcome = Outcome.FULL
            engine = out.pop(r)
            if outcome == Outcome.PREFILLED:
                held.add(r)
            check(d.feed(AttemptEnded(r, d.attempt[r], engine, outcome, r in ended, 0, 9000, (rng.random(), 1.0))))
        elif roll < 0.8 and open_:
            r = rng.choice(sorted(open_))
            del open_[r]
            ended.add(r)
            check(d.feed(ClientDisconnected(r)))
        elif roll < 0.85:
            engine = rng.choice(FLEET)
            phase = rng.choice((Phase.READY, Phase.READY, Phase.DRAINING, Phase.GONE))
            phases[engine.replica] = phase
            check(
                d.feed(
                    EndpointsUpdated(
                        False,
                        (
                            endpoint(
                                engine.replica,
                                engine.kind,
                                engine.cell,
                                phase=phase,
                                started_at=d.now if phase == Phase.READY else 0,
                            ),
                        ),
                    )
                )
            )
        elif roll < 0.9:
            check(
                d.feed(ResponseStarted(999_999, 0, 1, 5))
                + d.feed(ClientDisconnected(999_999))
                + d.feed(TimerFired(888_888))
            )
            check(d.feed(AttemptEnded(999_999, 0, 777, Outcome.TIMEOUT, False, 0, 5, None)))
        else:
            check(d.wait(rng.randrange(500_000)))
        assert all(deadline >= d.now for deadline in open_.values())
    check(d.wait(5_000_000))
    assert not open_
    return text


@pytest.mark.parametrize("effect", [Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.UNSAFE])
@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_through_odd_events(seed, effect):
    assert len(play(seed, effect)) > 300


def test_same_actions_in_processes_with_different_hash_seeds():
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
