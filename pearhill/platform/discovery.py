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
from pearhill.platform.asking import Asking
from pearhill.settings import Deployment

PATH = "/v1/endpoints"
WAIT_MS = 10_000  # of a watch
# For an answer that need not wait. Danger: discovery lets a call stand in line for 2 s; given up just before its turn,
# it costs as much as one that is answered.
AT_ONCE = 3_000_000
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
    """`known`: a list in discovery's form that the dispatcher starts with."""

    def __init__(self, pool: Pool, address: Address, deployment: Deployment, on_list: OnList, asking: Asking,
                 known: Mapping[str, Any]) -> None:
        self.pool, self.address, self.deployment, self.on_list = pool, address, deployment, on_list
        self.asking = asking
        self.heard = False  # discovery has answered since the start
        self.rev = 0
        if known.get("targets"):
            self.apply(known)
        # Danger: where all ask one service, whole lists by the dozen keep it busy for seconds, and nobody hears more.
        # What has changed since the list that is known costs a line or two.
        self._told = bool(known.get("targets")) and asking.shared  # a list, to which what comes next applies
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = self.pool.spawn(self._run(self.asking.first()))

    def stop(self) -> None:
        """Danger: an answer to the old watch would be taken for the new one's. It ends with its connection."""
        if self._task:
            self._task.cancel()

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now. Danger: its versions may be counted otherwise, so the list is asked for whole."""
        self.stop()
        self.pool.drop_idle(self.address)
        self.address, self._told = address, False
        self.start()  # Danger: a reload reaches the whole fleet at once, and so would whole lists be asked for

    def apply(self, answer: Mapping[str, Any]) -> None:
        """KeyError, TypeError or ValueError: it is no list, and nothing of it is taken."""
        entries, addresses = entries_of(answer["targets"], self.deployment)
        rev, whole = int(answer["rev"]), bool(answer["all"])
        if rev < self.rev and not whole:
            # Danger: a discovery that counts anew would be asked for news of a version that it reaches in days.
            self._told = False
            raise ValueError(f"version {rev} after {self.rev}")
        self.rev = rev
        if entries or whole:
            self.on_list(whole, entries, addresses)

    async def _run(self, wait: int) -> None:
        """For as long as the process lives. Discovery may stay silent: what was known then stays in force."""
        host = f"{self.address[0]}:{self.address[1]}"
        if wait:
            await pause(self.pool.deadlines, wait)
        while True:
            target = f"{PATH}?after={self.rev}&wait_ms={WAIT_MS}" if self._told else PATH
            try:
                status, body = await call(self.pool, self.address, messages.request("GET", target, host),
                                          AT_ONCE + (WAIT_MS * 1000 if self._told else 0))
                if status != 200:
                    raise ValueError(f"status {status}")
                self.apply(json.loads(body))
                self.heard = self._told = True
                self.asking.answered()
            except (OSError, TimeoutError, ValueError, KeyError, TypeError, CannotConnect) as e:
                wait = self.asking.failed()
                logger.warning("discovery: no answer to {target}: {error}; again in {wait_ms} ms", target=target,
                               error=repr(e), wait_ms=wait // 1000)
                await pause(self.pool.deadlines, wait)
