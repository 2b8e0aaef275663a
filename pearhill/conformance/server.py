"""The scripted server: does what a case says, and keeps what it was sent."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Any

import msgspec

from pearhill.conformance.case import Script
from pearhill.http1.messages import RequestMessage
from pearhill.http1.server import ServerConnection

NOTHING: tuple[Script, ...] = ()


class ScriptedServer:
    """One model server on loopback. `load` a script before the request that it is for."""

    def __init__(self) -> None:
        self.script: tuple[Script, ...] = NOTHING
        self.runs: list[RequestMessage] = []
        self.released = 0
        self._go, self._seen = asyncio.Event(), asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks = set[asyncio.Task[Any]]()
        self.address = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)
        where = self._server.sockets[0].getsockname()
        self.address = f"{where[0]}:{where[1]}"

    def load(self, script: tuple[Script, ...]) -> None:
        self.script, self.runs, self._go, self._seen = script, [], asyncio.Event(), asyncio.Event()

    def release(self) -> None:
        """Whoever holds may go on."""
        self._seen.set()
        self._go.set()

    def seen(self) -> None:
        """The client has the first piece of its answer."""
        self._seen.set()

    async def close(self) -> None:
        self.release()
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        machine = ServerConnection(max_body=64 << 20)
        try:
            while data := await reader.read(1 << 16):
                for message in machine.feed(data):
                    if isinstance(message, RequestMessage) and not await self._answer(message, writer):
                        return
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            machine.close()
            writer.close()

    async def _answer(self, message: RequestMessage, writer: asyncio.StreamWriter) -> bool:
        """False: the connection ends here."""
        if message.method == "DELETE":
            self.released += 1
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return True
        self.runs.append(message)
        if not self.script:
            return False
        go, seen, script = self._go, self._seen, self.script[min(len(self.runs), len(self.script)) - 1]
        for step in script:
            if step.kind == "hold":
                await go.wait()
            elif step.kind == "seen":
                await seen.wait()
            elif step.kind == "reset":
                sock: socket.socket = writer.get_extra_info("socket")
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
                return False
            else:
                writer.write(step.data if step.kind == "raw" else b"%x\r\n%b\r\n" % (len(step.data), step.data))
                await writer.drain()
        return ends_well(script)

    def last_body(self) -> Any:
        return msgspec.json.decode(self.runs[-1].body) if self.runs else None


def ends_well(script: Script) -> bool:
    """Whether an answer was said to its end, so that its connection lives on."""
    said = b"".join(step.data for step in script)
    return said.endswith(b"0\r\n\r\n") or b"Content-Length: " in said
