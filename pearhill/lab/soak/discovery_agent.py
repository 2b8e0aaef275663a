"""The discovery agent of one dispatcher. It serves the endpoint list, and stops answering on command."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from collections.abc import Callable

from pearhill.http1.messages import RequestMessage, answer
from pearhill.http1.server import ServerConnection
from pearhill.lab.soak.oracle import Oracle

POLLED_WITHIN_US = 250_000  # dispatchers poll a silent agent every 50 to 100 ms, and so have polled by then
REQUEST_TARGET = re.compile(r"after=(\d+)(?:&wait_ms=(\d+))?")


class DiscoveryAgent:
    """A discovery agent, which serves the endpoint list to one dispatcher unless it is silent."""

    def __init__(self, dispatcher: str, oracle: Oracle, clock: Callable[[], int]) -> None:
        self.dispatcher, self.oracle, self.clock = dispatcher, oracle, clock
        self.revision, self.endpoints = 1, dict[str, dict[str, object]]()
        self._changed = asyncio.Condition()
        self._silence_over: asyncio.Event | None = None
        self._unpublished: list[dict[str, object]] = []
        self._published_at: dict[str, int] = {}  # when each endpoint was last published
        self._server: asyncio.Server | None = None
        self.address = ""

    @property
    def is_silent(self) -> bool:
        """Whether the agent leaves all requests unanswered now."""
        return self._silence_over is not None

    async def start(self) -> None:
        """Start listening, and set `address`."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=64)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def publish(self, endpoint: dict[str, object]) -> None:
        """Publish a changed endpoint; a silent agent publishes it when it answers again."""
        if self._silence_over:
            self._unpublished.append(endpoint)
            return
        async with self._changed:
            self._apply(endpoint)
            self._changed.notify_all()

    def _apply(self, endpoint: dict[str, object]) -> None:
        uid = str(endpoint["uid"])
        self.revision += 1
        self.endpoints[uid], self._published_at[uid] = endpoint, self.clock()
        self.oracle.attempts.endpoint_published(self.clock(), self.dispatcher, uid, endpoint["state"] == "active")

    async def set_silent(self, on: bool) -> None:
        """Stop answering, or answer again and publish the endpoints that have changed meanwhile."""
        if on:
            if self._silence_over is None:
                self._silence_over = asyncio.Event()
                self._retract_latest()
            return
        if self._silence_over:
            self._silence_over.set()
            self._silence_over = None
        async with self._changed:
            unpublished, self._unpublished = self._unpublished, []
            for endpoint in unpublished:
                self._apply(endpoint)
            self._changed.notify_all()

    def _retract_latest(self) -> None:
        """Count endpoints that were published within the last `POLLED_WITHIN_US` as not published yet.

        The dispatcher may not have polled them; they are published when the agent answers again.
        """
        for uid, at in self._published_at.items():
            if self.clock() < at + POLLED_WITHIN_US:
                self.oracle.attempts.endpoint_retracted(self.dispatcher, uid)
                self._unpublished.append(self.endpoints[uid])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        machine = ServerConnection()
        try:
            while data := await reader.read(1 << 14):
                for message in machine.feed(data):
                    if not isinstance(message, RequestMessage):
                        return
                    if silent := self._silence_over:  # a connection with an unanswered request is never used again
                        await silent.wait()
                        return
                    writer.write(answer(200, (("Content-Type", "application/json"),), await self._list(message.target)))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            machine.close()
            writer.transport.abort()

    async def _list(self, target: str) -> bytes:
        if found := REQUEST_TARGET.search(target):
            after, wait_s = int(found[1]), int(found[2] or 0) / 1000
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait_for(lambda: self.revision > after), wait_s)
                if self.revision == after:  # a change may have been published just when the wait timed out
                    return json.dumps({"rev": self.revision, "all": False, "targets": []}).encode()
        return json.dumps({"rev": self.revision, "all": True, "targets": list(self.endpoints.values())}).encode()

    def close(self) -> None:
        """Stop listening for connections."""
        if self._server:
            self._server.close()
