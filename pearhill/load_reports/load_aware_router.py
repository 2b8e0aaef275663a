"""A Router that sees: before a choice it looks at what the engines in question tell of themselves.

The Router says between whom it is to choose (`Look`). Here it is decided whom to ask, and for how long the request
may wait for that; the Router gets what is known as facts (`Looked`) and chooses. One probe of an engine serves all
requests that wait for it. An engine that answers no probe is ejected: the Router is told so, and asks elsewhere,
without a request having been lost there; and it is a probe, never a request, that finds out when it is back.
"""

from __future__ import annotations

import random
from typing import Protocol

from pearhill.load_reports.query_policy import roles_worth_querying
from pearhill.load_reports.reports import Reports
from pearhill.routing.actions import Action, QueryLoad, SendHealthCheck, SetTimer
from pearhill.routing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    Event,
    HealthCheckEnded,
    LoadKnown,
    LoadReport,
    TimerFired,
)
from pearhill.routing.outcomes import Outcome
from pearhill.routing.router import OUTLIER, Router
from pearhill.routing.settings import RouterSettings
from pearhill.routing.topology import Phase, Role

WAIT_SHARE = 1 / 40  # of the shortest aim: so long a request waits for what it asked
FIRST_TIMER = 1 << 31  # the Router counts its own up from 1
# After the first probe without an answer; doubled with each further one.
FIRST_EJECTED, MOST_EJECTED = 400_000, 3_200_000
SAMPLE = 0.1  # of what the other dispatchers have, to be believed for all of it
GIVEN_UP = 2_000_000  # a probe whose end nobody told; the driver ends each much sooner


class PendingQuery:
    """One request that waits for what was asked on its behalf."""

    def __init__(self, engines: tuple[int, ...], missing: set[int], timer: int) -> None:
        self.engines, self.missing, self.timer = engines, missing, timer


class UnansweredChecks:
    """How long an engine has answered nobody here."""

    def __init__(self) -> None:
        self.times, self.until = 0, 0


class PeerLoadSource(Protocol):
    """Other dispatchers that say what work they have (`pearhill.membership`)."""

    def others(self, now: int, engine: int, waiting: int, load: int) -> tuple[float, float, float]:
        """Their tokens at an engine where I have this much: yet to be read, under way in all; and how sure that is."""


class LoadAwareRouter:
    """Feed it every event with its time, as one would a Router; do what it returns, in order."""

    def __init__(self, settings: RouterSettings, seed: int) -> None:
        self.router = Router(settings, seed)
        # Danger: dispatchers that found an engine silent at the same moment would all ask again at the same moment.
        self.rng = random.Random(seed ^ 0x5C007)
        self.reports = Reports()
        self.peers: PeerLoadSource | None = None
        self.asked: dict[int, int] = {}  # engines with a probe out, and since when
        self.looking: dict[int, PendingQuery] = {}
        self.silences: dict[int, UnansweredChecks] = {}
        self.timers: dict[int, int] = {}  # the request that each is for
        self.timer = FIRST_TIMER
        self.reconfigure(settings)

    def reconfigure(self, settings: RouterSettings) -> None:
        """Other figures for the same classes, kinds and zones."""
        self.router.reconfigure(settings)
        self.probes = roles_worth_querying(settings)
        self._looks()
        # Danger: a state that waits at a reader meanwhile must be taken or let go of in time.
        self.wait = max(
            settings.tick,
            min(
                int(min(spec.latency_objective for spec in settings.classes) * WAIT_SHARE),
                settings.state_hold_time // 4,
            ),
        )

    def use_peers(self, peers: PeerLoadSource | None) -> None:
        """From now on these say what they have. What they say costs nothing more, so that every choice is looked at."""
        self.peers = peers
        self._looks()

    def own_load(self) -> list[tuple[int, int, int]]:
        """My tokens at each engine: its number, yet to be read there, under way there in all."""
        return [
            (e.id, e.tokens_queued, e.tokens_in_flight)
            for e in self.router.replicas.values()
            if e.tokens_queued or e.tokens_in_flight
        ]

    def loads(self, now: int) -> dict[int, tuple[int, int, bool]]:
        """Of each listed engine: my tokens yet to be read there, mine under way there in all, whether I avoid it."""
        ejected = self._ejected(now)
        return {
            e.id: (e.tokens_queued, e.tokens_in_flight, e.id in ejected or self._ejected_until(now, e.id) > 0)
            for e in self.router.replicas.values()
        }

    def _ejected(self, now: int) -> set[int]:
        """Listed engines that get nothing new for now, by the list's word or by the Router's outlier ejection."""
        router = self.router
        line = min((fails.value_with_prior(now, 0.0) for fails in router.zones.values()), default=0.0) + OUTLIER
        return {
            e.id
            for e in router.replicas.values()
            if e.endpoint.phase != Phase.READY
            or e.unavailable_until > now
            or e.failure_rate.value_with_prior(now, 0.0) >= line
        }

    def _looks(self) -> None:
        self.router.query_roles = frozenset((Role.PREFILL, Role.DECODE, Role.MIXED)) if self.peers else self.probes

    def avoided_count(self, now: int) -> int:
        return sum(avoided for _, _, avoided in self.loads(now).values())

    def handle(self, now: int, event: Event) -> list[Action]:
        """One event in, the actions it asks for out."""
        match event:
            case HealthCheckEnded():
                return self._probed(now, event)
            case TimerFired() if event.timer >= FIRST_TIMER:
                request = self.timers.pop(event.timer, 0)
                return self._seen(now, request) if request in self.looking else []
            case AttemptEnded() if event.load:
                self.reports.receive(now, event.replica, event.load)
            case ClientDisconnected():
                self.looking.pop(event.request, None)
        actions = self._answered(now, self.router.handle(now, event))
        if isinstance(event, EndpointsUpdated):
            self._listed()
        return actions

    def _listed(self) -> None:
        there = self.router.replicas.keys()
        self.reports.keep(there)
        for gone in self.silences.keys() - there:
            del self.silences[gone]
        for gone in self.asked.keys() - there:  # its Probed may still come, and then finds nobody waiting
            del self.asked[gone]

    def _answered(self, now: int, actions: list[Action]) -> list[Action]:
        """The Router's actions, its looks replaced by what they ask for, or by what it does when told at once."""
        if not any(isinstance(action, QueryLoad) for action in actions):
            return actions
        out: list[Action] = []
        for action in actions:
            out += self._look(now, action) if isinstance(action, QueryLoad) else [action]
        return out

    def _look(self, now: int, look: QueryLoad) -> list[Action]:
        roles = {e: self.router.replicas[e].role for e in look.replicas}
        missing = {
            e
            for e in look.replicas
            if roles[e] in self.probes and not self.reports.fresh(now, e) and not self._ejected_until(now, e)
        }
        if not missing:
            return self._facts(now, look.request, look.replicas)
        probes: list[Action] = [
            SendHealthCheck(e) for e in sorted(missing) if now - self.asked.get(e, -GIVEN_UP) >= GIVEN_UP
        ]
        for probe in probes:
            assert isinstance(probe, SendHealthCheck)
            self.asked[probe.replica] = now
        self.timer += 1
        self.timers[self.timer] = look.request
        self.looking[look.request] = PendingQuery(look.replicas, missing, self.timer)
        return [*probes, SetTimer(self.timer, self.wait)]

    def _ejected_until(self, now: int, engine: int) -> int:
        silence = self.silences.get(engine)
        return silence.until if silence and silence.until > now else 0

    def _probed(self, now: int, event: HealthCheckEnded) -> list[Action]:
        self.asked.pop(event.replica, None)
        if event.outcome == Outcome.ANSWERED:
            self.silences.pop(event.replica, None)
            self.reports.receive(now, event.replica, event.load)
        elif event.outcome != Outcome.NOT_SENT and event.replica in self.router.replicas:
            silence = self.silences.setdefault(event.replica, UnansweredChecks())
            wait = min(MOST_EJECTED, FIRST_EJECTED << min(8, silence.times))
            silence.times, silence.until = silence.times + 1, now + int(wait * self.rng.uniform(0.75, 1.25))
        out: list[Action] = []
        waiting = [r for r, looking in self.looking.items() if event.replica in looking.missing]
        for request in waiting:
            looking = self.looking[request]
            looking.missing.discard(event.replica)
            if not looking.missing:
                out += self._seen(now, request)
        return out

    def _seen(self, now: int, request: int) -> list[Action]:
        looking = self.looking.pop(request)
        self.timers.pop(looking.timer, None)
        # Danger: of an engine that has not answered in time nothing is known, and so it would look the emptier of the
        # two: the silent one would get the request. Until its probe ends it is ejected for as long as was waited.
        for late in looking.missing:
            silence = self.silences.setdefault(late, UnansweredChecks())
            silence.until = max(silence.until, now + self.wait)
        return self._facts(now, request, looking.engines)

    def _told(self, now: int, engine: int) -> LoadReport:
        """Its own word, or, where that says less, the sum of what all dispatchers have there."""
        told = self.reports.report(now, engine, self._ejected_until(now, engine))
        if self.peers is None or (e := self.router.replicas.get(engine)) is None or told.confidence > 0.5:
            return told
        waiting, load, sure = self.peers.others(now, engine, e.tokens_queued, e.tokens_in_flight)
        # Danger: believed only while most of it is fresh, in a fleet of hundreds the sum would never count. What is not
        # fresh in it is assumed by the mean of what is, so that a small part tells as much as a sample does.
        if sure <= SAMPLE:
            return told
        return LoadReport(
            engine,
            min(1.0, (e.tokens_in_flight + load) / e.memory_tokens),
            e.tokens_queued + waiting,
            1.0,
            told.ejected_until,
        )

    def _facts(self, now: int, request: int, engines: tuple[int, ...]) -> list[Action]:
        told = tuple(self._told(now, e) for e in engines)
        return self._answered(now, self.router.handle(now, LoadKnown(request, told)))
