"""Assembles and runs one dispatcher of the platform."""

from __future__ import annotations

import random
from collections.abc import Callable

from loguru import logger

from pearhill.admin.endpoint import AdminEndpoint
from pearhill.config import Config, for_next_start
from pearhill.core.request_ids import RequestIds
from pearhill.durable.clock_file import ClockFile
from pearhill.durable.request_id_file import RequestIdFile
from pearhill.net.listener import inherited_socket
from pearhill.node.limits import Limits
from pearhill.node.node import Node
from pearhill.node.operations import Operations
from pearhill.node.process_info import boot_id
from pearhill.node.takeover import TakeoverTask
from pearhill.platform.discovery import Watch
from pearhill.platform.front import PlatformFrontEnd
from pearhill.platform.replica import ReplicaDialect
from pearhill.platform.schedule import CallSchedule

# If discovery has not answered the first call for so long, the list known at the start is used.
KNOWN_LIST_DELAY_US = 1_000_000

# Derives the schedule's seed from the node's. The Router draws from the node's seed: the two must not draw the same.
SCHEDULE_SEED_MASK = 0x51


async def serve(config: Config, read_config: Callable[[Config], Config]) -> None:
    """Run one dispatcher until a signal ends the process.

    `read_config` reads the configuration again. Its argument is the configuration in force.
    """
    await PlatformDaemon(config, read_config).run()


class PlatformDaemon:
    """Runs the node, the watch of its discovery and the takeover from another process; decides when it may serve."""

    def __init__(self, config: Config, read_config: Callable[[Config], Config]) -> None:
        self.config = config
        self.read_config = read_config
        self.node = Node(
            config.deployment,
            ReplicaDialect(),
            Limits(
                config.sockets,
                config.seed,
                has_admin_endpoint=config.admin is not None,
                memory_mb=config.memory_mb,
            ),
            _shared_request_ids(config),
            _clock_file(config),
        )
        self.schedule = _schedule(config)
        self.watch = Watch(
            self.node.pool,
            config.discovery,
            config.deployment,
            self.node.update_endpoints,
            self.schedule,
            config.known_endpoints,
        )
        self.takeover: TakeoverTask | None = None
        if config.passed_socket is not None and config.message_folder:
            self.takeover = TakeoverTask(self.node, config.message_folder, config.name)

    async def run(self) -> None:
        """Serve until a signal ends the process, then close all connections."""
        config = self.config
        self.watch.start()
        admin = (config.admin, AdminEndpoint(Operations(self.node, self.reports_ready))) if config.admin else None
        clients = config.listen if config.passed_socket is None else inherited_socket(config.passed_socket)
        await self.node.serve(
            clients,
            PlatformFrontEnd(self.node.dispatcher, self.is_ready, self.node.drain.rejects),
            config.name,
            self.reload,
            admin=admin,
            may_accept=self.may_accept,
        )
        if self.takeover:
            self.takeover.end()
        self.watch.stop()
        self.node.close()

    def has_current_list(self) -> bool:
        """Return whether there is an endpoint list that may be used.

        The list known at the start may be outdated. It is used only if discovery does not answer the first call within
        `KNOWN_LIST_DELAY_US`. At a shared service that call may be some seconds after the start.
        """
        if self.watch.has_answered:
            return True
        called_at = self.watch.first_call_at
        return called_at is not None and self.node.deadlines.clock() > called_at + KNOWN_LIST_DELAY_US

    def can_serve(self) -> bool:
        """Return whether there is a usable endpoint list with a replica that can answer."""
        return self.has_current_list() and self.node.dispatcher.has_ready_decoder

    def is_ready(self) -> bool:
        """Return the answer to the platform's readiness checks."""
        return self.can_serve() and not self.node.drain.out_of_rotation

    def may_accept(self) -> bool:
        """Return whether clients may be accepted yet.

        The dispatcher is held to the list that discovery has from the start of the process on. A request accepted
        before discovery's first answer would be forwarded according to an outdated list.
        """
        if self.takeover is None:
            return self.has_current_list()
        return self.takeover.may_accept(self.can_serve())

    def reports_ready(self) -> bool:
        """Return the readiness that the operators' call reports."""
        if not (self.can_serve() and self.node.accepting):
            return False
        return self.takeover is None or self.takeover.reports_ready()

    def reload(self) -> str:
        """Read the configuration again and apply it. Returns a description of the result for the log."""
        old = self.config
        new = self.read_config(old)
        deployment = new.deployment
        self.node.reconfigure(deployment)
        self.schedule.reconfigure(deployment.shared_discovery, deployment.router.instances, deployment.drain_grace)
        self.watch.deployment = deployment
        self.config = new
        if new.discovery != old.discovery:
            self.watch.move(new.discovery)
        return f"discovery at {new.discovery[0]}:{new.discovery[1]}{_changes_for_next_start(old, new)}"


def _shared_request_ids(config: Config) -> RequestIds | None:
    """Return the ids that this process shares with the other one of a takeover, or None if there can be no other."""
    if config.passed_socket is None or not config.message_folder:
        return None
    try:
        return RequestIdFile(config.message_folder, config.name, boot_id()).request_ids()
    except OSError as e:
        logger.warning("upgrade: request ids cannot be shared, so this process knows only its own: {e}", e=e)
        return None


def _clock_file(config: Config) -> ClockFile | None:
    """Return the file in which the processes of this dispatcher keep the steps of the wall clock, if there can be one.

    Without the id of the boot, a file from before a reboot, whose times are of another clock, would be taken for ours.
    """
    boot = boot_id()
    if not config.message_folder or not boot:
        return None
    return ClockFile(config.message_folder, config.name, boot)


def _schedule(config: Config) -> CallSchedule:
    """Return the schedule of the calls to discovery.

    Its seed comes from `Config.seed`, which differs at each start: with a seed that all dispatchers share, the calls
    that the schedule is to spread would coincide.
    """
    deployment = config.deployment
    return CallSchedule(
        deployment.shared_discovery,
        deployment.router.instances,
        deployment.drain_grace,
        random.Random(config.seed ^ SCHEDULE_SEED_MASK),
    )


def _changes_for_next_start(old: Config, new: Config) -> str:
    return for_next_start(
        ("name", old.name, new.name),
        ("listen", old.listen, new.listen),
        ("limits.sockets", old.sockets, new.sockets),
        ("limits.memory_mb", old.memory_mb, new.memory_mb),
        ("admin_addr", old.admin, new.admin),
    )
