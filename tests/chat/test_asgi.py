"""The middleware: the example application under an ASGI server, and the protocol's corners by hand."""

import asyncio
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import unittest

from pearhill.asgi import AnswerTruncatedError, PearhillMiddleware
from pearhill.chat.setup import load
from tests.chat.test_front import PATH, body, operator_file, write_file
from tests.standins import LAST, ROOT, TOKENS, Program, Standin


class Example(Program):
    """The example application; its server listens on a socket that the test made."""

    def __init__(self, path: str) -> None:
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            self.host, self.port = listening.getsockname()
            number = listening.fileno()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "uvicorn", "examples.starlette_app:app", "--fd", str(number)],
                cwd=ROOT,
                pass_fds=[number],
                stderr=subprocess.PIPE,
                text=True,
                env={**os.environ, "PEARHILL_CHAT": path},
            )
        self.follow_log()


class UnderAServer(unittest.TestCase):
    def test_the_example_serves_its_own_pages_and_the_chat_api(self):
        server = Standin()
        self.addCleanup(server.close)
        program = Example(write_file(self, operator_file([server.address])))
        self.addCleanup(program.kill)
        self.assertEqual(json.loads(program.ask("GET", "/hours")[2])["open"], "09:00")
        status, _, got = program.ask("POST", PATH, body(stream=True))
        self.assertEqual((status, got[: len(TOKENS[0])], got[-14:]), (200, TOKENS[0], b"data: [DONE]\n\n"))
        self.assertEqual(json.loads(program.ask("POST", PATH, body())[2])["object"], "chat.completion")
        self.assertEqual(program.ask("POST", PATH, b"{")[0], 400)
        server.respond = lambda h, b: h.chunks(TOKENS[0])  # no [DONE]
        with self.assertRaises((http.client.HTTPException, OSError)):
            program.ask("POST", PATH, body(stream=True))
        self.assertIn(program.stop(), (0, -signal.SIGTERM))  # some servers end themselves by the signal they got
        program.wait_line(r'counters .*"served": 2')


class ByHand(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = Standin()
        self.addCleanup(self.server.close)
        self.middleware = PearhillMiddleware(self.app, load(write_file(self, operator_file([self.server.address]))))
        self.to_app: asyncio.Queue = asyncio.Queue()
        self.from_app: asyncio.Queue = asyncio.Queue()
        self.lifespan = asyncio.create_task(self.middleware({"type": "lifespan"}, self.to_app.get, self.from_app.put))
        await self.to_app.put({"type": "lifespan.startup"})
        self.assertEqual((await self.from_app.get())["type"], "lifespan.startup.complete")
        self.assertIsNotNone(self.middleware.service)

    async def asyncTearDown(self) -> None:
        await self.to_app.put({"type": "lifespan.shutdown"})
        self.assertEqual((await self.from_app.get())["type"], "lifespan.shutdown.complete")
        await self.lifespan
        self.assertIsNone(self.middleware.service)

    async def app(self, scope, receive, send) -> None:
        """An application with a lifespan and nothing else."""
        self.assertEqual(scope["type"], "lifespan")
        for step in ("startup", "shutdown"):
            self.assertEqual((await receive())["type"], f"lifespan.{step}")
            await send({"type": f"lifespan.{step}.complete"})

    def call(self, sent: bytes) -> tuple[asyncio.Task, asyncio.Queue, asyncio.Queue]:
        receive: asyncio.Queue = asyncio.Queue()
        send: asyncio.Queue = asyncio.Queue()
        for part, more in ((sent[:10], True), (sent[10:], False)):
            receive.put_nowait({"type": "http.request", "body": part, "more_body": more})
        scope = {"type": "http", "method": "POST", "path": PATH, "headers": [(b"host", b"a")], "query_string": b""}
        return asyncio.create_task(self.middleware(scope, receive.get, send.put)), receive, send

    async def test_a_stream_comes_piece_by_piece(self):
        def pieces(handler, body):
            handler.chunks(TOKENS[0], last=False)
            self.server.go.wait(20)
            handler.more(TOKENS[1] + LAST)
            handler.wfile.write(b"0\r\n\r\n")

        self.server.respond = pieces
        task, _, send = self.call(body(stream=True))
        self.assertEqual((await send.get())["status"], 200)
        self.assertEqual((await send.get())["body"], TOKENS[0])  # while the server still holds the rest back
        self.server.go.set()
        await task
        self.assertNotIn("more_body", [*send._queue][-1])

    async def test_a_client_that_disconnects_ends_its_attempt(self):
        self.server.respond = lambda h, b: self.server.go.wait(20)
        task, receive, _ = self.call(body())
        await asyncio.to_thread(self.server.wait_for, "POST")
        receive.put_nowait({"type": "http.disconnect"})
        await task
        counters = self.middleware.service.node.counters
        self.assertEqual((counters.left, counters.outcomes["cancelled"]), (1, 1))

    async def test_a_broken_answer_is_raised_and_an_oversized_body_refused(self):
        self.server.respond = lambda h, b: h.chunks(TOKENS[0])
        task, _, _ = self.call(body(stream=True))
        with self.assertRaises(AnswerTruncatedError):
            await task
        task, _, send = self.call(b"x" * 300_000)
        await task
        self.assertEqual((await send.get())["status"], 413)
