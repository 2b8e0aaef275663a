"""Each request is counted once, however it ends: a property test over random histories of one dispatcher."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from pearhill.core.request import Request, RequestSpec
from pearhill.routing.outcomes import Outcome
from tests.core.harness import IDEMPOTENT_CLASS, UNSAFE_CLASS, DispatcherHarness, RecordingClient

CLASSES = (IDEMPOTENT_CLASS, UNSAFE_CLASS)
RESULT_OF = {"finish": "success", "reject": "busy", "fail": "failure", "decline": "failure", "abort": "failure"}
OUTCOMES = (
    Outcome.ANSWERED,
    Outcome.PREFILLED,
    Outcome.ERROR,
    Outcome.TIMEOUT,
    Outcome.TRUNCATED,
    Outcome.FULL,
    Outcome.STATE_LOST,
    Outcome.UNREACHABLE,
    Outcome.DECLINED,
)
NUMBERS = st.integers(0, 30)
STEP = st.one_of(
    st.tuples(st.just("accept"), st.sampled_from(CLASSES), st.integers(1, 6_000_000)),
    st.tuples(st.just("end"), st.sampled_from(OUTCOMES), NUMBERS),
    st.tuples(st.just("start"), st.just(""), NUMBERS),
    st.tuples(st.just("disconnect"), st.just(""), NUMBERS),
    st.tuples(st.just("reject"), st.sampled_from(CLASSES), st.just(0)),
    st.tuples(st.just("wait"), st.just(""), st.integers(1, 3_000_000)),
)


@dataclass
class Accepted:
    request_class: int
    client: RecordingClient
    request: Request


class History:
    """Applies steps to one dispatcher and keeps the expected counts."""

    def __init__(self) -> None:
        self.harness = DispatcherHarness()
        self.accepted: list[Accepted] = []
        self.rejected_by_front = dict.fromkeys(CLASSES, 0)
        self.disconnected = 0

    def step(self, kind: str, value: Any, number: int) -> None:
        dispatcher = self.harness.dispatcher
        match kind:
            case "accept":
                client = RecordingClient()
                spec = RequestSpec(value, number, prompt_tokens=3000, max_output_tokens=100)
                self.accepted.append(Accepted(value, client, dispatcher.accept(spec, client, None)))
            case "reject":
                dispatcher.record_rejection(value)
                self.rejected_by_front[value] += 1
            case "wait":
                self.harness.wait(number)
            case "disconnect" if self.accepted:
                request = self.accepted[number % len(self.accepted)].request
                self.disconnected += not request.answered
                dispatcher.handle_disconnect(request)
            case _ if self.harness.sent:
                self.step_attempt(kind, value, number)

    def step_attempt(self, kind: str, outcome: Any, number: int) -> None:
        attempt = self.harness.sent[number % len(self.harness.sent)]
        if kind == "start":
            attempt.start_response()
            return
        declined = outcome == Outcome.DECLINED and not attempt.response_started
        attempt.end(outcome, replica_error="no" if declined else None)

    def check(self) -> None:
        dispatcher = self.harness.dispatcher
        ended = 0
        for request_class in CLASSES:
            calls = dispatcher.calls_by_class[request_class]
            rejected_by_front = self.rejected_by_front[request_class]
            assert calls.success == self.results(request_class).count("success")
            assert calls.busy == self.results(request_class).count("busy") + rejected_by_front
            assert calls.failure == self.results(request_class).count("failure")
            ended += calls.success + calls.busy + calls.failure - rejected_by_front
        assert all(len(each.client.answers) <= 1 for each in self.accepted)
        assert dispatcher.counters.taken == ended + dispatcher.inflight + self.disconnected
        assert dispatcher.inflight == sum(not each.request.answered for each in self.accepted)

    def results(self, request_class: int) -> list[str]:
        """The results that the answers to this class's requests count as."""
        return [
            RESULT_OF[answer]
            for each in self.accepted
            if each.request_class == request_class
            for answer in each.client.answers
        ]


@settings(deadline=None)
@given(st.lists(STEP, max_size=60))
def test_each_request_is_counted_once_at_its_end(steps: list[tuple[str, Any, int]]) -> None:
    history = History()
    for kind, value, number in steps:
        history.step(kind, value, number)
        history.check()
