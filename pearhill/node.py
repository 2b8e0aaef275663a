"""What every running dispatcher is made of, whatever fronts and servers it has: its start and its end."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from loguru import logger

from pearhill import interface as i
from pearhill.config import ConfigError
from pearhill.core.deadlines import Deadlines
from pearhill.core.dispatcher import Dispatcher
from pearhill.counters import Counters
from pearhill.http1.handler import Handler
from pearhill.http1.server import MAX_BODY
from pearhill.net.address import Address
from pearhill.net.backend import Dialect, HttpBackend
from pearhill.net.clock import start_clock
from pearhill.net.listener import Listener
from pearhill.net.pool import Pool
from pearhill.net.turns import Turns, pause
from pearhill.settings import Deployment

SPARE = 48  # descriptors for the log, the loop, the listener, and
FOR_BOOKS = 24  # of them for releases and the list of servers
KEEP_OPEN = 500_000  # after SIGTERM clients still use the connections they have, and new ones still come
ACCEPT_FOR = 1_000_000
RELEASES_FOR = 1_000_000  # at the end, for releases that are still being tried
LOOK_AGAIN = 20_000


def _keep_idle(deployment: Deployment) -> int:
    """How long a connection may stand unused: well under what the servers allow."""
    return deployment.conn_idle * 2 // 3


@dataclass(frozen=True, slots=True)
class Limits:
    sockets: int
    seed: int
    max_body: int = MAX_BODY  # bytes of a request
    send_buffer: int = 0  # bytes that the system may hold for one client; 0: as it likes


class Node:
    """A dispatcher with its pool and backend. Belongs to the running event loop."""

    def __init__(self, deployment: Deployment, dialect: Dialect, limits: Limits) -> None:
        loop = asyncio.get_running_loop()
        self.loop = loop
        self.counters = Counters()
        self.deadlines = Deadlines(start_clock())
        self.turns = Turns(loop, self.deadlines)
        self.limits = limits
        self.room = (limits.sockets - SPARE) // 2  # for clients, and as many for requests at servers
        self.pool = Pool(loop, self.deadlines, self.counters, connect_timeout=deployment.connect_timeout,
                         keep_idle=_keep_idle(deployment), most=self.room, spare=FOR_BOOKS)
        self.dispatcher = Dispatcher(deployment, limits.seed, self.deadlines, self.counters)
        self.backend = HttpBackend(self.pool, dialect)
        self.dispatcher.backend = self.backend
        self.draining = False
        self.on_report: Callable[[], None] = lambda: None  # told when the counters are logged

    def listed(self, full: bool, entries: tuple[i.Entry, ...], addresses: dict[int, Address]) -> None:
        """A list of servers, to be in force before the next send."""
        self.counters.lists += 1
        self.backend.locate(addresses, [entry.engine for entry in entries if entry.phase == i.GONE], full)
        self.dispatcher.listed(full, entries)

    def reconfigure(self, deployment: Deployment) -> None:
        """Other settings for a running dispatcher. ConfigError: they ask for what only a start can do."""
        old, new = self.dispatcher.deployment.held_fast(), deployment.held_fast()
        if unlike := [key for key in old if old[key] != new[key]]:
            raise ConfigError(f"settings.{unlike[0]}: cannot change while running")
        self.dispatcher.reconfigure(deployment)
        self.pool.reconfigure(deployment.connect_timeout, _keep_idle(deployment))

    def _reload(self, reload: Callable[[], str]) -> None:
        """Danger: whatever a file holds, and whenever it is read, the process and all that it has taken live on."""
        try:
            logger.info("reload: done, {result}", result=reload())
        except ConfigError as e:
            logger.warning("reload: the old configuration stays: {error}", error=str(e))

    async def serve(self, address: Address, handler: Handler, name: str, reload: Callable[[], str],
                    opened: Callable[[Address], None] = lambda address: None,
                    leaving: Callable[[], Awaitable[None]] | None = None) -> None:
        """Take requests until SIGTERM or SIGINT, then see through all that was taken. `reload` reads the
        configuration anew at each SIGHUP and tells in words what came of it."""
        stopped = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, stopped.set)
        self.loop.add_signal_handler(signal.SIGUSR1, self.report)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload, reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        listener = Listener(self.loop, self.deadlines, self.counters, handler, self.room,
                            self.limits.max_body, self.limits.send_buffer)
        host, port = listener.listen(address)
        logger.info("{name} listens on {host}:{port}", name=name, host=host, port=port)
        opened((host, port))
        await stopped.wait()
        logger.info("draining: {requests} requests open", requests=len(self.dispatcher.requests))
        self.draining = True
        listener.drain()
        if leaving:
            await leaving()
        await pause(self.deadlines, KEEP_OPEN)
        listener.close_idle()
        await pause(self.deadlines, ACCEPT_FOR - KEEP_OPEN)
        await listener.stop_accepting()
        await self.until(lambda: listener.quiet, listener.close_idle)
        await listener.close()
        # Danger: as the loop closes, the system's own handling comes back, and a late SIGHUP would end the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

    async def until(self, quiet: Callable[[], bool] = lambda: True, meanwhile: Callable[[], None] = lambda: None,
                    ) -> None:
        """Wait for the end of every request and whatever else is to be quiet, then a while for the last releases.
        Danger: the system ends a process that takes long, and a replica that is gone never answers a release."""
        while self.dispatcher.requests or not quiet():
            await pause(self.deadlines, LOOK_AGAIN)
            meanwhile()
        last = self.deadlines.clock() + RELEASES_FOR
        while self.backend.releasing and self.deadlines.clock() < last:
            await pause(self.deadlines, LOOK_AGAIN)

    def close(self) -> None:
        self.pool.close()
        self.turns.close()
        self.report()

    def report(self) -> None:
        counts = self.counters.as_dict()
        logger.bind(counters=counts).info("counters {}", json.dumps(counts))
        self.on_report()
