"""One dispatcher of the platform: its parts put together."""

from __future__ import annotations

import random
from collections.abc import Callable

from pearhill.admin.endpoint import AdminEndpoint
from pearhill.config import Config, for_next_start
from pearhill.net.listener import inherited_socket
from pearhill.node.limits import Limits
from pearhill.node.node import Node
from pearhill.node.operations import Operations
from pearhill.node.takeover import TakeoverTask
from pearhill.platform.discovery import Watch
from pearhill.platform.front import PlatformFront
from pearhill.platform.replica import ReplicaDialect
from pearhill.platform.schedule import CallSchedule

# How long after the start discovery may stay silent before the list known at the start is good enough.
KNOWN_LIST_AFTER_US = 1_000_000

# Makes another seed of the node's: the Router draws from that one, and the two streams must not be the same.
SCHEDULE_SEED_MASK = 0x51


async def serve(config: Config, read_anew: Callable[[Config], Config]) -> None:
    """Run one dispatcher until a signal ends the process.

    `read_anew` returns the configuration that follows the one in force.
    """
    await PlatformDaemon(config, read_anew).run()


class PlatformDaemon:
    """The node, the watch of its discovery and the takeover from another process; asked when it may serve."""

    def __init__(self, config: Config, read_anew: Callable[[Config], Config]) -> None:
        self.config = config
        self.read_anew = read_anew
        self.node = Node(
            config.deployment,
            ReplicaDialect(),
            Limits(config.sockets, config.seed, has_admin_endpoint=config.admin is not None),
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
        self.known_list_counts_from = self.node.deadlines.clock() + KNOWN_LIST_AFTER_US
        self.takeover: TakeoverTask | None = None
        if config.passed_socket is not None and config.message_folder:
            self.takeover = TakeoverTask(self.node, config.message_folder, config.name)

    async def run(self) -> None:
        """Serve until a signal ends the process, then close everything."""
        config = self.config
        self.watch.start()
        admin = (config.admin, AdminEndpoint(Operations(self.node, self.reports_ready))) if config.admin else None
        clients = config.listen if config.passed_socket is None else inherited_socket(config.passed_socket)
        await self.node.serve(
            clients,
            PlatformFront(self.node.dispatcher, self.is_ready, self.node.drain.rejects),
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
        """Whether there is an endpoint list to serve by.

        The list known at the start is stale: only a discovery that stays silent makes it good enough.
        """
        return self.watch.has_answered or self.node.deadlines.clock() > self.known_list_counts_from

    def can_serve(self) -> bool:
        """Whether there is a list, and a replica in it that can answer."""
        return self.has_current_list() and self.node.dispatcher.has_ready_decoder

    def is_ready(self) -> bool:
        """What readiness checks of the platform are answered."""
        return self.can_serve() and not self.node.drain.out_of_rotation

    def may_accept(self) -> bool:
        """Whether clients may be accepted yet.

        What discovery has counts as received from the process's first moment. A request taken before discovery's first
        answer would be placed by an outdated list.
        """
        if self.takeover is None:
            return self.has_current_list()
        return self.takeover.may_accept(self.can_serve())

    def reports_ready(self) -> bool:
        """What the operators' call answers on readiness."""
        if not (self.can_serve() and self.node.accepting):
            return False
        return self.takeover is None or self.takeover.reports_ready()

    def reload(self) -> str:
        """Put the next configuration in force; returns, for the log, what came of it."""
        before = self.config
        fresh = self.read_anew(before)
        deployment = fresh.deployment
        self.node.reconfigure(deployment)
        self.schedule.reconfigure(deployment.shared_discovery, deployment.router.instances, deployment.drain_grace)
        self.watch.deployment = deployment
        self.config = fresh
        if fresh.discovery != before.discovery:
            self.watch.move(fresh.discovery)
        return f"discovery at {fresh.discovery[0]}:{fresh.discovery[1]}{_left_for_next_start(before, fresh)}"


def _schedule(config: Config) -> CallSchedule:
    """The schedule of the calls to discovery.

    The seed is this start's own: drawn from a seed that all dispatchers share, the calls that it spreads would be in
    step.
    """
    deployment = config.deployment
    return CallSchedule(
        deployment.shared_discovery,
        deployment.router.instances,
        deployment.drain_grace,
        random.Random(config.seed ^ SCHEDULE_SEED_MASK),
    )


def _left_for_next_start(before: Config, fresh: Config) -> str:
    return for_next_start(
        ("name", before.name, fresh.name),
        ("listen", before.listen, fresh.listen),
        ("limits.sockets", before.sockets, fresh.sockets),
        ("admin_addr", before.admin, fresh.admin),
    )
