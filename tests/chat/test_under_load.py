"""Hundreds of streams, floods of invalid requests, concurrent repeats, and signals in mid-stream."""

import asyncio
import json
import os
import pathlib
import resource
import signal
import socket
import time
import unittest

import pytest

from pearhill.conformance.client import ClientConnection
from pearhill.conformance.payloads import ANSWER_EVENTS, chat_chunk, sse_event
from pearhill.conformance.replica import ScriptedReplica
from pearhill.conformance.scripts import (
    LAST_CHUNK,
    WAIT_FOR_CLIENT,
    WAIT_FOR_RESUME,
    event_stream,
    http_chunk,
    response_head,
)
from pearhill.http1.messages import request
from tests.chat.test_front import PATH, ChatCase, body, operator_file, write_file
from tests.standins import STREAM_CHUNKS, Program
from tests.standins import STREAM_END as END

BIG = chat_chunk(content="x" * 8_000)


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


class Streams(unittest.IsolatedAsyncioTestCase):
    OPEN = 1_000  # streams
    READ = 100  # of these, streams whose clients read them

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # the checks of debug mode cost more time than the streams
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < 8_192:
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(8_192, hard), hard))
        self.server = ScriptedReplica()
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    def begin(self, chat: str) -> Program:
        text = operator_file([self.server.address]).replace("[chat]\n", f"[chat]\n{chat}\n")
        program = Program("--chat", write_file(self, text.replace('"most-held" = 1000', '"most-held" = 5000')))
        self.addCleanup(program.kill)
        return program

    async def ask(self, program: Program, sent: bytes) -> ClientConnection:
        """Open a stream. Returns its connection when the answer has begun."""
        connection = ClientConnection(program.host, program.port)
        await connection.open()
        self.addCleanup(connection.close)
        got = await connection.exchange("POST", PATH, {}, sent, 20, lambda: True)
        assert got.status == 200, got.body
        return connection

    async def test_unread_streams_use_little_memory_and_do_not_block_others(self):
        """900 clients read the first event and stop reading; their replicas would send 1.2 MB each."""
        program = self.begin("sockets = 4096\nmax_answer_bytes = 16777216")
        self.server.set_scripts((event_stream(*[sse_event(BIG)] * 150, *ANSWER_EVENTS[1:]),))
        before = resident_bytes(program.process.pid)
        stalled = []
        sent = request("POST", PATH, "a", (), body(stream=True))
        loop = asyncio.get_running_loop()
        for _ in range(self.OPEN - self.READ):
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            self.addCleanup(sock.close)
            await loop.sock_connect(sock, (program.host, program.port))
            await loop.sock_sendall(sock, sent)
            assert b" 200 OK" in await loop.sock_recv(sock, 100)
            stalled.append(sock)

        async def read_completely() -> int:
            """Reads a stream to its end. Returns its length."""
            connection = ClientConnection(program.host, program.port)
            await connection.open()
            try:
                got = await connection.exchange("POST", PATH, {}, body(stream=True), 60)
            finally:
                connection.close()
            assert got.complete
            assert got.body.endswith(b"data: [DONE]\n\n")
            return len(got.body)

        for _ in range(self.READ // 10):
            lengths = await asyncio.gather(*(read_completely() for _ in range(10)))
            assert set(lengths) == {150 * len(sse_event(BIG)) + sum(map(len, (*ANSWER_EVENTS[1:3], ANSWER_EVENTS[4])))}
        counters = await asyncio.to_thread(program.counters)
        assert (counters["served"], counters["taken"]) == (self.READ, self.OPEN), "the others must still be open"
        bytes_per_stream = (resident_bytes(program.process.pid) - before) / len(stalled)
        assert bytes_per_stream < 400_000, "bytes that a stalled stream holds"
        for sock in stalled:
            sock.close()

    async def test_heartbeats_come_between_events_and_not_before_the_first(self):
        program = self.begin("heartbeat_s = 0.05")
        self.server.set_scripts(
            (
                (
                    response_head(),
                    WAIT_FOR_RESUME,
                    http_chunk(ANSWER_EVENTS[0]),
                    WAIT_FOR_CLIENT,
                    *map(http_chunk, ANSWER_EVENTS[1:]),
                    LAST_CHUNK,
                ),
            )
        )
        connection = ClientConnection(program.host, program.port)
        await connection.open()
        self.addCleanup(connection.close)
        assert connection._reader
        assert connection._writer
        connection._writer.write(request("POST", PATH, "a", (), body(stream=True)))
        with pytest.raises(TimeoutError):  # nothing is sent yet, so that a rejection could still have its own status
            await asyncio.wait_for(connection._reader.readexactly(1), 0.2)
        self.server.resume()
        got = b""
        while got.count(b": keep-alive\n\n") < 3:
            got += await asyncio.wait_for(connection._reader.read(65_536), 20)
        self.server.continue_after_client()
        while b"0\r\n\r\n" not in got:
            got += await asyncio.wait_for(connection._reader.read(65_536), 20)
        events = b"".join(part for part in got.partition(b"\r\n\r\n")[2].split(b"\r\n")[1::2])
        assert events.replace(b": keep-alive\n\n", b"") == b"".join((*ANSWER_EVENTS[:3], ANSWER_EVENTS[4]))
        assert events.startswith(ANSWER_EVENTS[0] + b": keep-alive\n\n")

    async def test_concurrent_requests_with_the_same_key_are_one_run(self):
        program = self.begin("")
        self.server.set_scripts(
            (
                (
                    response_head(),
                    http_chunk(ANSWER_EVENTS[0]),
                    WAIT_FOR_RESUME,
                    *map(http_chunk, ANSWER_EVENTS[1:]),
                    LAST_CHUNK,
                ),
            )
        )

        async def repeat(path: str, sent: bytes) -> tuple[int, bytes]:
            connection = ClientConnection(program.host, program.port)
            await connection.open()
            try:
                got = await connection.exchange("POST", path, {"Idempotency-Key": "one"}, sent, 20)
            finally:
                connection.close()
            return got.status, got.body

        booking = body("booking", stream=True)
        other = json.dumps({"model": "booking", "prompt": "Hi"}).encode()
        first = asyncio.create_task(repeat(PATH, booking))
        while not self.server.requests:
            await asyncio.sleep(0.01)
        others = [asyncio.create_task(repeat(PATH, booking)) for _ in range(20)]
        assert (await repeat("/v1/completions", other))[0] == 422
        self.server.end_waits()
        answers = await asyncio.gather(first, *others)
        assert {status for status, _ in answers} == {200}
        assert {got for _, got in answers} == {b"".join((*ANSWER_EVENTS[:3], ANSWER_EVENTS[4]))}
        assert len(self.server.requests) == 1

    async def test_valid_requests_succeed_during_a_flood_of_invalid_ones(self):
        program = self.begin("")
        self.server.set_scripts((event_stream(*ANSWER_EVENTS),))
        bad = [b"{", body(temperature=9), body("nobody"), b'{"x": ' + b"[" * 9_000, body(messages=[])]
        flood_ended = asyncio.Event()
        bad_requests = 0

        async def flood(sent: bytes) -> None:
            nonlocal bad_requests
            connection = ClientConnection(program.host, program.port)
            await connection.open()
            try:
                while not flood_ended.is_set():
                    got = await connection.exchange("POST", PATH, {}, sent, 20)
                    assert got.status in (400, 404)
                    bad_requests += 1
            finally:
                connection.close()

        floods = [asyncio.create_task(flood(sent)) for sent in bad * 4]
        connection = ClientConnection(program.host, program.port)
        await connection.open()
        self.addCleanup(connection.close)
        for _ in range(50):
            got = await connection.exchange("POST", PATH, {}, body(stream=True), 20)
            assert got.complete, got.body
            assert got.status == 200, got.body
        flood_ended.set()
        await asyncio.gather(*floods)
        assert bad_requests > 50
        counters = program.counters()
        assert (counters["rejected"], counters["taken"], counters["faults"]) == (bad_requests, 50, 0)

    async def test_requests_end_when_clients_disconnect_during_heartbeats(self):
        program = self.begin("heartbeat_s = 0.02")
        self.server.set_scripts(((response_head(), http_chunk(ANSWER_EVENTS[0]), WAIT_FOR_RESUME),))
        for _ in range(20):
            connection = await self.ask(program, body(stream=True))
            connection.close()
        end = time.monotonic() + 20
        while (await asyncio.to_thread(program.counters))["left"] < 20:
            assert time.monotonic() < end
        assert not [line for line in program.lines if "Traceback" in line or "failed" in line]


class Signals(ChatCase):
    def start_stream(self, sent: bytes):
        """Start a stream whose first event has been received; the replica waits for the test before the rest."""
        (self.replica,) = self.start()

        def slow(handler, got):
            handler.chunks(STREAM_CHUNKS[0], last=False)
            self.replica.release_answers.wait(20)
            handler.send_chunk(STREAM_CHUNKS[1] + END)
            handler.wfile.write(b"0\r\n\r\n")

        self.replica.respond = slow
        connection = self.program.connect()
        self.addCleanup(connection.close)
        connection.request("POST", PATH, sent)
        response = connection.getresponse()
        assert response.read(len(STREAM_CHUNKS[0])) == STREAM_CHUNKS[0]
        return response

    def test_sigterm_in_mid_stream_lets_the_stream_complete(self):
        response = self.start_stream(body("booking", stream=True))
        self.program.process.send_signal(signal.SIGTERM)
        self.program.wait_line("draining: 1 requests open")
        self.replica.release_answers.set()
        assert response.read().endswith(b"data: [DONE]\n\n")
        assert (self.program.stop(), self.replica.post_count) == (0, 1)

    def test_sighup_in_mid_stream_does_not_affect_the_stream(self):
        response = self.start_stream(body(stream=True))
        self.program.reload(self.program.config.read_text().replace("'booking']", "'other']"))
        self.replica.release_answers.set()
        assert response.read().endswith(b"data: [DONE]\n\n")
        assert self.ask(body("booking"))[0] == 404
