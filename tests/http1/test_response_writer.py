"""Nothing is sent on behalf of a response that has ended, in any order of calls."""

import asyncio
import re
from collections.abc import Coroutine
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearhill.chat.answers import HEARTBEAT, Answer, HeartbeatTimer
from pearhill.chat.prompt import ResponseFormat
from pearhill.core.deadlines import Deadlines
from pearhill.http1.messages import Headers
from pearhill.http1.response_writer import ResponseWriter

CALLS = ("answer", "reject", "start", "write", "finish", "abort")
WELL_FORMED = re.compile("answer|reject|abort|start( write)*( finish| abort)?|")
HEARTBEAT_INTERVAL_US = 1_000
EVENT = b"data: x\n\n"
ENDINGS = ("finish", "abort", "fail", "reject", "handle_disconnect")


class RecordingReply:
    """A connection, which records what is sent on it."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.written: list[bytes] = []

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        self.calls.append("answer")

    def reject(self, status: int, headers: Headers, body: bytes) -> None:
        self.calls.append("reject")

    def start(self, status: int, headers: Headers = ()) -> None:
        self.calls.append("start")

    async def write(self, data: bytes) -> None:
        self.calls.append("write")
        self.written.append(data)

    def finish(self, last: bytes = b"") -> None:
        self.calls.append("finish")

    def abort(self, last: bytes = b"") -> None:
        self.calls.append("abort")

    def has_disconnected(self) -> bool:
        return False

    def has_unread_input(self) -> bool:
        return False


async def make_call(response: ResponseWriter, name: str) -> None:
    match name:
        case "answer":
            response.answer(500)
        case "reject":
            response.reject(400, (), b"")
        case "start":
            response.start(200)
        case "write":
            await response.write(EVENT)
        case "finish":
            response.finish()
        case "abort":
            response.abort()


@given(st.lists(st.tuples(st.sampled_from(CALLS), st.booleans())))
def test_any_calls_make_a_well_formed_response_that_ends_once(calls: list[tuple[str, bool]]) -> None:
    """Each call is made now, or later if it is a write whose task has not run yet, as that of a timer."""

    async def scenario() -> None:
        reply = RecordingReply()
        response = ResponseWriter(reply)
        late = []
        for name, is_late in calls:
            if is_late and name == "write":
                late.append(response.write(EVENT))
            else:
                await make_call(response, name)
        for write in late:
            await write
        assert WELL_FORMED.fullmatch(" ".join(reply.calls)), reply.calls
        ends = sum(name in ("answer", "reject", "finish", "abort") for name in reply.calls)
        assert response.ended == (ends == 1)

    asyncio.run(scenario())


class UnchangedFormat(ResponseFormat):
    """Events as the replica sends them."""

    def convert_events(self, data: bytes) -> bytes:
        return data

    def collect_events(self, data: bytes) -> None:
        pass

    def encode_end(self) -> bytes:
        return b""

    def encode_complete(self) -> bytes:
        return b""

    def encode_truncation(self, error: object) -> bytes:
        return b""


@pytest.mark.parametrize("timer_first", [True, False])
@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("events", [0, 1, 3])
def test_a_heartbeat_that_is_due_when_an_answer_ends_is_not_sent_after_it(
    events: int, ending: str, timer_first: bool
) -> None:
    """The task that sends it runs in the next turn of the event loop."""

    async def scenario() -> None:
        now = 1
        reply = RecordingReply()
        deadlines = Deadlines(lambda: now)
        tasks: list[asyncio.Task[None]] = []

        def spawn(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
            tasks.append(asyncio.ensure_future(work))
            return tasks[-1]

        heartbeat = HeartbeatTimer(deadlines, spawn, HEARTBEAT_INTERVAL_US)
        answer = Answer(ResponseWriter(reply), UnchangedFormat(), True, True, (), heartbeat, lambda status, code: None)
        for _ in range(events):
            await answer.forward(EVENT)
        now += HEARTBEAT_INTERVAL_US
        if timer_first:
            deadlines.run_due()
        getattr(answer, ending)(*([0] if ending == "reject" else []))
        calls_at_end = list(reply.calls)
        deadlines.run_due()
        await asyncio.gather(*tasks)
        if ending != "handle_disconnect":
            assert reply.calls == calls_at_end
            assert HEARTBEAT not in reply.written
        assert len(tasks) == (timer_first and events > 0)

    asyncio.run(scenario())
