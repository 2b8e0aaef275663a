"""One dispatcher of the platform: its parts put together."""

from __future__ import annotations

from pearhill.config import Config
from pearhill.node import Limits, Node
from pearhill.platform.discovery import Watch
from pearhill.platform.front import PlatformFront
from pearhill.platform.replica import ReplicaDialect

KNOWN_AFTER = 1_000_000  # how long discovery may stay silent before the list known at the start must do


async def serve(config: Config) -> None:
    node = Node(config.deployment, ReplicaDialect(), Limits(config.sockets, config.seed))
    watch = Watch(node.pool, config.discovery, config.deployment, node.listed)
    if config.known.get("targets"):
        watch.apply(config.known)
    known_until = node.deadlines.clock() + KNOWN_AFTER

    def is_ready() -> bool:
        # Danger: the list known at the start is stale; only a silent discovery makes it good enough.
        told = watch.heard or node.deadlines.clock() > known_until
        return told and not node.draining and node.dispatcher.can_answer

    watching = node.pool.spawn(watch.run())
    await node.serve(config.listen, PlatformFront(node.dispatcher, is_ready), config.name)
    watching.cancel()
    node.close()
