"""A flood of idle connections, which fills a dispatcher's descriptors.

It runs in a process of its own (`python -m pearhill.lab.soak.connection_flood HOST PORT CONNECTIONS`): hundreds of
connections that are ended and come again would keep the soak's event loop from its discovery agents and replicas, whose
lateness would then be taken for the dispatchers'."""

from __future__ import annotations

import asyncio
import contextlib
import sys

RECONNECT_S = 0.1  # after which a client whose connection was ended comes again


class ConnectionFlood:
    """Clients that connect to one dispatcher, ask for nothing, and come again when their connections are ended."""

    def __init__(self, name: str, host: str, port: int, connections: int) -> None:
        self.name = name  # the dispatcher's
        self._arguments = (host, str(port), str(connections))
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until its clients connect. RuntimeError: it ended before."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", __name__, *self._arguments, stdout=asyncio.subprocess.PIPE
        )
        assert self._process.stdout
        if not await self._process.stdout.readline():
            raise RuntimeError(f"the flood of {self.name} did not start")

    async def stop(self) -> None:
        """End the process, and all connections with it."""
        if self._process:
            with contextlib.suppress(ProcessLookupError):  # it has ended by itself
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
