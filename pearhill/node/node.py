"""A running dispatcher, independent of its front ends and replicas: its start, reload and shutdown."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace

from loguru import logger

from pearhill.config import ConfigError
from pearhill.core.deadlines import Deadlines
from pearhill.core.dispatcher import Dispatcher
from pearhill.core.request_ids import RequestIds
from pearhill.counters import Counters, Figures
from pearhill.durable.clock_file import ClockFile
from pearhill.http1.handler import Handler
from pearhill.lifecycle.drain import Drain
from pearhill.net.address import Address
from pearhill.net.admin_listener import open_admin_listener
from pearhill.net.backend import HttpBackend
from pearhill.net.clock import start_clock
from pearhill.net.dialect import Dialect
from pearhill.net.input_scheduler import InputScheduler
from pearhill.net.listener import Listener
from pearhill.net.memory_limit import MemoryLimit
from pearhill.net.pool import Pool
from pearhill.net.tick_meter import TickMeter
from pearhill.net.ticks import EventLoopTicks, pause
from pearhill.node.drain_control import DrainControl
from pearhill.node.limits import MAINTENANCE_DESCRIPTORS, Limits
from pearhill.node.listeners import listen_for_clients
from pearhill.node.override_control import OverrideControl
from pearhill.node.shutdown import GracefulShutdown
from pearhill.node.signals import handled_signals
from pearhill.node.wall_clock import WallClockObserver
from pearhill.routing.topology import Endpoint, Phase
from pearhill.settings import Deployment

RECHECK_INTERVAL_US = 20_000  # between two checks whether clients may be accepted yet


def _idle_timeout(deployment: Deployment) -> int:
    """Returns for how many microseconds a connection may stay idle.

    The time is two thirds of the replicas' own timeout, so that the dispatcher closes an idle connection before a
    replica does.
    """
    return deployment.connection_idle_timeout * 2 // 3


class Node:
    """A dispatcher with its connection pool and backend. It belongs to the running event loop.

    Its owner may set two callbacks: `has_successor` returns whether a successor accepts the clients, and
    `on_report` is called when the counters are logged.
    """

    def __init__(
        self,
        deployment: Deployment,
        dialect: Dialect,
        limits: Limits,
        request_ids: RequestIds | None = None,
        clock_file: ClockFile | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.loop = loop
        self.counters = Counters()
        self.tick_meter = TickMeter(loop, self.counters)
        self.input_scheduler = InputScheduler(loop)
        self.deadlines = Deadlines(start_clock())
        self.ticks = EventLoopTicks(loop, self.deadlines, self.tick_meter)
        self._wall_clock = WallClockObserver(self.deadlines, self.counters, clock_file)
        self.limits = limits
        self.dispatcher_count = 0  # dispatchers that share the work; 0: not counted, the settings' number is used
        self.process_count = 1  # processes that share this dispatcher's limits and its part of the work
        self.settings = deployment
        self.request_memory = MemoryLimit(limits.request_memory_bytes(1), self.connection_limit)
        self.pool = Pool(
            loop,
            self.deadlines,
            self.counters,
            connect_timeout=deployment.connect_timeout,
            idle_timeout=_idle_timeout(deployment),
            max_connections=self.connection_limit,
            reserved_connections=MAINTENANCE_DESCRIPTORS,
            tick_meter=self.tick_meter,
        )
        self.dispatcher = Dispatcher(deployment, limits.seed, self.deadlines, self.counters, request_ids)
        self.response_memory = MemoryLimit(limits.response_memory_bytes(1), self.connection_limit)
        self.backend = HttpBackend(
            self.pool, dialect, self.dispatcher.health_check_ended, response_memory=self.response_memory
        )
        self.dispatcher.backend = self.backend
        self._drain_control = DrainControl(self.deadlines)
        self.override_control = OverrideControl(
            self.deadlines, self.dispatcher, self.backend, self.pool, self._drain_control
        )
        self.has_successor: Callable[[], bool] = lambda: False
        self.on_report: Callable[[], None] = lambda: None
        self._shutdown = GracefulShutdown(
            self.drain, self.deadlines, self.dispatcher, self.backend, lambda: self.has_successor()
        )

    @property
    def connection_limit(self) -> int:
        """The maximum number of connections to clients, and also to replicas, for this process."""
        return self.limits.connections(self.process_count)

    @property
    def drain(self) -> Drain:
        """The state of the drain, which operators, a successor or SIGTERM may have begun."""
        return self._drain_control.drain

    @property
    def draining(self) -> bool:
        """Whether a drain is in progress."""
        return self.drain.active

    @property
    def listener(self) -> Listener | None:
        """The clients' listener, or None before `serve`."""
        return self._drain_control.listener

    @property
    def accepting(self) -> bool:
        """Whether this process accepts clients."""
        return self.listener is not None and self.listener.accepting

    @property
    def all_answered(self) -> bool:
        """Whether every accepted request has been answered."""
        return not self.dispatcher.requests and (self.listener is None or self.listener.all_answered)

    def share_limits(self, process_count: int) -> None:
        """Divide the limits among the `process_count` processes that this dispatcher now consists of.

        Undivided limits would let each process open as many connections as all of them together may, and send a
        replica that is warming up as many requests as all of them together may.
        """
        if process_count == self.process_count:
            return
        self.process_count = process_count
        self.pool.set_max_connections(self.connection_limit)
        self.request_memory.set_limits(self.limits.request_memory_bytes(process_count), self.connection_limit)
        self.response_memory.set_limits(self.limits.response_memory_bytes(process_count), self.connection_limit)
        if self.listener:
            self.listener.set_max_connections(self.connection_limit)
        self._reconfigure_dispatcher()

    def set_fleet_size(self, dispatcher_count: int) -> None:
        """Set the number of dispatchers that share the work, which overrides the number in the settings."""
        if dispatcher_count != self.dispatcher_count:
            self.dispatcher_count = dispatcher_count
            self._reconfigure_dispatcher()

    def yield_to_successor(self, on: bool) -> None:
        """Record that a successor accepts the clients (`on`), or that it has exited before this process."""
        self._drain_control.yield_to_successor(on)

    def update_endpoints(self, full: bool, entries: tuple[Endpoint, ...], addresses: dict[int, Address]) -> None:
        """Apply endpoints, in force before the next attempt. With `full`, they replace all earlier ones."""
        self.counters.lists += 1
        entries = self._wall_clock.translate_start_times(full, entries)
        removed = [entry.replica for entry in entries if entry.phase == Phase.GONE]
        self.backend.update_addresses(addresses, removed, full)
        self.override_control.update_endpoints(full, entries)

    def figures(self) -> Figures:
        """Returns the figures that the admin endpoint reports."""
        dispatcher = self.dispatcher
        return Figures(
            dict(zip(dispatcher.deployment.class_names, dispatcher.calls_by_class, strict=True)),
            dispatcher.inflight,
            self.counters.written,
            len(dispatcher.endpoints),
            dispatcher.router.avoided_count(self.deadlines.clock()),
        )

    def reconfigure(self, deployment: Deployment) -> None:
        """Apply other settings while running. Raises ConfigError if they change a value that needs a restart."""
        old = self.dispatcher.deployment.fixed_at_start()
        new = deployment.fixed_at_start()
        changed = [key for key in old if old[key] != new[key]]
        if changed:
            raise ConfigError(f"settings.{changed[0]}: cannot change while running")
        self.settings = deployment
        if self.drain.ending_since is not None:  # the platform may apply the new deadlines, and send SIGKILL sooner
            self.end_process()
        self._reconfigure_dispatcher()
        self.pool.reconfigure(deployment.connect_timeout, _idle_timeout(deployment))

    async def serve(
        self,
        address: Address | socket.socket,
        handler: Handler,
        name: str,
        reload: Callable[[], str],
        on_listening: Callable[[Address], None] = lambda address: None,
        on_shutdown: Callable[[], Awaitable[None]] | None = None,
        admin: tuple[Address, Handler] | None = None,
        may_accept: Callable[[], bool] = lambda: True,
    ) -> None:
        """Accept requests until SIGTERM or SIGINT, then answer every accepted request.

        `reload` reads the configuration again at each SIGHUP and returns a description of the result. `admin` is the
        address of the admin endpoint and the handler of its calls. `address` may be a socket that is already
        listening: its clients are accepted once `may_accept` returns True, and until then are left to the other
        process that accepts from the same socket.
        """
        stopped = asyncio.Event()
        with handled_signals(self.loop, stopped.set, self.report, reload):
            admin_listener = (
                open_admin_listener(self.loop, self.deadlines, self.counters, *admin) if admin is not None else None
            )
            listener = self._drain_control.listener = self._make_listener(handler)
            # A process that is stopped before it can serve must not accept: it would reject clients that the
            # predecessor can answer.
            if await self._wait_until_accepting_allowed(may_accept, stopped):
                host, port = await listen_for_clients(listener, address, self.deadlines, self.counters)
                self._drain_control.apply()  # a drain may have been requested before, possibly at another process
                logger.info("{name} listens on {host}:{port}", name=name, host=host, port=port)
                on_listening((host, port))
            await stopped.wait()
            logger.info("draining: {requests} requests open", requests=len(self.dispatcher.requests))
            self.end_process()
            self._drain_control.apply()
            await self._shutdown.run(listener, on_shutdown)
            if admin_listener:
                await admin_listener.close()

    def end_process(self) -> None:
        """Begin the shutdown, which has to finish before the platform sends SIGKILL."""
        longest = max((spec.deadline for spec in self.settings.router.classes), default=0)
        self.drain.end_process(self.deadlines.clock(), longest)

    async def wait_until_finished(self) -> None:
        """After `end_process`, wait until every request and release has ended, or until the time for it is over."""
        await self._shutdown.wait_until_finished()

    def close(self) -> None:
        """Close the connections to replicas, and log the counters for the last time."""
        self.pool.close()
        self.ticks.close()
        self.report()

    def report(self) -> None:
        """Log the counters."""
        counts = self.counters.as_dict()
        logger.bind(counters=counts).info("counters {}", json.dumps(counts))
        self.on_report()

    async def _wait_until_accepting_allowed(self, may_accept: Callable[[], bool], stopped: asyncio.Event) -> bool:
        """Wait until clients may be accepted. Returns False if the process is stopped before that."""
        while not may_accept():
            if stopped.is_set():
                return False
            await pause(self.deadlines, RECHECK_INTERVAL_US)
        return True

    def _make_listener(self, handler: Handler) -> Listener:
        return Listener(
            self.loop,
            self.deadlines,
            self.counters,
            handler,
            self.connection_limit,
            self.limits.max_body,
            self.limits.send_buffer,
            request_memory=self.request_memory,
            tick_meter=self.tick_meter,
            input_scheduler=self.input_scheduler,
        )

    def _reconfigure_dispatcher(self) -> None:
        """Apply the settings to the dispatcher, with the number of processes that share the work filled in."""
        router = self.settings.router
        instances = (self.dispatcher_count or router.instances) * self.process_count
        self.dispatcher.reconfigure(replace(self.settings, router=replace(router, instances=instances)))
