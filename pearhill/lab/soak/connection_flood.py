"""A flood of idle connections, which fills a dispatcher's descriptors."""

from __future__ import annotations

import asyncio
import contextlib

from pearhill.lab.soak.connection import ListenAddress


class ConnectionFlood:
    """Clients that connect to one dispatcher, ask for nothing, and come again when they are sent away."""

    def __init__(self, address: ListenAddress, size: int) -> None:
        self.address, self.size = address, size
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Open all connections, each in a task of its own."""
        self._tasks = [asyncio.ensure_future(self._hold_connection()) for _ in range(self.size)]

    async def _hold_connection(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
                try:
                    await reader.read(1)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.1)

    def stop(self) -> None:
        """Close them; nobody connects again."""
        for task in self._tasks:
            task.cancel()
