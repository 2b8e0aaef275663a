"""The scripted replica: runs the scripts of a case and records the requests that it receives."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Any

import msgspec

from pearhill.conformance.scripts import Script, Step, StepKind, keeps_connection
from pearhill.http1.messages import RequestMessage, chunk
from pearhill.http1.server import ServerConnection

MAX_REQUEST_BYTES = 64 << 20
READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0 s: closing the socket sends a TCP reset


class ScriptedReplica:
    """A replica that responds by scripts. `set_scripts` must be called before the requests that the scripts are for."""

    def __init__(self) -> None:
        self.scripts: tuple[Script, ...] = ()
        self.requests: list[RequestMessage] = []  # complete requests since the last `set_scripts`, without releases
        self.releases = 0  # requests to release a held state, since the start of the replica
        self.address = ""
        self._resumed = asyncio.Event()
        self._client_received = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks = set[asyncio.Task[Any]]()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen, and set `address` to HOST:PORT. If `port` is 0, the operating system chooses a free port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def set_scripts(self, scripts: tuple[Script, ...]) -> None:
        """Use these scripts from the next request on, and clear the list of received requests.

        The k-th request gets the k-th script, and every later request the last one. If there are no scripts, a request
        closes its connection.
        """
        self.scripts = scripts
        self.requests = []
        self._resumed = asyncio.Event()
        self._client_received = asyncio.Event()

    def resume(self) -> None:
        """End the steps of kind WAIT_FOR_RESUME."""
        self._resumed.set()

    def continue_after_client(self) -> None:
        """End the steps of kind WAIT_FOR_CLIENT. Called when the client has the first part of its response body."""
        self._client_received.set()

    def end_waits(self) -> None:
        """End the steps of the kinds WAIT_FOR_RESUME and WAIT_FOR_CLIENT."""
        self._client_received.set()
        self._resumed.set()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.end_waits()
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def last_body(self) -> Any:
        """Returns the JSON value of the last request's body, or None before the first request."""
        return msgspec.json.decode(self.requests[-1].body) if self.requests else None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        connection = ServerConnection(max_body=MAX_REQUEST_BYTES)
        try:
            while data := await reader.read(READ_BYTES):
                for message in connection.feed(data):
                    if isinstance(message, RequestMessage) and not await self._respond(message, writer):
                        return
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            connection.close()
            writer.close()

    async def _respond(self, message: RequestMessage, writer: asyncio.StreamWriter) -> bool:
        """Run the script for a request. Returns whether the connection stays open after it."""
        if message.method == "DELETE":
            self.releases += 1
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return True
        self.requests.append(message)
        if not self.scripts:
            return False
        script = self.scripts[min(len(self.requests), len(self.scripts)) - 1]
        # `set_scripts` replaces both events while an earlier script may still wait, so each script keeps those of its
        # start.
        resumed = self._resumed
        client_received = self._client_received
        for step in script:
            if step.kind is StepKind.WAIT_FOR_RESUME:
                await resumed.wait()
            elif step.kind is StepKind.WAIT_FOR_CLIENT:
                await client_received.wait()
            elif step.kind is StepKind.RESET:
                _reset(writer)
                return False
            else:
                await _send(step, writer)
        return keeps_connection(script)


async def _send(step: Step, writer: asyncio.StreamWriter) -> None:
    writer.write(step.data if step.kind is StepKind.SEND else chunk(step.data))
    await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock: socket.socket = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
