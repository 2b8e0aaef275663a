"""What operators' calls work on, whatever fronts and servers the dispatcher has."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger

from pearhill.core.replica_ids import replica_id
from pearhill.counters import Figures
from pearhill.node.node import Node


class Operations:
    def __init__(
        self, node: Node, can_serve: Callable[[], bool], fleet: Callable[[], dict[str, Any] | None] = lambda: None
    ) -> None:
        self.node, self.can_serve, self.fleet = node, can_serve, fleet

    def figures(self) -> Figures:
        return self.node.figures()

    def set_replica_down(self, uid: str, out: bool) -> bool:
        known = self.node.set_replica_down(replica_id(uid), out)
        if known:
            logger.info("operators: replica {uid} is {what}", uid=uid, what="out" if out else "in use again")
        else:
            logger.warning("operators: no replica has the id {uid}", uid=uid)
        return known

    def drain(self, on: bool) -> None:
        logger.info("operators: the drain {what}", what="begins" if on else "is over")
        self.node.request_drain(on)
