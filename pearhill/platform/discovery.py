"""Follows discovery: the list of replicas, whole at first, then watched for changes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial
from types import MappingProxyType
from typing import Any

from loguru import logger

from pearhill.core.deadlines import Key
from pearhill.core.replica_ids import replica_id
from pearhill.http1 import messages
from pearhill.net.address import Address, parse_address
from pearhill.net.calls import call
from pearhill.net.errors import ConnectError
from pearhill.net.pool import ConnectionPurpose, Pool
from pearhill.platform.schedule import CallSchedule
from pearhill.routing.topology import Endpoint, Phase
from pearhill.settings import Deployment

PATH = "/v1/endpoints"
STATES = {"active": Phase.READY, "leaving": Phase.DRAINING, "left": Phase.GONE}

EXPECTED = (OSError, TimeoutError, ValueError, KeyError, TypeError, ConnectError)  # ways in which a call fails

OnList = Callable[[bool, tuple[Endpoint, ...], dict[int, Address]], None]


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


def entries_of(
    targets: Any,
    deployment: Deployment,
    known: Mapping[int, Endpoint] = MappingProxyType({}),
) -> tuple[tuple[Endpoint, ...], dict[int, Address]]:
    """The targets of an answer. One that makes no sense is left out: the others still count. `known`: the last list."""
    entries, addresses, left_out = [], {}, []
    kinds, zones = deployment.router.kinds, max(1, len(deployment.zone_names))
    for target in targets:
        try:
            engine = replica_id(str(target["uid"]))
            entry = Endpoint(
                engine,
                _index(target["az"], deployment.zone_names, zones),
                _index(target["model"], deployment.kind_names, len(kinds)),
                int(target["pod_group"]),
                STATES[target["state"]],
                float(target.get("capacity_hint", 1.0)),
                int(target.get("boot_ms", 0)) * 1000,
            )
            addresses[engine] = parse_address(target["endpoint"])
            entries.append(entry)
        except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as e:
            left_out.append((e, target))
            # Danger: left out of a change that says that it leaves, one would go on getting requests.
            old = known.get(replica_id(str(target.get("uid")))) if isinstance(target, Mapping) else None
            if old and target.get("state") in ("leaving", "left"):
                entries.append(replace(old, phase=STATES[target["state"]]))
    if left_out:  # Danger: a line for each of a thousand that are all wrong would fill the log
        logger.warning(
            "discovery: {count} targets of {all} are left out, the first: {error}: {target}",
            count=len(left_out),
            all=len(targets),
            error=repr(left_out[0][0]),
            target=left_out[0][1],
        )
    return tuple(entries), addresses


class Watch:
    """`known`: a list in discovery's form that the dispatcher starts with."""

    def __init__(
        self,
        pool: Pool,
        address: Address,
        deployment: Deployment,
        on_list: OnList,
        schedule: CallSchedule,
        known: Mapping[str, Any],
    ) -> None:
        self.pool, self.address, self.deployment, self.on_list = pool, address, deployment, on_list
        self.schedule = schedule
        self.heard = False  # discovery has answered since the start
        self.rev = 0
        self.entries: dict[int, Endpoint] = {}  # as last listed
        if known.get("targets"):
            self.apply(known)
        # Danger: where all ask one service, whole lists by the dozen keep it busy for seconds, and nobody hears more.
        # What has changed since the list that is known costs a line or two.
        self._told = bool(known.get("targets")) and schedule.shared  # a list, to which what comes next applies
        self._out: list[asyncio.Task[None]] = []  # calls, the oldest first
        self._next: Key | None = None  # when the next goes out, whatever becomes of these
        self._called = pool.deadlines.clock()  # when the last one went out, or since when one is awaited
        self._silent_since, self._why = 0, ""  # of the failures since the last answer

    def start(self) -> None:
        self._after(self.schedule.first())

    def stop(self) -> None:
        """Danger: an answer to the old watch would be taken for the new one's. It ends with its connection."""
        self.pool.deadlines.cancel(self._next)
        out, self._out = self._out, []
        for task in out:
            if task is not asyncio.current_task():
                task.cancel()

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now. Danger: its versions may be counted otherwise, so the list is asked for whole."""
        self.stop()
        self.pool.drop_idle(self.address)
        self.address, self._told = address, False
        # A reload reaches the whole fleet at once, and so would whole lists be asked for: they are spread.
        self._after(self.schedule.moved(self.pool.deadlines.clock() - self._called))

    def apply(self, answer: Mapping[str, Any]) -> None:
        """KeyError, TypeError or ValueError: it is no list, and nothing of it is taken."""
        rev, whole = int(answer["rev"]), bool(answer["all"])
        entries, addresses = entries_of(answer["targets"], self.deployment, self.entries)
        if rev < self.rev and not whole:
            # Danger: a discovery that counts anew would be asked for news of a version that it reaches in days.
            self._told = False
            raise ValueError(f"version {rev} after {self.rev}")
        self.rev = rev
        if entries or whole:
            self.entries = {} if whole else self.entries
            self.entries.update((e.replica, e) for e in entries)
            for entry in entries:
                if entry.phase == Phase.GONE:
                    self.entries.pop(entry.replica, None)
            self.on_list(whole, entries, addresses)

    def _after(self, wait: int) -> None:
        self.pool.deadlines.cancel(self._next)
        if wait:
            self._next = self.pool.deadlines.after(wait, self._call)
        else:
            self._call()

    def _call(self) -> None:
        """One more call, for as long as the process lives. Discovery may stay silent: what was known then stays in
        force."""
        self.pool.deadlines.cancel(self._next)
        if len(self._out) >= self.schedule.most_out:
            self._out.pop(0).cancel()
        wait = self.schedule.wait(self._told)
        self._out.append(self.pool.spawn(self._ask(wait)))
        if again := self.schedule.unanswered(wait):
            self._next = self.pool.deadlines.after(again, partial(self._unanswered, again))

    def _unanswered(self, waited: int) -> None:
        if not self.schedule.failures:
            self._failed(f"anything: silent for {waited // 1000} ms")
            self.schedule.failed(waited)
        self._call()

    async def _ask(self, wait: int) -> None:
        target = f"{PATH}?after={self.rev}&wait_ms={max(1, wait // 1000)}" if self._told else PATH
        task = asyncio.current_task()
        clock, rev = self.pool.deadlines.clock, self.rev
        began = self._called = clock()  # not sooner: a move in the same moment ends a call before it has begun
        try:
            status, body = await call(
                self.pool,
                self.address,
                messages.request("GET", target, f"{self.address[0]}:{self.address[1]}"),
                self.schedule.patience(wait),
                purpose=ConnectionPurpose.DISCOVERY,
            )
            if status != 200:
                raise ValueError(f"status {status}")
            self.apply(json.loads(body))
        except Exception as e:
            # Whatever a body makes the parse do, the calls have to go on: nobody else would make the next one.
            if not isinstance(e, EXPECTED):
                logger.opt(exception=e).error("discovery: an answer to {target} could not be read", target=target)
            if task in self._out:
                self._out.remove(task)
                self._failed(f"{target}: {e!r}")
                self._after(self.schedule.failed(clock() - began))
            return
        self.stop()
        self.heard = self._told = True
        if self._why:
            logger.info(
                "discovery: answers again after {failures} failures, {ms} ms",
                failures=self.schedule.failures,
                ms=(clock() - self._silent_since) // 1000,
            )
        self._why = ""
        self._after(self.schedule.answered(bool(wait) and self.rev == rev and clock() - began < wait // 2))

    def _failed(self, why: str) -> None:
        """Danger: at a dozen calls a second the same line would fill the log."""
        if not self._why:
            self._silent_since = self.pool.deadlines.clock()
        if why != self._why:
            self._why = why
            logger.warning("discovery: no answer to {why}", why=why)
