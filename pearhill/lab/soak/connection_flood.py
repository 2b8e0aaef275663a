"""A flood of idle connections, which uses up a dispatcher's file descriptors.

It runs in a process of its own (`python -m pearhill.lab.soak.connection_flood HOST PORT CONNECTIONS`). Hundreds of
connections that are closed and opened again would delay the discovery agents and replicas in the soak's event loop, and
those delays would be attributed to the dispatchers."""

from __future__ import annotations

import asyncio
import contextlib
import sys

RECONNECT_S = 0.1  # after which a client whose connection was closed connects again


class ConnectionFlood:
    """Clients that connect to one dispatcher, send nothing, and connect again when their connections are closed."""

    def __init__(self, name: str, host: str, port: int, connections: int) -> None:
        self.name = name  # the dispatcher's
        self._arguments = (host, str(port), str(connections))
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until its clients connect. Raises RuntimeError if the process ends before."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", __name__, *self._arguments, stdout=asyncio.subprocess.PIPE
        )
        assert self._process.stdout
        if not await self._process.stdout.readline():
            raise RuntimeError(f"the connection flood of {self.name} exited before its clients connected")

    async def stop(self) -> None:
        """Kill the process, which closes all its connections."""
        if self._process:
            with contextlib.suppress(ProcessLookupError):  # the process has exited already
                self._process.kill()
            await self._process.wait()


async def _hold_connection(host: str, port: int) -> None:
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                await reader.read(1)
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_S)


async def _flood(host: str, port: int, connections: int) -> None:
    print("connecting", flush=True)
    await asyncio.gather(*(_hold_connection(host, port) for _ in range(connections)))


if __name__ == "__main__":
    asyncio.run(_flood(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
