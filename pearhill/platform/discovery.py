"""Follows discovery: the list of replicas, whole at first, then watched for changes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger

from pearhill import interface as i
from pearhill.core.engines import engine_of
from pearhill.http1 import messages
from pearhill.net.address import Address, parse_address
from pearhill.net.pool import CannotConnect, Pool, call
from pearhill.net.turns import pause
from pearhill.settings import Deployment

PATH = "/v1/endpoints"
WAIT_MS = 10_000  # of a watch
AT_ONCE = 2_000_000  # for an answer that need not wait
RETRY = 100_000  # the next call belongs to the same watch only within 200 ms
STATES = {"active": i.READY, "leaving": i.DRAINING, "left": i.GONE}

OnList = Callable[[bool, tuple[i.Entry, ...], dict[int, Address]], None]


def _index(value: Any, names: tuple[str, ...], bound: int) -> int:
    """Where a name stands among the settings'; else it carries its place: `b` and `m1` are the second."""
    text = str(value)
    if text in names:
        return names.index(text)
    digits = text.lstrip("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_")
    place = int(digits) if digits.isdecimal() else ord(text.lower()) - ord("a") if len(text) == 1 else -1
    if not 0 <= place < bound:
        raise ValueError(f"{text!r} is not in the settings")
    return place


def entries_of(targets: Any, deployment: Deployment) -> tuple[tuple[i.Entry, ...], dict[int, Address]]:
    """The targets of an answer. One that makes no sense is left out: the others still count."""
    entries, addresses = [], {}
    kinds, zones = deployment.router.kinds, max(1, len(deployment.zone_names))
    for target in targets:
        try:
            engine = engine_of(str(target["uid"]))
            entry = i.Entry(
                engine, _index(target["az"], deployment.zone_names, zones),
                _index(target["model"], deployment.kind_names, len(kinds)), int(target["pod_group"]),
                STATES[target["state"]], float(target.get("capacity_hint", 1.0)),
                int(target.get("boot_ms", 0)) * 1000)
            addresses[engine] = parse_address(target["endpoint"])
            entries.append(entry)
        except (KeyError, ValueError, TypeError, AttributeError) as e:
            logger.warning("discovery: a target is left out: {error}: {target}", error=repr(e), target=target)
    return tuple(entries), addresses


class Watch:
    def __init__(self, pool: Pool, address: Address, deployment: Deployment, on_list: OnList) -> None:
        self.pool, self.address, self.deployment, self.on_list = pool, address, deployment, on_list
        self.heard = self._told = False  # discovery has answered since the start; since it was last sought
        self.rev = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = self.pool.spawn(self._run())

    def stop(self) -> None:
        """Danger: an answer to the old watch would be taken for the new one's. It ends with its connection."""
        if self._task:
            self._task.cancel()

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now. Danger: its versions may be counted otherwise, so the list is asked for whole."""
        self.stop()
        self.pool.drop_idle(self.address)
        self.address = address
        self.start()

    def apply(self, answer: Mapping[str, Any]) -> None:
        entries, addresses = entries_of(answer["targets"], self.deployment)
        self.rev = int(answer["rev"])
        if entries or answer["all"]:
            self.on_list(bool(answer["all"]), entries, addresses)

    async def _run(self) -> None:
        """For as long as the process lives. Discovery may stay silent: what was known then stays in force."""
        host, self._told = f"{self.address[0]}:{self.address[1]}", False
        while True:
            whole = not self._told
            target = PATH if whole else f"{PATH}?after={self.rev}&wait_ms={WAIT_MS}"
            try:
                status, body = await call(self.pool, self.address, messages.request("GET", target, host),
                                          AT_ONCE + (0 if whole else WAIT_MS * 1000))
                if status != 200:
                    raise ValueError(f"status {status}")
                self.apply(json.loads(body))
                self.heard = self._told = True
            except (OSError, TimeoutError, ValueError, KeyError, TypeError, CannotConnect) as e:
                logger.warning("discovery: no answer to {target}: {error}", target=target, error=repr(e))
                await pause(self.pool.deadlines, RETRY)
