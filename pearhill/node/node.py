"""What every running dispatcher is made of, whatever fronts and servers it has: its start and its end."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from loguru import logger

from pearhill.config import ConfigError
from pearhill.core.deadlines import Deadlines, Key
from pearhill.core.dispatcher import Dispatcher
from pearhill.counters import Counters, Figures
from pearhill.http1.handler import Handler
from pearhill.http1.server import MAX_BODY
from pearhill.lifecycle.drain import NO_IDLE, OPEN, Drain
from pearhill.lifecycle.endpoint_overrides import EndpointOverrides
from pearhill.lifecycle.overrides import OperatorOverrides
from pearhill.net.address import Address
from pearhill.net.backend import Dialect, HttpBackend
from pearhill.net.clock import start_clock, wall_clock
from pearhill.net.listener import EXHAUSTED, Listener
from pearhill.net.pool import Pool
from pearhill.net.ticks import EventLoopTicks, pause
from pearhill.routing.start_times import StartTimes
from pearhill.routing.topology import Endpoint, Phase
from pearhill.settings import Deployment

SPARE = 48  # descriptors for the log, the loop, the listener, and
FOR_BOOKS = 24  # of them for releases and the list of servers
DOOR = 16  # and for operators' calls, where there is a door for them
RELEASES_FOR = 1_000_000  # after the last request, for releases; and all through the time to end in
LEAST_ROOM = 8
LOOK_AGAIN = 20_000
LISTEN_WITHIN = 20_000_000  # a start that takes longer counts as failed
OBSERVE_WALL_CLOCK = 500_000  # between two looks for a step of the wall clock
DOOR_BODY = 4096  # bytes of a call that has no use for any


def _keep_idle(deployment: Deployment) -> int:
    """How long a connection may stand unused: well under what the servers allow."""
    return deployment.connection_idle_timeout * 2 // 3


@dataclass(frozen=True, slots=True)
class Limits:
    sockets: int
    seed: int
    max_body: int = MAX_BODY  # bytes of a request
    send_buffer: int = 0  # bytes that the system may hold for one client; 0: as it likes
    has_admin_endpoint: bool = False  # operators have an address of their own


class Node:
    """A dispatcher with its pool and backend. Belongs to the running event loop."""

    def __init__(self, deployment: Deployment, dialect: Dialect, limits: Limits) -> None:
        loop = asyncio.get_running_loop()
        self.loop = loop
        self.counters = Counters()
        self.deadlines = Deadlines(start_clock())
        self.ticks = EventLoopTicks(loop, self.deadlines)
        self.start_times = StartTimes(self.deadlines.clock(), wall_clock())
        self._observe_wall_clock()
        self.limits = limits
        self.dispatchers = 0  # that share the work, where somebody here counts them; 0: as the settings say
        self.process_count = 1  # processes that share the limits and this dispatcher's part of all else
        self.settings = deployment
        self.pool = Pool(
            loop,
            self.deadlines,
            self.counters,
            connect_timeout=deployment.connect_timeout,
            keep_idle=_keep_idle(deployment),
            most=self.connection_limit,
            spare=FOR_BOOKS,
        )
        self.dispatcher = Dispatcher(deployment, limits.seed, self.deadlines, self.counters)
        self.backend = HttpBackend(self.pool, dialect, self.dispatcher.health_check_ended)
        self.dispatcher.backend = self.backend
        self.overrides = OperatorOverrides()
        self.endpoint_overrides = EndpointOverrides(self.overrides)
        self.drain = Drain()
        self.listener: Listener | None = None
        self._drain_key: Key | None = None
        self.succeeded: Callable[[], bool] = lambda: False  # another process takes the clients
        self.on_report: Callable[[], None] = lambda: None  # told when the counters are logged

    @property
    def connection_limit(self) -> int:
        """Descriptors for clients, and as many for requests at servers."""
        return max(
            LEAST_ROOM, (self.limits.sockets // self.process_count - SPARE - DOOR * self.limits.has_admin_endpoint) // 2
        )

    def share_limits(self, parts: int) -> None:
        """So many processes are this dispatcher now. Each would hold what all of them may hold, and send a
        cold engine what all of them may send it."""
        if parts == self.process_count:
            return
        self.process_count = parts
        self.pool.bound(self.connection_limit)
        if self.listener:
            self.listener.bound(self.connection_limit)
        self._settle()

    def _settle(self) -> None:
        router = self.settings.router
        self.dispatcher.reconfigure(
            replace(
                self.settings,
                router=replace(router, instances=(self.dispatchers or router.instances) * self.process_count),
            )
        )

    def share_work(self, dispatchers: int) -> None:
        """So many dispatchers are there now, whatever the settings said."""
        if dispatchers != self.dispatchers:
            self.dispatchers = dispatchers
            self._settle()

    @property
    def accepting(self) -> bool:
        return self.listener is not None and self.listener.accepting

    @property
    def quiet(self) -> bool:
        """Nobody is being answered."""
        return not self.dispatcher.requests and (self.listener is None or self.listener.quiet)

    def yield_to_successor(self, on: bool) -> None:
        """Another process takes this dispatcher's clients, or has gone before this one did."""
        if on != (self.drain.yielding is not None):
            self.drain.yield_to_successor(self.deadlines.clock(), on)
            if self.listener:
                self.listener.pause(on)
            self._drained()

    @property
    def draining(self) -> bool:
        return self.drain.on

    def update_endpoints(self, full: bool, entries: tuple[Endpoint, ...], addresses: dict[int, Address]) -> None:
        """A list of servers, to be in force before the next send."""
        self.counters.lists += 1
        self._note_step()
        entries = self.start_times.place(self.deadlines.clock(), full, entries)
        self.backend.update_addresses(
            addresses, [entry.replica for entry in entries if entry.phase == Phase.GONE], full
        )
        self.dispatcher.update_endpoints(full, self.endpoint_overrides.update(full, entries))

    def _observe_wall_clock(self) -> None:
        self._note_step()
        self.deadlines.after(OBSERVE_WALL_CLOCK, self._observe_wall_clock)

    def _note_step(self) -> None:
        if step := self.start_times.observe(self.deadlines.clock(), wall_clock()):
            self.counters.clock_steps += 1
            logger.warning("clock: the wall clock was stepped by {ms} ms", ms=step // 1000)

    # Operators' calls.

    def figures(self) -> Figures:
        core = self.dispatcher
        return Figures(
            dict(zip(core.deployment.class_names, core.calls_by_class, strict=True)),
            core.inflight,
            self.counters.written,
            len(core.endpoints),
            core.router.avoided_count(self.deadlines.clock()),
        )

    def set_replica_down(self, engine: int, out: bool) -> bool:
        """Take a server out, or use it again, until the other is asked for. False: nobody has this number."""
        if not self.endpoint_overrides.knows(engine):
            return False
        self.overrides.set_down(engine, self.deadlines.clock(), out)
        self.apply_overrides({engine}, False)
        return True

    def request_drain(self, on: bool) -> None:
        self.overrides.set_drain(self.deadlines.clock(), on)
        self.apply_overrides(set(), True)

    def apply_overrides(self, engines: set[int], drain: bool) -> None:
        """These wishes have changed, here or at another process."""
        if drain and (wish := self.overrides.drain):
            self.drain.request(self.deadlines.clock(), wish.on)
            self._drained()
        for engine in engines:
            # It is restarted while it is out. A request on a connection from before ends as a reset.
            if address := self.backend.addresses.get(engine):
                self.pool.drop_idle(address)
        if told := self.endpoint_overrides.reapply(engines):
            self.dispatcher.update_endpoints(False, told)

    def _drained(self) -> None:
        """Do what the drain's stage asks for."""
        listener, now = self.listener, self.deadlines.clock()
        self.deadlines.cancel(self._drain_key)
        self._drain_key = None
        if listener is None:
            return
        stage = self.drain.stage(now)
        listener.last_answers(stage != OPEN)
        if stage == NO_IDLE:
            listener.close_idle()
        if (due := self.drain.tick(now)) is not None:
            self._drain_key = self.deadlines.at(due, self._drained)

    def reconfigure(self, deployment: Deployment) -> None:
        """Other settings for a running dispatcher. ConfigError: they ask for what only a start can do."""
        old, new = self.dispatcher.deployment.fixed_at_start(), deployment.fixed_at_start()
        if unlike := [key for key in old if old[key] != new[key]]:
            raise ConfigError(f"settings.{unlike[0]}: cannot change while running")
        self.settings = deployment
        if self.drain.ending is not None:  # the platform may go by the new deadlines, and kill sooner
            self.end_process()
        self._settle()
        self.pool.reconfigure(deployment.connect_timeout, _keep_idle(deployment))

    def _open_door(self, address: Address, handler: Handler) -> Listener:
        operators = Listener(self.loop, self.deadlines, self.counters, handler, DOOR, DOOR_BODY, side="operator")
        operators.last_answers()  # one call a connection
        try:
            host, port = operators.listen(address)
        except OSError as e:
            raise OSError(f"admin_addr: {address[0]}:{address[1]}: {e.strerror or e}") from None
        logger.info("operators are heard on {host}:{port}", host=host, port=port)
        return operators

    def _reload(self, reload: Callable[[], str]) -> None:
        """Whatever a file holds, and whenever it is read, the process and all that it has taken live on."""
        try:
            logger.info("reload: done, {result}", result=reload())
        except ConfigError as e:
            logger.warning("reload: the old configuration stays: {error}", error=str(e))

    async def serve(
        self,
        address: Address | socket.socket,
        handler: Handler,
        name: str,
        reload: Callable[[], str],
        opened: Callable[[Address], None] = lambda address: None,
        leaving: Callable[[], Awaitable[None]] | None = None,
        door: tuple[Address, Handler] | None = None,
        may_accept: Callable[[], bool] = lambda: True,
    ) -> None:
        """Take requests until SIGTERM or SIGINT, then see through all that was taken. `reload` reads the
        configuration anew at each SIGHUP and tells in words what came of it. `door`: where operators call, and what
        answers them. `address` may be a socket that listens already: its clients are taken from `may_accept` on, and
        left to another process that takes them too."""
        stopped = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, stopped.set)
        self.loop.add_signal_handler(signal.SIGUSR1, self.report)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload, reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP, signal.SIGUSR1})
        operators = self._open_door(*door) if door else None
        listener = self.listener = Listener(
            self.loop,
            self.deadlines,
            self.counters,
            handler,
            self.connection_limit,
            self.limits.max_body,
            self.limits.send_buffer,
        )
        while not (free := may_accept()) and not stopped.is_set():
            await pause(self.deadlines, LOOK_AGAIN)
        if free:  # Told to end before it could serve, it would take another's clients to refuse them.
            host, port = await self._listen(listener, address)
            self._drained()  # one that was asked for before, maybe at another process
            logger.info("{name} listens on {host}:{port}", name=name, host=host, port=port)
            opened((host, port))
        await stopped.wait()
        logger.info("draining: {requests} requests open", requests=len(self.dispatcher.requests))
        self.end_process()
        self._drained()
        if self.succeeded():
            listener.stop_accepting(leave=True)
        if leaving:
            await leaving()
        while not self._since_term(self.drain.times.accept_for):
            await pause(self.deadlines, LOOK_AGAIN)
        while not self.succeeded() and not listener.accept_all() and not self._since_term(self.drain.times.end_by):
            await pause(self.deadlines, LOOK_AGAIN)
        listener.stop_accepting(leave=self.succeeded())
        await self.until(lambda: not listener.open, lambda: self._send_away(listener))
        await listener.close()
        if operators:
            await operators.close()
        # As the loop closes, the system's own handling comes back, and a late signal would end the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGUSR1})

    async def _listen(self, listener: Listener, address: Address | socket.socket) -> Address:
        """Open the address to clients. OSError: it cannot be used, or the system has had no socket for too long."""
        if not isinstance(address, tuple):
            return listener.adopt(address)
        give_up = self.deadlines.clock() + LISTEN_WITHIN
        while True:
            try:
                return listener.listen(address)
            except OSError as e:
                if e.errno not in EXHAUSTED or self.deadlines.clock() >= give_up:
                    raise
                self.counters.shortages += 1
            await pause(self.deadlines, LOOK_AGAIN)

    def end_process(self) -> None:
        """The process is to end, in the time that the platform leaves it."""
        longest = max((spec.deadline for spec in self.settings.router.classes), default=0)
        self.drain.end_process(self.deadlines.clock(), longest)

    def _since_term(self, span: int) -> bool:
        """Whether so many microseconds have gone by since the process was told to end."""
        assert self.drain.ending is not None
        return self.deadlines.clock() >= self.drain.ending + span

    def _send_away(self, listener: Listener) -> None:
        """Nobody is taken any more: end what is owed nothing, and in the end half requests too."""
        listener.close_idle()
        if self.drain.ends_all(self.deadlines.clock()):
            listener.refuse_half_requests()

    async def until(
        self,
        quiet: Callable[[], bool] = lambda: True,
        meanwhile: Callable[[], None] = lambda: None,
    ) -> None:
        """Wait for the end of every request and whatever else is to be quiet, and for the releases, as long as the
        system surely lets this process live. A replica that is gone never answers one; and what is looked at
        before a wait may be owed after it, so that all of it holds in the same turn of the loop."""
        last = self.deadlines.clock()
        while True:
            meanwhile()
            if self.dispatcher.requests or not quiet():
                last = self.deadlines.clock() + RELEASES_FOR
            elif not self.backend.releasing or (
                self.deadlines.clock() >= last and self._since_term(self.drain.times.kill_after)
            ):
                return
            await pause(self.deadlines, LOOK_AGAIN)

    def close(self) -> None:
        self.pool.close()
        self.ticks.close()
        self.report()

    def report(self) -> None:
        counts = self.counters.as_dict()
        logger.bind(counters=counts).info("counters {}", json.dumps(counts))
        self.on_report()
