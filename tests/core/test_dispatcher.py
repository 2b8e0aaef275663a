"""Guarantees of the dispatcher that hold whatever the router, the backend, the endpoint list and the clients do."""

from __future__ import annotations

from dataclasses import replace

import pytest

from pearhill.core.request import Attempt, RequestSpec
from pearhill.routing.actions import Action, RejectRequest, SendAttempt
from pearhill.routing.events import Event, RequestArrived
from pearhill.routing.outcomes import Outcome
from pearhill.routing.topology import Phase
from tests.core.harness import (
    IDEMPOTENT_CLASS,
    MIXED,
    PREFILL,
    UNSAFE_CLASS,
    DispatcherHarness,
    RecordingClient,
    endpoint,
)
from tests.standins import SETTINGS

MAX_ATTEMPTS = SETTINGS["allowed"]["max-attempts"]
STATE_HOLD_TIME = SETTINGS["extra"]["release-within"]


@pytest.fixture
def h() -> DispatcherHarness:
    return DispatcherHarness()


# Answers.


def test_prefill_then_decode_then_one_answer(h: DispatcherHarness) -> None:
    client = h.accept()
    h.sent[0].end(Outcome.PREFILLED, may_hold_state=True)
    assert h.sent[0].replica == 1
    assert h.sent[1].start_response()
    h.sent[1].end(Outcome.ANSWERED)
    h.sent[1].end(Outcome.TRUNCATED)  # the first end counts
    h.assert_finished(client, ["finish"], [])


def test_a_request_past_its_deadline_on_acceptance_is_rejected_and_not_sent(h: DispatcherHarness) -> None:
    client = RecordingClient()
    spec = RequestSpec(UNSAFE_CLASS, 1000, prompt_tokens=3000, max_output_tokens=100)
    h.dispatcher.accept(spec, client, None, arrived=h.now - 1000)
    h.assert_finished(client, ["reject"], [])
    assert h.sent == []
    assert h.dispatcher.counters.refusals == {"expired": 1}


@pytest.mark.parametrize("request_class", [IDEMPOTENT_CLASS, UNSAFE_CLASS])
def test_every_request_has_one_answer_by_its_deadline_whatever_the_backend_does(
    h: DispatcherHarness, request_class: int
) -> None:
    client = h.accept(request_class)
    accepted_at = h.now
    h.wait(5_000_000)
    assert len(client.answers) == 1
    assert h.now <= accepted_at + 5_000_000


def test_a_request_fails_by_its_deadline_if_the_router_raises_an_exception(h: DispatcherHarness) -> None:
    h.router.handle = None
    client = h.accept()
    h.wait(6_000_000)
    assert client.answers == ["fail"]
    assert h.dispatcher.counters.faults > 0


def test_the_first_event_cancels_the_deadline_and_a_truncated_answer_is_aborted(h: DispatcherHarness) -> None:
    client = h.accept_and_prefill()
    h.sent[1].start_response()
    h.wait(20_000_000)
    assert client.answers == []
    h.sent[1].end(Outcome.TRUNCATED)
    assert client.answers == ["abort"]
    assert len(h.sent) == 2


# Clients that disconnect.


def test_an_attempt_is_not_started_if_the_client_disconnected_before_its_first_byte(h: DispatcherHarness) -> None:
    client = h.accept_and_prefill()
    assert h.sent[1].may_start()
    client.disconnected = True
    h.reached = False
    assert not h.sent[1].may_start()
    h.assert_finished(client, [], [{1}])
    assert h.dispatcher.counters.left == 1


def test_an_attempt_is_not_sent_if_the_client_disconnected_before_the_choice(h: DispatcherHarness) -> None:
    client = h.accept()
    client.disconnected = True
    h.sent[0].end(Outcome.PREFILLED, may_hold_state=True)
    h.assert_finished(client, [], [{1}])
    assert len(h.sent) == 1
    assert h.dispatcher.counters.left == 1


def test_a_client_that_disconnects_during_connection_setup_counts_no_failure_of_the_replica(
    h: DispatcherHarness,
) -> None:
    h.reached = False
    for _ in range(5):
        client = h.accept()
        h.dispatcher.handle_disconnect(client.request)
    assert h.dispatcher.counters.outcomes == {Outcome.NOT_SENT: 5}
    assert h.replicas_with_outcomes == []


def test_an_outcome_found_while_closing_the_connection_overrides_the_cancellation(h: DispatcherHarness) -> None:
    client = h.accept()
    h.on_cancel = lambda attempt: attempt.end(Outcome.PREFILLED, cached_tokens=7, may_hold_state=True)
    h.dispatcher.handle_disconnect(client.request)
    assert h.dispatcher.counters.outcomes == {"read": 1}
    assert h.released == [{1}]


@pytest.mark.parametrize(("reached", "released"), [(True, [{1}]), (False, [])])
def test_a_cancelled_prefill_is_released_unless_it_was_never_sent(
    h: DispatcherHarness, reached: bool, released: list[set[int]]
) -> None:
    h.reached = reached
    client = h.accept()
    h.dispatcher.handle_disconnect(client.request)
    h.assert_finished(client, [], released)


# The endpoint list.


@pytest.mark.parametrize("phase", [Phase.DRAINING, Phase.GONE])
def test_an_attempt_that_waits_for_its_connection_is_sent_elsewhere_when_its_replica_is_unlisted(
    h: DispatcherHarness, phase: Phase
) -> None:
    """A withdrawn attempt does not count as one: more replicas are unlisted than attempts are allowed."""
    h.reached = False
    client = unlist_chosen_replicas(h, phase)
    assert len({attempt.replica for attempt in h.sent}) == MAX_ATTEMPTS + 3
    assert h.dispatcher.counters.outcomes[Outcome.WITHDRAWN] == MAX_ATTEMPTS + 2
    answer_last_attempt(h, client)


def test_an_attempt_that_may_have_been_written_continues_when_its_replica_is_unlisted(h: DispatcherHarness) -> None:
    """It may be executed there. If the request were sent elsewhere, it would have two attempts in flight."""
    client = unlist_chosen_replicas(h, Phase.DRAINING)
    assert len({attempt.replica for attempt in h.sent}) == 1
    assert h.dispatcher.counters.outcomes[Outcome.WITHDRAWN] == 0
    answer_last_attempt(h, client)


def unlist_chosen_replicas(h: DispatcherHarness, phase: Phase) -> RecordingClient:
    """Accepts an unsafe request with many replicas listed, and repeatedly unlists the replica that was chosen."""
    mixed = range(10, MAX_ATTEMPTS + 13)
    h.dispatcher.update_endpoints(True, tuple(endpoint(replica, MIXED) for replica in mixed))
    client = h.accept(UNSAFE_CLASS)
    for _ in range(MAX_ATTEMPTS + 2):
        h.dispatcher.update_endpoints(False, (endpoint(h.sent[-1].replica, MIXED, phase),))
    return client


def answer_last_attempt(h: DispatcherHarness, client: RecordingClient) -> None:
    """Checks that no outcome was recorded and the client has no answer yet, and then answers the last attempt."""
    assert client.answers == []
    assert h.replicas_with_outcomes == []
    h.sent[-1].start_response()
    h.sent[-1].end(Outcome.ANSWERED)
    h.assert_finished(client, ["finish"], [])


@pytest.mark.parametrize("phase", [Phase.DRAINING, Phase.GONE])
def test_a_replica_that_is_not_listed_as_ready_gets_no_attempt_even_if_the_router_requests_one(
    h: DispatcherHarness, phase: Phase
) -> None:
    h.dispatcher.endpoints.update({n: replace(e, phase=phase) for n, e in h.dispatcher.endpoints.items()})
    client = h.accept()
    assert h.sent == []
    assert client.answers == ["reject"]


def test_an_unsafe_request_that_was_withdrawn_before_it_was_sent_is_sent_elsewhere(h: DispatcherHarness) -> None:
    h.dispatcher.update_endpoints(False, (endpoint(1, PREFILL, Phase.GONE), endpoint(5, MIXED), endpoint(6, MIXED)))
    h.accept(UNSAFE_CLASS)
    first = h.sent[-1]
    h.reached = False
    h.dispatcher.update_endpoints(False, (endpoint(first.replica, MIXED, Phase.GONE),))
    assert len({attempt.replica for attempt in h.sent}) == 2


# Time limits for writing an attempt and for fetching a state.


def test_an_attempt_not_started_in_time_is_withdrawn_and_counts_no_failure_of_the_replica(h: DispatcherHarness) -> None:
    """State is fetched within `release-within` or released. Its fetch waits for a connection until then."""
    client = h.accept_and_prefill(UNSAFE_CLASS)
    assert h.sent[1].send_before == h.now + STATE_HOLD_TIME
    h.reached = False
    h.now += STATE_HOLD_TIME
    assert not h.sent[1].may_start()
    assert h.dispatcher.counters.outcomes[Outcome.WITHDRAWN] == 1
    assert h.released == [{1}]
    assert client.answers == []
    assert h.replicas_with_failures == []
    assert h.sent[2].replica == 1  # prefilled again, since nothing has been executed


def test_an_unsafe_request_partly_written_at_its_time_limit_fails_and_is_not_resent(h: DispatcherHarness) -> None:
    """Its last byte may have been sent in this same tick. If rejected or sent elsewhere, it could be executed twice."""
    client = h.accept_and_prefill(UNSAFE_CLASS)
    h.now = h.sent[1].send_before
    h.sent[1].withdraw()
    assert client.answers == ["fail"]
    assert len(h.sent) == 2
    assert h.released == [{1, h.sent[1].replica}]
    assert h.dispatcher.counters.outcomes[Outcome.WITHDRAWN] == 0


def test_a_state_whose_fetch_gets_no_response_is_released_in_time_and_again_when_the_fetch_ends(
    h: DispatcherHarness,
) -> None:
    client = h.accept_and_prefill()
    cancelled: list[Attempt] = []
    h.on_cancel = cancelled.append
    h.wait(STATE_HOLD_TIME - 1)
    assert h.released_unless_fetched == []
    h.wait(1)
    assert h.released_unless_fetched == [{1}]
    assert h.released == []
    assert len(h.sent) == 2
    h.dispatcher.handle_disconnect(client.request)
    assert h.released == [{1, h.sent[1].replica}]
    assert cancelled == [h.sent[1]]  # the backend follows it, and repeats the release once it has ended


def test_a_state_whose_fetch_gets_a_response_in_time_is_not_released(h: DispatcherHarness) -> None:
    h.accept_and_prefill()
    h.sent[1].start_response()
    h.wait(STATE_HOLD_TIME)
    assert h.released_unless_fetched == []
    assert h.released == []


# At most one attempt in flight, and at most one execution.


def test_a_second_attempt_is_not_sent_while_one_is_in_flight_even_if_the_router_requests_it(
    h: DispatcherHarness,
) -> None:
    handle = h.router.handle

    def with_second_attempts(now: int, event: Event) -> list[Action]:
        actions = []
        for action in handle(now, event):
            actions.append(action)
            if isinstance(action, SendAttempt):
                actions.append(replace(action, replica=3))
        return actions

    h.router.handle = with_second_attempts
    h.accept(UNSAFE_CLASS)
    assert len(h.sent) == 1


def test_a_request_that_may_have_executed_is_not_resent_or_rejected_even_if_the_router_requests_it(
    h: DispatcherHarness,
) -> None:
    """Both actions are counted as violations, and the client receives a failure."""
    client = h.accept_and_prefill(UNSAFE_CLASS)
    number = client.request.number
    requested: list[Action] = [SendAttempt(number, h.sent[1].replica, 10**6)]
    h.router.handle = lambda now, event: [requested.pop()] if requested else []
    h.sent[1].end(Outcome.TRUNCATED, may_hold_state=True)
    assert len(h.sent) == 2
    requested.append(RejectRequest(number, 0))
    h.dispatcher.update_endpoints(False, ())
    assert client.answers == ["fail"]
    assert dict(h.dispatcher.counters.violations) == {"may-have-run": 1, "refused-after-effect": 1}


def test_the_old_attempt_is_closed_before_the_next_is_sent(h: DispatcherHarness) -> None:
    client = h.accept_and_prefill()
    closed_after: list[int] = []
    h.on_cancel = lambda attempt: closed_after.append(len(h.sent))
    h.wait(4_900_000)
    assert closed_after[0] == 2
    assert len(h.sent) > 2
    assert len({attempt.request for attempt in h.sent if not attempt.ended}) == (0 if client.answers else 1)


def test_a_request_is_answered_by_the_router_in_time_after_a_stall_during_its_acceptance(h: DispatcherHarness) -> None:
    """The router rejects a request that no replica answers in time. The core itself would fail it and log an error."""
    handle = h.router.handle

    def with_stall(now: int, event: Event) -> list[Action]:
        actions: list[Action] = handle(now, event)
        if isinstance(event, RequestArrived):
            h.now += 10_000  # the process is stalled
        return actions

    h.router.handle = with_stall
    client = h.accept()
    h.wait(5_000_000)
    assert client.answers == ["reject"]
    assert not h.dispatcher.counters.failures


def test_a_request_queued_behind_a_slow_event_is_answered_by_the_router_in_time(h: DispatcherHarness) -> None:
    """Its deadline runs from its acceptance. If the router counted from a later time, it would answer too late."""
    handle = h.router.handle
    waiting: list[RecordingClient] = []

    def with_another_request(now: int, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived) and not waiting:
            waiting.append(h.accept())
            h.now += 10_000
        actions: list[Action] = handle(now, event)
        return actions

    h.router.handle = with_another_request
    first = h.accept()
    h.wait(5_000_000)
    assert [client.answers for client in (first, *waiting)] == [["reject"], ["reject"]]
    assert not h.dispatcher.counters.failures
