"""One dispatcher of the platform: its parts put together, its start and its end."""

from __future__ import annotations

import asyncio
import json
import signal

from loguru import logger

from pearhill import interface as i
from pearhill.config import Config
from pearhill.core.deadlines import Deadlines
from pearhill.core.dispatcher import Dispatcher
from pearhill.counters import Counters
from pearhill.net.clock import start_clock
from pearhill.net.listener import Listener
from pearhill.net.pool import Address, Pool
from pearhill.net.turns import Turns, pause
from pearhill.platform.discovery import Watch
from pearhill.platform.front import PlatformFront
from pearhill.platform.replica import ReplicaBackend

HOST = "app.svc"
SPARE = 48  # descriptors for the log, the loop, the listener and discovery
KNOWN_AFTER = 1_000_000  # how long discovery may stay silent before the list known at the start must do
KEEP_OPEN = 500_000  # after SIGTERM clients still use the connections they have, and new ones still come
ACCEPT_FOR = 1_000_000


class Daemon:
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.counters = Counters()
        self.deadlines = Deadlines(start_clock())
        self.turns = Turns(loop, self.deadlines)
        deployment = config.deployment
        room = config.sockets - SPARE
        self.pool = Pool(loop, self.deadlines, self.counters, connect_timeout=deployment.connect_timeout,
                         keep_idle=deployment.conn_idle * 2 // 3, most=room // 2)
        self.dispatcher = Dispatcher(deployment, config.seed, self.deadlines, self.counters)
        self.backend = ReplicaBackend(self.pool, HOST)
        self.dispatcher.backend = self.backend
        self.watch = Watch(self.pool, config.discovery, deployment, self._listed)
        self.front = PlatformFront(self.dispatcher, self._is_ready)
        self.listener = Listener(loop, self.deadlines, self.counters, self.front, most=room // 2)
        self.settled = self.draining = False
        self.stopped = asyncio.Event()

    def _listed(self, full: bool, entries: tuple[i.Entry, ...], addresses: dict[int, Address]) -> None:
        self.counters.lists += 1
        for entry in entries:
            self.backend.locate(entry.engine, addresses[entry.engine], entry.phase != i.GONE)
        self.dispatcher.listed(full, entries)

    def _is_ready(self) -> bool:
        return not self.draining and (self.watch.heard or self.settled) and self.dispatcher.can_answer

    def _settle(self) -> None:
        self.settled = True

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        if self.config.known.get("targets"):
            self.watch.apply(self.config.known)
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stopped.set)
        loop.add_signal_handler(signal.SIGUSR1, self.report)
        watching = self.pool.spawn(self.watch.run())
        self.deadlines.after(KNOWN_AFTER, self._settle)
        host, port = self.listener.listen(self.config.listen)
        logger.info("{} listens on {}:{}", self.config.name, host, port)
        await self.stopped.wait()
        await self._drain()
        watching.cancel()
        await self.listener.close()
        self.pool.close()
        self.turns.close()
        self.report()

    async def _drain(self) -> None:
        """SIGTERM: what comes is still taken and answered; the end comes when nothing is owed any more."""
        logger.info("draining: {} requests open", len(self.dispatcher.requests))
        self.draining = True
        self.listener.drain()
        await pause(self.deadlines, KEEP_OPEN)
        self.listener.close_idle()
        await pause(self.deadlines, ACCEPT_FOR - KEEP_OPEN)
        await self.listener.stop_accepting()
        while self.dispatcher.requests or self.backend.releasing or not self.listener.quiet:
            await pause(self.deadlines, 20_000)
            self.listener.close_idle()

    def report(self) -> None:
        logger.info("counters {}", json.dumps(self.counters.as_dict()))
