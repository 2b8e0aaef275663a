"""Replicas that implement the platform's protocol, misbehave on command, and report attempts to the oracle."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass

from pearhill.http1.messages import LAST_CHUNK, RequestMessage, answer, chunk, stream_head
from pearhill.http1.server import ServerConnection
from pearhill.lab.soak.oracle import Oracle
from pearhill.lab.soak.proxy import Proxy, reset
from pearhill.lab.soak.records import AttemptRecord

PREFILL, DECODE, MIXED = "read", "write", "both"
EVENT_COUNT = 6
HANG_S = 60.0
BUSY_PREFILL_FACTOR = 2.0  # a busy replica is so much slower at a prefill than at an answer
LATE_NOTICE_SHARE = 0.5  # of cancelled prefills, whose end the replica notices late, up to `MAX_LATE_NOTICE_S`
MAX_LATE_NOTICE_S = 1.0
LATE_NOTICE_SEED = 0x1A7E  # so that the other random numbers of a replica do not depend on cancelled prefills
MISBEHAVIOUR_KINDS = (
    "error",
    "reset",
    "hang",
    "stall",
    "full",
    "half-line",
    "second-answer",
    "late-answer",
    "event-reset",
    "last-reset",
)
_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%b "},"finish_reason":null}]}\n\n'
_FINAL_EVENTS = (
    b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":6,"prompt_tokens_details":'
    b'{"cached_tokens":4}}}\n\ndata: [DONE]\n\n'
)


@dataclass(frozen=True, slots=True)
class Speeds:
    """The mean time in seconds that a replica takes for a prefill, for its first event, and between two events."""

    prefill_s: float
    first_event_s: float
    event_s: float


class Replica:
    """One replica behind its proxy. It applies `misbehaviour` to a share `misbehaving_share` of its requests.

    While it is stopped it does nothing, as a process after SIGSTOP: its system still accepts connections and bytes.
    """

    def __init__(
        self,
        uid: str,
        role: str,
        zone: str,
        cell: int,
        speeds: Speeds,
        oracle: Oracle,
        seed: int,
        clock: Callable[[], int],
    ) -> None:
        self.uid, self.role, self.zone, self.cell, self.speeds = uid, role, zone, cell, speeds
        self.oracle, self.rng, self.clock, self.seed = oracle, random.Random(seed), clock, seed
        self._late_notices = random.Random(seed ^ LATE_NOTICE_SEED)
        self._running = asyncio.Event()
        self._running.set()
        self.misbehaving_share, self.misbehaviour = 0.0, "error"
        self.busy_delay_s = 0.0  # by which a busy replica is slow at everything
        self.state, self.boot_ms = "active", 0
        self.requests = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start listening, behind a proxy of its own."""
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", 0, backlog=1024)
        self.proxy = Proxy(self._server.sockets[0].getsockname()[1], self.seed, self._connection_reset)
        await self.proxy.start()

    def _connection_reset(self, request: str) -> None:
        self.oracle.attempts.connection_reset(self.clock(), request, self.uid)

    def stop(self) -> None:
        """Stop the process until `resume` or `restart`."""
        self._running.clear()
        self.oracle.replica_stopped(self.clock(), self.uid, True)

    def resume(self) -> None:
        """Let a stopped process go on."""
        if not self._running.is_set():
            self._running.set()
            self.oracle.replica_stopped(self.clock(), self.uid, False)

    def restart(self, wall_ms: int) -> None:
        """End all connections, as if the process had died and a cold one had been started at once."""
        self.resume()
        for task in list(self._connections):
            task.cancel()
        self.oracle.held_states.replica_restarted(self.uid)
        self.boot_ms = wall_ms

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._connections.add(task)
        machine = ServerConnection()
        try:
            while data := await reader.read(1 << 16):
                for message in machine.feed(data):
                    if not isinstance(message, RequestMessage) or not await self._serve(message, reader, writer):
                        return
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            machine.close()
            self._connections.discard(task)
            writer.transport.abort()

    async def _serve(self, message: RequestMessage, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request. Returns False if the connection has to end."""
        if message.path.startswith("/state/"):
            request = message.path.removeprefix("/state/")
            await self._running.wait()
            if reader.at_eof():  # given up while the replica was stopped
                return False
            self.oracle.held_states.release_arrived(self.clock(), request, self.uid)
            await asyncio.sleep(self.busy_delay_s)
            writer.write(answer(204 if message.method == "DELETE" else 404))
            return True
        if message.method != "POST":
            writer.write(answer(404))
            return True
        return await self._attempt(message, reader, writer)

    async def _attempt(
        self,
        message: RequestMessage,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request = message.headers.get("request-id", "")
        timeout_ms = int(message.headers.get("request-timeout-ms", "0"))
        self.requests += 1
        attempt = self.oracle.attempts.arrived(
            self.clock(), request, self.uid, self.role != PREFILL, timeout_ms, self.role
        )
        connection_end = asyncio.ensure_future(_wait_for_input(reader))
        work = asyncio.ensure_future(self._process_attempt(request, attempt, writer))
        try:
            await asyncio.wait((connection_end, work), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                await self._notice_end(request, attempt, work)
            return work.done() and not connection_end.done() and await work
        finally:
            if connection_end.done():
                attempt.closed_by_dispatcher = True
            elif not work.done():  # the replica is being restarted
                self.oracle.attempts.stream_broken(self.clock(), request, attempt)
            connection_end.cancel()
            work.cancel()
            await asyncio.gather(connection_end, work, return_exceptions=True)
            if not attempt.ended_at:
                self.oracle.attempts.ended(self.clock(), request, attempt)

    async def _notice_end(self, request: str, attempt: AttemptRecord, work: asyncio.Future[bool]) -> None:
        """Wait until the replica notices that its dispatcher has given the attempt up; a prefill may end before."""
        attempt.closed_by_dispatcher = True
        if self.role == PREFILL:
            self.oracle.attempts.ended(self.clock(), request, attempt)
            if self._late_notices.random() < LATE_NOTICE_SHARE or self.busy_delay_s:
                await asyncio.wait((work,), timeout=self._late_notices.uniform(0, MAX_LATE_NOTICE_S))
        await self._running.wait()

    async def _pause(self, seconds: float) -> None:
        """Work for this time, and for as long as the replica is stopped at its end."""
        await asyncio.sleep(seconds)
        await self._running.wait()

    async def _process_attempt(self, request: str, attempt: AttemptRecord, writer: asyncio.StreamWriter) -> bool:
        await self._running.wait()
        misbehaviour = self.misbehaviour if self.rng.random() < self.misbehaving_share else ""
        if misbehaviour == "full":
            return self._reject(request, attempt, writer, 503)
        if misbehaviour == "hang":
            await asyncio.sleep(HANG_S)
        if self.role == PREFILL:
            return await self._prefill(request, attempt, writer, misbehaviour)
        return await self._decode(request, attempt, writer, misbehaviour)

    def _reject(self, request: str, attempt: AttemptRecord, writer: asyncio.StreamWriter, status: int) -> bool:
        self.oracle.attempts.ended(self.clock(), request, attempt, never_ran=True)
        writer.write(answer(status, (("Not-Started", "1"),)))
        return True

    async def _prefill(
        self, request: str, attempt: AttemptRecord, writer: asyncio.StreamWriter, misbehaviour: str
    ) -> bool:
        await self._pause(
            self.speeds.prefill_s * self.rng.uniform(0.5, 1.5) * (4 if misbehaviour == "late-answer" else 1)
        )
        if misbehaviour in ("error", "half-line"):
            writer.write(answer(500))
            return True
        await self._pause(BUSY_PREFILL_FACTOR * self.busy_delay_s)
        self.oracle.held_states.prefilled(self.clock(), request, self.uid)
        if attempt.ended_at:
            self.oracle.count("prefills that ended after they were given up")
        else:
            self.oracle.attempts.ended(self.clock(), request, attempt)
        if misbehaviour in ("reset", "stall"):  # the prefill has succeeded, its answer is lost
            reset(writer)
            return False
        writer.write(answer(202, (("Content-Type", "application/json"),), json.dumps({"cached_tokens": 4}).encode()))
        return await self._second_answer(writer) if misbehaviour == "second-answer" else True

    async def _second_answer(self, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.002)
        writer.write(answer(500))
        return True

    async def _decode(
        self, request: str, attempt: AttemptRecord, writer: asyncio.StreamWriter, misbehaviour: str
    ) -> bool:
        if self.role == DECODE and not self.oracle.held_states.exists(request):
            return self._reject(request, attempt, writer, 410)
        if misbehaviour == "error":
            writer.write(answer(500))
            return True
        await self._pause(
            self.speeds.first_event_s * self.rng.uniform(0.5, 2.0) * (4 if misbehaviour == "late-answer" else 1)
        )
        if misbehaviour == "reset":
            reset(writer)
            return False
        self.oracle.held_states.fetched(request)
        writer.write(stream_head(200, (("Content-Type", "text/event-stream"),)))
        for number in range(EVENT_COUNT):
            # Each attempt writes different text, so that the bytes a client receives identify one attempt.
            event = _EVENT % f"{self.uid}.{self.requests}.{number}".encode()
            self.oracle.attempts.wrote(self.clock(), attempt, event)
            writer.write(chunk(event))
            if number == EVENT_COUNT // 2 and not await self._continues(request, attempt, writer, misbehaviour):
                return False
            await writer.drain()
            await self._pause(self.speeds.event_s)
        self.oracle.attempts.wrote(self.clock(), attempt, _FINAL_EVENTS)
        attempt.finished = True
        writer.write(chunk(_FINAL_EVENTS) + LAST_CHUNK)
        if misbehaviour == "last-reset":
            reset(writer)
            return False
        await writer.drain()
        return await self._second_answer(writer) if misbehaviour == "second-answer" else True

    async def _continues(
        self, request: str, attempt: AttemptRecord, writer: asyncio.StreamWriter, misbehaviour: str
    ) -> bool:
        """Misbehave in the middle of a stream. Returns False if the stream has ended there."""
        if misbehaviour == "stall":
            await asyncio.sleep(HANG_S)
        if misbehaviour not in ("half-line", "event-reset"):
            return True
        self.oracle.attempts.stream_broken(self.clock(), request, attempt)
        if misbehaviour == "event-reset":  # directly after the event
            reset(writer)
        else:
            writer.write(chunk(b'data: {"choi'))
        return False

    def endpoint(self) -> dict[str, object]:
        """Returns this replica's entry in the endpoint list."""
        return {
            "uid": self.uid,
            "endpoint": self.proxy.address,
            "az": self.zone,
            "model": self.role,
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    def close(self) -> None:
        """Stop listening, and close the proxy."""
        self.proxy.close()
        if self._server:
            self._server.close()


async def _wait_for_input(reader: asyncio.StreamReader) -> None:
    """Returns when the dispatcher has closed the connection of an attempt, or sends data before the answer's end."""
    await reader.read(1)
