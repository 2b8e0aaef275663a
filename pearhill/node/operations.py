"""The operations behind the admin endpoint, independent of the dispatcher's front ends and replicas."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger

from pearhill.core.replica_ids import replica_id
from pearhill.counters import Figures
from pearhill.node.node import Node


class Operations:
    """Carries out the admin endpoint's calls on one node. `can_serve` and `fleet` answer the calls of these names."""

    def __init__(
        self, node: Node, can_serve: Callable[[], bool], fleet: Callable[[], dict[str, Any] | None] = lambda: None
    ) -> None:
        self._node = node
        self.can_serve = can_serve
        self.fleet = fleet

    def figures(self) -> Figures:
        """Returns the request counts and the state of the replicas."""
        return self._node.figures()

    def set_replica_down(self, uid: str, down: bool) -> bool:
        """Take a replica administratively down, or restore it. Returns False if no replica has this id."""
        known = self._node.override_control.set_replica_down(replica_id(uid), down)
        if not known:
            logger.warning("operators: no replica has the id {uid}", uid=uid)
        elif down:
            logger.info("operators: replica {uid} is administratively down", uid=uid, what="out")
        else:
            logger.info("operators: replica {uid} is in use again", uid=uid, what="in use again")
        return known

    def drain(self, on: bool) -> None:
        """Begin or end the drain that operators have requested."""
        if on:
            logger.info("operators: the drain begins", what="begins")
        else:
            logger.info("operators: the drain is over", what="is over")
        self._node.override_control.request_drain(on)
