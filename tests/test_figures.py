"""The figures add up, whatever ends a request: a property over random lives, on the core alone."""

from hypothesis import given
from hypothesis import settings as rounds
from hypothesis import strategies as st

from pearhill.core.request import RequestSpec
from pearhill.routing.outcomes import Outcome
from tests.core import test_dispatcher
from tests.core.test_dispatcher import ADVICE, BOOKING

ENDS = [
    Outcome.ANSWERED,
    Outcome.PREFILLED,
    Outcome.ERROR,
    Outcome.TIMEOUT,
    Outcome.TRUNCATED,
    Outcome.FULL,
    Outcome.STATE_LOST,
    Outcome.UNREACHABLE,
    Outcome.DECLINED,
]
STEP = st.one_of(
    st.tuples(st.just("take"), st.sampled_from((ADVICE, BOOKING)), st.integers(1, 6_000_000)),
    st.tuples(st.just("end"), st.sampled_from(ENDS), st.integers(0, 30)),
    st.tuples(st.just("begin"), st.just(""), st.integers(0, 30)),
    st.tuples(st.just("leave"), st.just(""), st.integers(0, 30)),
    st.tuples(st.just("away"), st.sampled_from((ADVICE, BOOKING)), st.just(0)),
    st.tuples(st.just("wait"), st.just(""), st.integers(1, 3_000_000)),
)


class Client:
    def __init__(self) -> None:
        self.ends: list[str] = []

    def reject(self, stay_away: int) -> None:
        self.ends.append("busy")

    def fail(self) -> None:
        self.ends.append("failure")

    def decline(self, said: object) -> None:
        self.ends.append("failure")

    def finish(self) -> None:
        self.ends.append("success")

    def abort(self) -> None:
        self.ends.append("failure")

    def has_disconnected(self) -> bool:
        return False


@rounds(deadline=None)
@given(st.lists(STEP, max_size=60))
def test_each_request_is_counted_once_at_its_end(steps):
    case = test_dispatcher.Core("run")
    case.setUp()
    core, clients, away, left = case.core, [], [0, 0], 0
    for what, which, number in steps:
        if what == "take":
            client = Client()
            clients.append(
                (
                    which,
                    client,
                    core.accept(RequestSpec(which, number, prompt_tokens=3000, max_output_tokens=100), client, None),
                )
            )
        elif what == "away":
            core.record_rejection(which)
            away[which] += 1
        elif what == "wait":
            case.wait(number)
        elif what == "leave" and clients:
            request = clients[number % len(clients)][2]
            left += not request.answered
            core.disconnect(request)
        elif case.sent:
            attempt = case.sent[number % len(case.sent)]
            if what == "begin":
                attempt.start_response()
            else:
                attempt.end(
                    which, replica_error="no" if which == Outcome.DECLINED and not attempt.response_started else None
                )
        ended = 0
        for cls in (ADVICE, BOOKING):
            told = core.calls_by_class[cls]
            for name in ("success", "busy", "failure"):
                seen = sum(client.ends.count(name) for c, client, _ in clients if c == cls)
                assert getattr(told, name) == seen + (away[cls] if name == "busy" else 0)
            ended += told.success + told.busy + told.failure - away[cls]
        assert all(len(client.ends) <= 1 for _, client, _ in clients)
        assert core.counters.taken == ended + core.inflight + left
        assert core.inflight == sum(not request.answered for _, _, request in clients)
