"""One dispatcher of the platform: its parts put together."""

from __future__ import annotations

import random
from collections.abc import Callable

from pearhill.admin.endpoint import AdminEndpoint
from pearhill.config import Config, for_next_start
from pearhill.net.listener import inherited_socket
from pearhill.node.node import Limits, Node
from pearhill.node.operations import Operations
from pearhill.node.takeover import TakeoverTask
from pearhill.platform.discovery import Watch
from pearhill.platform.front import PlatformFront
from pearhill.platform.replica import ReplicaDialect
from pearhill.platform.schedule import CallSchedule

KNOWN_AFTER = 1_000_000  # how long discovery may stay silent before the list known at the start must do

SCHEDULE = 0x51  # the Router draws from the same seed: two streams that must not be one


async def serve(config: Config, read_anew: Callable[[Config], Config]) -> None:
    """`read_anew` gives the configuration that follows the one in force."""
    node = Node(
        config.deployment,
        ReplicaDialect(),
        Limits(config.sockets, config.seed, has_admin_endpoint=config.admin is not None),
    )
    deployment = config.deployment
    # The seed is this start's own. Danger: drawn from one that all share, what is spread would be in step.
    schedule = CallSchedule(
        deployment.shared_discovery,
        deployment.router.instances,
        deployment.drain_grace,
        random.Random(config.seed ^ SCHEDULE),
    )
    watch = Watch(node.pool, config.discovery, deployment, node.update_endpoints, schedule, config.known)
    known_until = node.deadlines.clock() + KNOWN_AFTER

    def told() -> bool:
        # Danger: the list known at the start is stale; only a silent discovery makes it good enough.
        return watch.heard or node.deadlines.clock() > known_until

    def can_serve() -> bool:
        return told() and node.dispatcher.can_answer

    def is_ready() -> bool:
        return can_serve() and not node.drain.away

    upgrade = TakeoverTask(node, config.notes, config.name) if config.passed is not None and config.notes else None

    def may_accept() -> bool:
        """Danger: what discovery has counts as told from the process's first moment. A request taken before its
        first answer would be sent by a list of yesterday."""
        return told() if upgrade is None else upgrade.may_accept(can_serve())

    def reload() -> str:
        nonlocal config
        before, fresh = config, read_anew(config)
        node.reconfigure(fresh.deployment)
        schedule.reconfigure(
            fresh.deployment.shared_discovery, fresh.deployment.router.instances, fresh.deployment.drain_grace
        )
        watch.deployment, config = fresh.deployment, fresh
        if fresh.discovery != before.discovery:
            watch.move(fresh.discovery)
        later = for_next_start(
            ("name", before.name, fresh.name),
            ("listen", before.listen, fresh.listen),
            ("limits.sockets", before.sockets, fresh.sockets),
            ("admin_addr", before.admin, fresh.admin),
        )
        return f"discovery at {fresh.discovery[0]}:{fresh.discovery[1]}{later}"

    watch.start()

    def says_yes() -> bool:
        return can_serve() and node.accepting and (upgrade is None or upgrade.reports_ready())

    door = (config.admin, AdminEndpoint(Operations(node, says_yes))) if config.admin else None
    clients = config.listen if config.passed is None else inherited_socket(config.passed)
    await node.serve(
        clients,
        PlatformFront(node.dispatcher, is_ready, node.drain.refuses),
        config.name,
        reload,
        door=door,
        may_accept=may_accept,
    )
    if upgrade:
        upgrade.end()
    watch.stop()
    node.close()
