"""A dispatcher without sockets or processes: a clock that the test advances, and a backend that records its calls."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from pearhill import settings
from pearhill.core.deadlines import Deadlines
from pearhill.core.dispatcher import Dispatcher
from pearhill.core.request import Attempt, Request, RequestSpec
from pearhill.counters import Counters
from pearhill.routing.outcomes import Outcome
from pearhill.routing.topology import Endpoint, Phase
from tests.standins import SETTINGS

IDEMPOTENT_CLASS, UNSAFE_CLASS = 0, 1  # indices of the classes in SETTINGS: idempotent, unsafe to repeat
PREFILL, DECODE, MIXED = 0, 1, 2  # indices of the kinds in SETTINGS, by role
PREFILL_REPLICA = 1
DECODE_REPLICAS = (2, 3)


def endpoint(replica: int, kind: int, phase: Phase = Phase.READY) -> Endpoint:
    """Returns an entry of the endpoint list in zone 0, with the same capacity as its peers."""
    return Endpoint(replica, 0, kind, 0, phase, 1.0, 0)


class RecordingClient:
    """A client that records its final answers. `disconnected` is what `has_disconnected` returns."""

    def __init__(self) -> None:
        self.answers: list[str] = []
        self.disconnected = False
        self.request: Request

    def reject(self, retry_after: int) -> None:
        self.answers.append("reject")

    def fail(self) -> None:
        self.answers.append("fail")

    def decline(self, replica_error: Any) -> None:
        self.answers.append("decline")

    async def forward(self, data: bytes) -> None:
        raise AssertionError("this client receives no data")

    def finish(self) -> None:
        self.answers.append("finish")

    def abort(self) -> None:
        self.answers.append("abort")

    def abandon(self) -> None:
        self.answers.append("abandon")

    def has_disconnected(self) -> bool:
        return self.disconnected

    def has_unread_input(self) -> bool:
        return False


class DispatcherHarness:
    """A dispatcher with one prefill replica and two decode replicas. The harness itself is its backend.

    `reached`: whether attempts have been written when they are cancelled. `on_cancel` is called before `cancel`
    returns that. `released` and `released_unless_fetched` hold the replicas of each call.
    """

    def __init__(self) -> None:
        self.now = 10**12
        self.sent: list[Attempt] = []
        self.released: list[set[int]] = []
        self.released_unless_fetched: list[set[int]] = []
        self.reached = True
        self.on_cancel: Any = lambda attempt: None
        self.deadlines = Deadlines(lambda: self.now)
        self.dispatcher = Dispatcher(settings.parse(SETTINGS), 1, self.deadlines, Counters())
        self.dispatcher.backend = self
        decode = [endpoint(replica, DECODE) for replica in DECODE_REPLICAS]
        self.dispatcher.update_endpoints(True, (endpoint(PREFILL_REPLICA, PREFILL), *decode))

    # Backend.

    def send(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt: Attempt) -> bool:
        self.on_cancel(attempt)
        return self.reached

    def may_have_been_sent(self, attempt: Attempt) -> bool:
        return self.reached

    def check_health(self, replica: int) -> None:
        raise AssertionError("a single dispatcher sends no health checks")

    def release(self, request: Request, replicas: Collection[int]) -> None:
        self.released.append(set(replicas))

    def release_unless_fetched(self, request: Request, replicas: Collection[int]) -> None:
        self.released_unless_fetched.append(set(replicas))

    # Steps of a test.

    def accept(self, request_class: int = IDEMPOTENT_CLASS, timeout: int = 5_000_000) -> RecordingClient:
        """Accepts a request of this class from a new client."""
        client = RecordingClient()
        spec = RequestSpec(request_class, timeout, prompt_tokens=3000, max_output_tokens=100)
        client.request = self.dispatcher.accept(spec, client, None)
        return client

    def accept_and_prefill(self, request_class: int = IDEMPOTENT_CLASS) -> RecordingClient:
        """Accepts a request and ends its prefill successfully; its decode attempt is then in flight as `sent[1]`."""
        client = self.accept(request_class)
        self.sent[0].end(Outcome.PREFILLED, may_hold_state=True)
        return client

    def wait(self, micros: int) -> None:
        """Advances the clock by `micros`, running each timer when it is due."""
        end = self.now + micros
        while (earliest := self.deadlines.earliest) is not None and earliest <= end:
            self.now = max(self.now, earliest)
            self.deadlines.run_due()
        self.now = end

    # State that a test checks.

    @property
    def router(self) -> Any:
        """The router, whose `handle` some tests replace."""
        return self.dispatcher.router

    @property
    def replicas_with_outcomes(self) -> list[int]:
        """The replicas for whose failure rate the router has recorded any outcome."""
        return [r.id for r in self.router.router.replicas.values() if r.failure_rate.weight]

    @property
    def replicas_with_failures(self) -> list[int]:
        """The replicas for which the router has recorded a failure."""
        return [r.id for r in self.router.router.replicas.values() if r.failure_rate.value]

    def assert_finished(self, client: RecordingClient, answers: list[str], released: list[set[int]]) -> None:
        """Asserts the client's final answers and the releases, and that no request is open."""
        assert client.answers == answers
        assert self.released == released
        assert self.dispatcher.requests == {}
