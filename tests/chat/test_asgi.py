"""The ASGI middleware: the example application under a server, and edge cases of the protocol without a server."""

import asyncio
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import unittest
import unittest.mock
from collections import Counter

import pytest

from pearhill.asgi import AnswerTruncatedError, PearhillMiddleware
from pearhill.chat.setup import load
from pearhill.net.input_scheduler import InputScheduler
from tests.chat.test_front import PATH, body, operator_file, write_file
from tests.net.test_accepted import HeldScheduler
from tests.standins import ROOT, STREAM_CHUNKS, STREAM_END, Program, Standin

TICKS_TO_SETTLE = 20  # more than a chain of callbacks needs


class ExampleApp(Program):
    """The example application. Its server uses a listening socket that is opened here."""

    def __init__(self, path: str) -> None:
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            self.host, self.port = listening.getsockname()
            fd = listening.fileno()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "uvicorn", "examples.starlette_app:app", "--fd", str(fd)],
                cwd=ROOT,
                pass_fds=[fd],
                stderr=subprocess.PIPE,
                text=True,
                env={**os.environ, "PEARHILL_CHAT": path},
            )
        self.follow_log()


class MiddlewareUnderUvicorn(unittest.TestCase):
    def test_the_example_serves_its_own_pages_and_the_chat_api(self):
        replica = Standin()
        self.addCleanup(replica.close)
        program = ExampleApp(write_file(self, operator_file([replica.address])))
        self.addCleanup(program.kill)
        assert json.loads(program.request("GET", "/hours")[2])["open"] == "09:00"
        status, _, received = program.request("POST", PATH, body(stream=True))
        assert (status, received[: len(STREAM_CHUNKS[0])], received[-14:]) == (
            200,
            STREAM_CHUNKS[0],
            b"data: [DONE]\n\n",
        )
        assert json.loads(program.request("POST", PATH, body())[2])["object"] == "chat.completion"
        assert program.request("POST", PATH, b"{")[0] == 400
        replica.respond = lambda h, b: h.chunks(STREAM_CHUNKS[0])  # no [DONE]
        with pytest.raises((http.client.HTTPException, OSError)):
            program.request("POST", PATH, body(stream=True))
        assert program.stop() in (0, -signal.SIGTERM)  # some servers exit by the signal that they received
        program.wait_line(r'counters .*"served": 2')


class MiddlewareWithoutServer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.replica = Standin()
        self.addCleanup(self.replica.close)
        self.middleware = PearhillMiddleware(self.app, load(write_file(self, operator_file([self.replica.address]))))
        self.to_app: asyncio.Queue = asyncio.Queue()
        self.from_app: asyncio.Queue = asyncio.Queue()
        self.lifespan = asyncio.create_task(self.middleware({"type": "lifespan"}, self.to_app.get, self.from_app.put))
        await self.to_app.put({"type": "lifespan.startup"})
        assert (await self.from_app.get())["type"] == "lifespan.startup.complete"
        assert self.middleware.service is not None

    async def asyncTearDown(self) -> None:
        await self.to_app.put({"type": "lifespan.shutdown"})
        assert (await self.from_app.get())["type"] == "lifespan.shutdown.complete"
        await self.lifespan
        assert self.middleware.service is None

    async def app(self, scope, receive, send) -> None:
        """An application that handles only lifespan events."""
        assert scope["type"] == "lifespan"
        for step in ("startup", "shutdown"):
            assert (await receive())["type"] == f"lifespan.{step}"
            await send({"type": f"lifespan.{step}.complete"})

    def call(self, sent: bytes, complete: bool = True) -> tuple[asyncio.Task, asyncio.Queue, asyncio.Queue]:
        receive: asyncio.Queue = asyncio.Queue()
        send: asyncio.Queue = asyncio.Queue()
        for part, more in ((sent[:10], True), (sent[10:], not complete)):
            receive.put_nowait({"type": "http.request", "body": part, "more_body": more})
        scope = {"type": "http", "method": "POST", "path": PATH, "headers": [(b"host", b"a")], "query_string": b""}
        return asyncio.create_task(self.middleware(scope, receive.get, send.put)), receive, send

    async def test_a_stream_is_forwarded_chunk_by_chunk(self):
        def respond_in_chunks(handler, body):
            handler.chunks(STREAM_CHUNKS[0], last=False)
            self.replica.release_answers.wait(20)
            handler.send_chunk(STREAM_CHUNKS[1] + STREAM_END)
            handler.wfile.write(b"0\r\n\r\n")

        self.replica.respond = respond_in_chunks
        task, _, send = self.call(body(stream=True))
        assert (await send.get())["status"] == 200
        assert (await send.get())["body"] == STREAM_CHUNKS[0]  # before the replica has sent the rest
        self.replica.release_answers.set()
        await task
        assert "more_body" not in [*send._queue][-1]

    async def test_a_disconnected_client_cancels_its_attempt(self):
        self.replica.respond = lambda h, b: self.replica.release_answers.wait(20)
        task, receive, _ = self.call(body())
        await asyncio.to_thread(self.replica.wait_for, "POST")
        receive.put_nowait({"type": "http.disconnect"})
        await task
        counters = self.middleware.service.node.counters
        assert (counters.left, counters.outcomes["cancelled"]) == (1, 1)

    async def test_a_truncated_answer_raises_and_an_oversized_body_is_rejected(self):
        self.replica.respond = lambda h, b: h.chunks(STREAM_CHUNKS[0])
        task, _, _ = self.call(body(stream=True))
        with pytest.raises(AnswerTruncatedError):
            await task
        task, _, send = self.call(b"x" * 300_000)
        await task
        assert (await send.get())["status"] == 413

    async def test_the_bodies_of_many_clients_are_handled_one_tick_after_the_other(self):
        """The cause of review/2 in an application: one tick of the loop parsed all bodies that were complete."""
        service = self.middleware.service
        clock = itertools.count()  # each step takes a second, more than a tick has for input
        service.node.input_scheduler = InputScheduler(asyncio.get_running_loop(), lambda: next(clock))
        handled_in_tick = Counter()
        tick = 0

        def handle(request, reply):
            handled_in_tick[tick] += 1
            reply.answer(200)

        with unittest.mock.patch.object(service.front, "handle", handle):
            tasks = [self.call(body())[0] for _ in range(20)]
            while not all(task.done() for task in tasks):
                tick += 1
                assert tick < 10_000
                await asyncio.sleep(0)
        assert sum(handled_in_tick.values()) == 20
        assert max(handled_in_tick.values()) == 1

    async def test_no_attempt_begins_for_a_client_that_disconnected_while_its_request_waited_for_its_turn(self):
        """The middleware noticed a disconnect only once the request had begun, and sent it to a replica."""
        scheduler = HeldScheduler(asyncio.get_running_loop())
        self.middleware.service.node.input_scheduler = scheduler
        task, receive, _ = self.call(body())
        await scheduler.waiting.wait()
        receive.put_nowait({"type": "http.disconnect"})
        for _ in range(TICKS_TO_SETTLE):
            await asyncio.sleep(0)
        assert receive.empty()
        scheduler.released.set()
        await task
        counters = self.middleware.service.node.counters
        assert (counters.taken, counters.sent, counters.left) == (1, 0, 1)

    async def test_incomplete_bodies_of_many_clients_stay_within_the_memory_limit(self):
        """The cause of review/1 in an application: nothing bounded the bodies of all requests together."""
        memory = self.middleware.service.node.request_memory
        memory.set_limits(400_000, 10)
        uploads = []
        for _ in range(6):
            task, receive, send = self.call(b"x" * 160_000, complete=False)
            await asyncio.sleep(0)
            while receive.qsize():
                await asyncio.sleep(0)
            assert memory.used_bytes <= memory.limit_bytes
            uploads.append((task, receive, send))
        task, _, send = self.call(body())
        await task
        assert (await send.get())["status"] == 200
        statuses = []
        for task, receive, send in uploads:
            receive.put_nowait({"type": "http.request", "body": b"", "more_body": False})
            await task
            statuses.append((await send.get())["status"])
        assert sorted(statuses) == [400, 503, 503, 503, 503, 503]
        assert memory.used_bytes == 0
