"""The core and the state machines by themselves: no socket, no process, a clock by hand."""

import unittest
from dataclasses import replace
from typing import Any

from pearhill import settings
from pearhill.core.deadlines import Deadlines
from pearhill.core.dispatcher import Dispatcher
from pearhill.core.request import Attempt, RequestSpec
from pearhill.counters import Counters
from pearhill.routing.actions import Action, RejectRequest, SendAttempt
from pearhill.routing.outcomes import Outcome
from pearhill.routing.topology import Endpoint, Phase
from tests.standins import SETTINGS

ADVICE, BOOKING = 0, 1


class Client:
    """What a front is told."""

    def __init__(self) -> None:
        self.told: list[str] = []
        self.closed = False  # unseen until somebody looks

    def reject(self, stay_away: int) -> None:
        self.told.append("refuse")

    def fail(self) -> None:
        self.told.append("fail")

    async def forward(self, data: bytes) -> None:
        raise AssertionError("no data here")

    def finish(self) -> None:
        self.told.append("finish")

    def abort(self) -> None:
        self.told.append("abort")

    def has_disconnected(self) -> bool:
        return self.closed


class Core(unittest.TestCase):
    def setUp(self) -> None:
        self.now, self.sent, self.released, self.reached = 10**12, list[Attempt](), list[set[int]](), True
        self.reminded = list[set[int]]()
        self.on_cancel: Any = lambda attempt: None
        self.deadlines = Deadlines(lambda: self.now)
        self.core = Dispatcher(settings.parse(SETTINGS), 1, self.deadlines, Counters())
        self.core.backend = self
        self.core.update_endpoints(
            True, tuple(Endpoint(n, 0, kind, 0, Phase.READY, 1.0, 0) for n, kind in ((1, 0), (2, 1), (3, 1)))
        )

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt: Attempt) -> bool:
        self.on_cancel(attempt)
        return self.reached

    def has_started(self, attempt: Attempt) -> bool:
        return self.reached

    def release(self, request: Any, engines: set[int]) -> None:
        self.released.append(set(engines))

    def release_unless_fetched(self, request: Any, engines: set[int]) -> None:
        self.reminded.append(set(engines))

    def take(self, cls: int = ADVICE, ttl: int = 5_000_000) -> Client:
        client = Client()
        client.request = self.core.accept(
            RequestSpec(cls, ttl, prompt_tokens=3000, max_output_tokens=100), client, None
        )
        return client

    def wait(self, micros: int) -> None:
        end = self.now + micros
        while (earliest := self.deadlines.earliest) is not None and earliest <= end:
            self.now = max(self.now, earliest)
            self.deadlines.sweep()
        self.now = end

    def test_two_stages_then_one_answer(self):
        client = self.take()
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.assertEqual([a.replica for a in self.sent][0], 1)
        self.assertTrue(self.sent[1].start_response())
        self.sent[1].end(Outcome.ANSWERED)
        self.sent[1].end(Outcome.TRUNCATED)  # one end counts
        self.assertEqual((client.told, self.released, self.core.requests), (["finish"], [], {}))

    def test_what_waits_for_its_connection_goes_elsewhere_when_the_list_takes_its_engine_away(self):
        """Not when bytes of it are out: then it may run, and two would be out. Nothing is spent on it: with as many
        attempts as are allowed, more engines go than that."""
        most = SETTINGS["allowed"]["max-attempts"]
        for phase, reached in ((Phase.DRAINING, False), (Phase.GONE, False), (Phase.DRAINING, True)):
            with self.subTest(phase=phase, reached=reached):
                self.setUp()
                self.reached = reached
                self.core.update_endpoints(
                    True, tuple(Endpoint(n, 0, 2, 0, Phase.READY, 1.0, 0) for n in range(10, most + 13))
                )
                client = self.take(BOOKING)
                for _ in range(most + 2):
                    at = self.sent[-1].replica
                    self.core.update_endpoints(False, (Endpoint(at, 0, 2, 0, phase, 1.0, 0),))
                self.assertEqual(client.told, [])
                self.assertEqual(len({a.replica for a in self.sent}), 1 if reached else most + 3)
                self.assertEqual(self.core.counters.outcomes[Outcome.WITHDRAWN], 0 if reached else most + 2)
                self.assertFalse([e.id for e in self.core.router.router.replicas.values() if e.failure_rate.weight])
                self.sent[-1].start_response()
                self.sent[-1].end(Outcome.ANSWERED)
                self.assertEqual((client.told, self.released, self.core.requests), (["finish"], [], {}))

    def test_nothing_is_begun_for_a_client_that_is_seen_to_have_gone(self):
        """Neither at the choice nor at the first byte; what was held for it is let go of."""
        client = self.take()
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.assertTrue(self.sent[1].may_start())
        client.closed, self.reached = True, False
        self.assertFalse(self.sent[1].may_start())
        self.assertEqual((client.told, self.released, self.core.requests, self.core.counters.left), ([], [{1}], {}, 1))
        client = self.take()
        client.closed = True
        self.sent[2].end(Outcome.PREFILLED, may_hold=True)
        self.assertEqual((len(self.sent), client.told, self.released, self.core.counters.left), (3, [], [{1}, {1}], 2))
        self.assertEqual(self.core.requests, {})

    def test_an_attempt_whose_time_to_be_written_is_over_never_ran_and_blames_nobody(self):
        """A state is fetched within `release-within` or let go; it waits for a connection until then."""
        client = self.take(BOOKING)
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        within = SETTINGS["extra"]["release-within"]
        self.assertEqual(self.sent[1].send_before, self.now + within)
        self.reached = False
        self.now += within
        self.assertFalse(self.sent[1].may_start())
        self.assertEqual((self.core.counters.outcomes[Outcome.WITHDRAWN], self.released, client.told), (1, [{1}], []))
        self.assertFalse([e.id for e in self.core.router.router.replicas.values() if e.failure_rate.value])
        self.assertEqual(self.sent[2].replica, 1)  # read anew: it has run nowhere

    def test_a_booking_that_was_being_written_when_its_time_was_over_may_have_run(self):
        """Its last byte may have left in the very turn; refused, or sent elsewhere, it would run twice."""
        client = self.take(BOOKING)
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.now = self.sent[1].send_before
        self.sent[1].withdraw()
        self.assertEqual((client.told, len(self.sent), self.released), (["fail"], 2, [{1, self.sent[1].replica}]))
        self.assertEqual(self.core.counters.outcomes[Outcome.WITHDRAWN], 0)

    def test_what_a_fetch_without_a_sign_is_for_is_let_go_of_in_time_and_once_more_at_its_end(self):
        within = SETTINGS["extra"]["release-within"]
        client = self.take()
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.wait(within - 1)
        self.assertEqual(self.reminded, [])
        self.wait(1)
        self.assertEqual((self.reminded, self.released, len(self.sent)), ([{1}], [], 2))
        self.core.disconnect(client.request)
        self.assertEqual((self.released, client.request.interrupted), ([{1, self.sent[1].replica}], True))

    def test_a_fetch_that_has_begun_in_time_needs_no_release(self):
        self.take()
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.sent[1].start_response()
        self.wait(SETTINGS["extra"]["release-within"])
        self.assertEqual((self.reminded, self.released), ([], []))

    def test_a_second_attempt_is_not_sent_while_one_is_out_whatever_the_router_wants(self):
        handle = self.core.router.handle
        self.core.router.handle = lambda now, event: [  # type: ignore[method-assign]
            action
            for sent in handle(now, event)
            for action in ([sent, replace(sent, replica=3)] if isinstance(sent, SendAttempt) else [sent])
        ]
        self.take(BOOKING)
        self.assertEqual(len(self.sent), 1)

    def test_an_effect_is_not_repeated_nor_its_request_refused_whatever_the_router_wants(self):
        """Both are counted as violations; the client hears that it failed."""
        client = self.take(BOOKING)
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        number, writer = client.request.number, self.sent[1].replica
        wanted: list[Action] = [SendAttempt(number, writer, 10**6)]
        self.core.router.handle = lambda now, event: [wanted.pop()] if wanted else []  # type: ignore[method-assign]
        self.sent[1].end(Outcome.TRUNCATED, may_hold=True)
        self.assertEqual(len(self.sent), 2)
        wanted.append(RejectRequest(number, 0))
        self.core.update_endpoints(False, ())
        self.assertEqual(client.told, ["fail"])
        self.assertEqual(dict(self.core.counters.violations), {"may-have-run": 1, "refused-after-effect": 1})

    def test_a_client_that_leaves_while_its_connection_comes_up_blames_no_engine(self):
        self.reached = False
        for _ in range(5):
            client = self.take()
            self.core.disconnect(client.request)
        self.assertEqual(self.core.counters.outcomes, {Outcome.NOT_SENT: 5})
        self.assertFalse([e.id for e in self.core.router.router.replicas.values() if e.failure_rate.weight])

    def test_a_request_whose_time_was_over_before_its_turn_is_refused_and_not_sent(self):
        client = Client()
        self.core.accept(
            RequestSpec(BOOKING, 1000, prompt_tokens=3000, max_output_tokens=100), client, None, arrived=self.now - 1000
        )
        self.assertEqual((client.told, self.sent, self.core.requests), (["refuse"], [], {}))
        self.assertEqual(self.core.counters.refusals, {"expired": 1})

    def test_an_engine_that_the_list_does_not_name_as_ready_gets_nothing_whatever_the_router_wants(self):
        for phase in (Phase.DRAINING, Phase.GONE):
            self.setUp()
            self.core.endpoints.update({n: replace(e, phase=phase) for n, e in self.core.endpoints.items()})
            client = self.take()
            self.assertEqual((self.sent, client.told), ([], ["refuse"]))

    def test_every_request_has_one_answer_by_its_deadline_whatever_the_backend_does(self):
        for cls in (ADVICE, BOOKING):
            client, at = self.take(cls), self.now
            self.wait(5_000_000)
            self.assertEqual(len(client.told), 1)
            self.assertLessEqual(self.now, at + 5_000_000)

    def test_a_router_that_fails_leaves_nobody_without_an_answer(self):
        self.core.router.handle = None  # type: ignore[method-assign, assignment]
        client = self.take()
        self.wait(6_000_000)
        self.assertEqual(client.told, ["fail"])
        self.assertGreater(self.core.counters.faults, 0)

    def test_the_clock_stops_with_the_first_event_and_a_break_is_no_end(self):
        client = self.take()
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.sent[1].start_response()
        self.wait(20_000_000)
        self.assertEqual(client.told, [])
        self.sent[1].end(Outcome.TRUNCATED)
        self.assertEqual((client.told, len(self.sent)), (["abort"], 2))

    def test_the_old_attempt_is_closed_before_the_next_is_sent(self):
        client, order = self.take(), list[str]()
        self.sent[0].end(Outcome.PREFILLED, may_hold=True)
        self.on_cancel = lambda attempt: order.append(f"close {len(self.sent)}")
        self.wait(4_900_000)
        self.assertEqual(order[0], "close 2")
        self.assertGreater(len(self.sent), 2)
        self.assertEqual(len({a.request for a in self.sent if not a.ended}), 0 if client.told else 1)

    def test_an_outcome_in_hand_wins_over_a_call_off(self):
        client = self.take()
        self.on_cancel = lambda attempt: attempt.end(Outcome.PREFILLED, cached_tokens=7, may_hold=True)
        self.core.disconnect(client.request)
        self.assertEqual(self.core.counters.outcomes, {"read": 1})
        self.assertEqual(self.released, [{1}])

    def test_a_read_that_is_cut_off_is_released_unless_it_never_arrived(self):
        for self.reached, released in ((True, [{1}]), (False, [])):
            self.released.clear()
            client = self.take()
            self.core.disconnect(client.request)
            self.assertEqual((self.released, client.told, self.core.requests), (released, [], {}))

    def test_a_booking_that_was_called_off_before_it_was_sent_may_go_elsewhere(self):
        self.core.update_endpoints(
            False,
            (
                Endpoint(1, 0, 0, 0, Phase.GONE, 1.0, 0),
                Endpoint(5, 0, 2, 0, Phase.READY, 1.0, 0),
                Endpoint(6, 0, 2, 0, Phase.READY, 1.0, 0),
            ),
        )
        self.take(BOOKING)
        first, self.reached = self.sent[-1], False
        self.core.update_endpoints(False, (Endpoint(first.replica, 0, 2, 0, Phase.GONE, 1.0, 0),))
        self.assertEqual(len({a.replica for a in self.sent}), 2)
