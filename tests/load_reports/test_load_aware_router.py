"""What a dispatcher that sees little asks of engines, and what it does with the answers."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from pearhill.load_reports.load_aware_router import FIRST_EJECTED, MOST_EJECTED, LoadAwareRouter
from pearhill.load_reports.query_policy import roles_worth_querying
from pearhill.load_reports.reports import FADE, FRESH, Reports
from pearhill.platform.replica import parse_load_report
from pearhill.routing.actions import Action, SendHealthCheck
from pearhill.routing.events import ClientDisconnected, EndpointsUpdated, Event, HealthCheckEnded
from pearhill.routing.outcomes import Outcome
from pearhill.routing.settings import RouterSettings
from pearhill.routing.topology import Phase, Role
from tests.driver import SETTINGS, Drive, S, entry

BLIND = replace(SETTINGS, instances=60, health_checks=True, health_check_price=0.0039)
FLEET = tuple(entry(n, 0) for n in (1, 2)) + tuple(entry(n, 1) for n in (11, 12))
MS = 1000


class Asking(Drive):
    """A scout before two readers and two writers, and the probes that it has out."""

    def __init__(self, s: RouterSettings = BLIND, seed: int = 1) -> None:
        self.out: list[int] = []
        super().__init__(s, FLEET, seed)
        # The same driver, before the Router's own decisions: drop the one that it made, list the fleet anew.
        self.router: Any = LoadAwareRouter(s, seed)
        self.timers.clear()
        self.feed(EndpointsUpdated(True, FLEET))

    def feed(self, event: Event) -> list[Action]:
        actions = super().feed(event)
        self.out += [a.replica for a in actions if isinstance(a, SendHealthCheck)]
        return actions

    def tell(
        self, engine: int, held: float = 0.1, waiting: float = 0.0, outcome: str = Outcome.ANSWERED
    ) -> list[Action]:
        self.out.remove(engine)
        return self.feed(
            HealthCheckEnded(engine, outcome, MS, (held, waiting) if outcome == Outcome.ANSWERED else None)
        )

    def read(self, told: dict[int, float], session: int = 5) -> int:
        """The reader that a request goes to, when those that are asked tell so many thousands of tokens."""
        r, _ = self.arrive(session=session)
        for engine in list(self.out):
            self.tell(engine, waiting=told[engine])
        return self.has_disconnected(r)

    def has_disconnected(self, r: int) -> int:
        """The client leaves, and its work goes with it; where it had been sent."""
        self.feed(ClientDisconnected(r))
        self.end(r, Outcome.CANCELLED, settled=True)
        return self.sent[r].replica


@pytest.mark.parametrize(
    ("instances", "price", "probing", "roles"),
    [
        (1, 0.0, True, ()),
        (3, 0.0039, True, ()),
        (5, 0.0, True, ()),
        (8, 0.0039, True, (Role.PREFILL,)),
        (12, 0.0039, True, (Role.PREFILL,)),
        (60, 0.0039, True, (Role.PREFILL, Role.DECODE)),
        (60, 0.2, True, ()),
        (200, 0.0039, False, ()),
        (8, 0.0, True, (Role.PREFILL, Role.DECODE)),
    ],
)
def test_a_look_is_taken_only_where_it_pays(instances, price, probing, roles):
    assert roles_worth_querying(
        replace(SETTINGS, instances=instances, health_check_price=price, health_checks=probing)
    ) == set(roles)


def test_the_emptier_of_the_pair_by_its_own_word_reads_whatever_i_have_there():
    for empty, full in ((1, 2), (2, 1)):
        assert Asking().read({empty: 0.0, full: 40.0}) == empty


def test_the_writer_with_memory_to_spare_by_its_own_word_gets_the_state():
    for roomy, full in ((11, 12), (12, 11)):
        d = Asking()
        d.arrive()
        d.tell(1), d.tell(2)
        d.end(1, Outcome.PREFILLED)
        d.tell(roomy, held=0.2)
        d.tell(full, held=0.9)
        assert d.sent[1].replica == roomy


class Others:
    """Dispatchers that talk: their tokens at each engine, and how much of that is fresh word."""

    def __init__(self, load: dict[int, float], sure: float) -> None:
        self.load, self.sure = load, sure

    def others(self, now: int, engine: int, waiting: int, load: int) -> tuple[float, float, float]:
        return self.load.get(engine, 0.0), self.load.get(engine, 0.0), self.sure


@pytest.mark.parametrize("sure", [1.0, 0.3, 0.05])
def test_the_others_word_moves_a_choice_at_once_and_no_probe_is_sent_where_engines_tell_nothing(sure):
    mute = replace(SETTINGS, instances=60)
    plain = Asking(mute).read({})
    for busy in (1, 2):
        d = Asking(mute)
        d.router.use_peers(Others({busy: 9000.0, busy + 10: 9000.0}, sure))
        r, _ = d.arrive(session=5)
        assert not d.out
        if sure < 0.1:  # hardly a word of it is fresh: as if nothing was said
            assert d.sent[r].replica == plain
            continue
        assert d.sent[r].replica == 3 - busy
        d.end(r, Outcome.PREFILLED)
        assert d.sent[r].replica == 23 - (busy + 10)


def test_one_probe_serves_all_that_wait_and_a_fresh_word_is_not_asked_for_again():
    d = Asking()
    first, _ = d.arrive(session=5)
    second, _ = d.arrive(session=6)
    assert sorted(d.out) == [1, 2]
    d.tell(1), d.tell(2)
    assert {first, second} <= d.sent.keys() and not d.out
    d.arrive(session=7)
    assert not d.out  # both have told just now
    d.wait(FRESH + 1)
    d.arrive(session=8)
    assert sorted(d.out) == [1, 2]


def test_nobody_waits_long_for_an_answer_and_the_one_that_gave_it_is_preferred():
    for silent, well in ((1, 2), (2, 1)):
        d = Asking()
        r, _ = d.arrive()
        d.tell(well, waiting=3.0)
        assert r not in d.sent
        d.wait(30 * MS)
        assert d.sent[r].replica == well  # who says nothing is not empty
        d.tell(silent, outcome=Outcome.TIMEOUT)
        for n in range(8):
            assert d.read({1: 9.0, 2: 9.0}, session=20 + n) == well


def test_a_mute_engine_is_tried_by_a_probe_and_never_by_a_request_until_it_answers():
    d, asked, period = Asking(), 0, 0
    d.arrive()
    d.tell(2), d.tell(1, outcome=Outcome.UNREACHABLE)
    for n in range(200):  # ten seconds of sessions, each at its own home
        d.wait(50 * MS)
        r, _ = d.arrive(session=100 + n)
        if 2 in d.out:
            d.tell(2)
        if 1 in d.out:
            asked += 1
            d.tell(1, outcome=Outcome.TIMEOUT)
        assert d.has_disconnected(r) == 2
    assert 4 <= asked <= 2 + math.log2(MOST_EJECTED / FIRST_EJECTED) + 10 * S / (0.75 * MOST_EJECTED)
    for n in range(200):
        d.wait(50 * MS)
        r, _ = d.arrive(session=400 + n)
        period += 1
        for engine in list(d.out):
            d.tell(engine)
        if d.has_disconnected(r) == 1:
            break
    assert period * 50 * MS < 1.3 * MOST_EJECTED


def test_a_probe_that_was_never_sent_says_nothing_and_one_that_is_lost_is_not_waited_for():
    d = Asking()
    r, _ = d.arrive()
    d.tell(1, outcome=Outcome.NOT_SENT), d.tell(2, outcome=Outcome.NOT_SENT)
    d.has_disconnected(r)
    assert {d.read({1: 0.0, 2: 0.0}, session=n) for n in range(30)} == {1, 2}
    d.wait(S)
    d.arrive(session=50)
    assert sorted(d.out) == [1, 2]  # and nobody ever tells how they end
    d.wait(3 * S)
    d.arrive(session=51)
    assert sorted(d.out) == [1, 1, 2, 2]


def test_an_engine_that_leaves_while_it_is_asked_and_a_client_that_does():
    d = Asking()
    r, _ = d.arrive()
    d.feed(EndpointsUpdated(False, (replace(FLEET[0], phase=Phase.GONE),)))
    d.tell(1), d.tell(2)
    assert d.sent[r].replica == 2
    d.wait(FRESH + 1)
    d.feed(EndpointsUpdated(False, (FLEET[0],)))
    gone, _ = d.arrive(session=9)
    d.feed(ClientDisconnected(gone))
    for engine in list(d.out):
        d.tell(engine)
    d.wait(S)
    assert gone not in d.sent and not d.router.looking


def test_a_word_fades_and_one_that_cannot_be_so_changes_nothing():
    reports = Reports()
    assert reports.receive(0, 1, (0.5, 8.0))
    for load in (None, (math.nan, 1.0), (0.1, math.inf), (-0.1, 1.0), (0.1, 1e9)):
        assert not reports.receive(FADE // 4, 1, load)
    fresh, old, gone = (reports.report(at, 1) for at in (0, FADE, 6 * FADE))
    assert (
        fresh.queued_tokens,
        fresh.confidence,
        old.queued_tokens,
        old.confidence,
        gone.queued_tokens,
        gone.confidence,
    ) == (8000, 1, 4000, 0.5, 0, 0)
    reports.keep([2])
    assert len(reports) == 0


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("inflight=7,queue=2,x0=0.61,x1=3.5", (0.61, 3.5)),
        (" x1=0 , x0=1e-3\r\n", (0.001, 0.0)),
        ("", None),
        ("x0=0.5", None),
        ("x0=0.5,x1=nan", None),
        ("x0=0.5,x1=-1", None),
        ("x0=0.5,x1=3,x1=4", None),
        ("x0=0.5,x1=3,", None),
        ("x0=0.5,x1", None),
        ("x0=0.5,x1=3.", None),
        ("x0=1e999,x1=1", None),
        ("<html>" * 900, None),
    ],
)
def test_a_report_is_believed_whole_or_not_at_all(text, load):
    assert parse_load_report(text) == load
