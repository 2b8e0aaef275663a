"""The aggregator as a daemon: its socket, its door for operators, its signals."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections.abc import Callable

from loguru import logger

from pearhill.admin.call_table import JSON, TEXT, CallTable
from pearhill.aggregator.setup import AggregatorSetup
from pearhill.config import ConfigError, for_next_start
from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.http1.handler import Reply
from pearhill.membership.aggregation_messages import AggregationCodec
from pearhill.membership.aggregator import Aggregator
from pearhill.net.aggregation import Aggregation
from pearhill.net.clock import start_clock
from pearhill.net.datagrams import Datagrams
from pearhill.net.listener import Listener
from pearhill.net.ticks import EventLoopTicks

DOOR, DOOR_BODY = 16, 4096  # connections of operators, and bytes of a call that has no use for any
RECEIVE_BUFFER = 4 << 20  # hundreds of dispatchers report while this process stands still for a moment
LOOK_EVERY, SILENT = 1_000_000, 2_000_000  # at the count and the other aggregators, for the log


class AggregatorDaemon(CallTable):
    """Belongs to the running event loop. `read_anew` reads the control machine's file once more."""

    def __init__(self, setup: AggregatorSetup, read_anew: Callable[[], AggregatorSetup]) -> None:
        self.setup, self.read_anew = setup, read_anew
        self.loop = asyncio.get_running_loop()
        self.deadlines = Deadlines(start_clock())
        self.turns = EventLoopTicks(self.loop, self.deadlines)
        self.datagrams = Datagrams(self.deadlines, "aggregator", RECEIVE_BUFFER)
        started = self.deadlines.clock()  # its incarnation too
        self.aggregator = Aggregator(setup.name, setup.peers, started, random.Random(started))
        self.aggregation = Aggregation(
            self.aggregator, AggregationCodec(list(setup.keys)), setup.peers, self.deadlines, self.datagrams
        )
        self.aggregation.on_tick = self._look
        self.stopped = asyncio.Event()
        self._looked_at, self._counted, self._silent = 0, 0, set[str]()
        super().__init__(
            {"/ready": ("GET", self._ready), "/counters": ("GET", self._counters), "/ops/fleet": ("GET", self._fleet)}
        )

    # Operators' calls.

    def _ready(self, query: str, reply: Reply) -> None:
        yes = not self.stopped.is_set()
        reply.answer(200 if yes else 503, TEXT, b"yes\n" if yes else b"no: it ends\n")

    def _counters(self, query: str, reply: Reply) -> None:
        reply.answer(200, JSON, json.dumps(dict(self.datagrams.counts)).encode() + b"\n")

    def _fleet(self, query: str, reply: Reply) -> None:
        reply.answer(200, JSON, json.dumps(self.aggregation.figures()).encode() + b"\n")

    # The log.

    def _look(self, now: int) -> None:
        if now - self._looked_at < LOOK_EVERY:
            return
        self._looked_at, figures = now, self.aggregator.figures(now)
        if figures["counted"] != self._counted:
            self._counted = figures["counted"]
            logger.info(
                "aggregator: {counted} dispatchers are counted, {heard} of them are heard of, {members} report " "here",
                counted=self._counted,
                heard=figures["heard"],
                members=figures["members"],
            )
        ages = {name: peer["age_s"] for name, peer in figures["peers"].items()}
        silent = {name for name, age_s in ages.items() if age_s is None or age_s * 1e6 > SILENT}
        for name in sorted(silent - self._silent):
            logger.warning("aggregator: {peer} is not heard", peer=name)
        for name in sorted(self._silent - silent):
            logger.info("aggregator: {peer} is heard again", peer=name)
        self._silent = silent

    def report(self) -> None:
        counts = dict(self.datagrams.counts)
        logger.bind(counters=counts).info("counters {}", json.dumps(counts))

    # Its life.

    def reload(self) -> None:
        """Danger: whatever a file holds, and whenever it is read, the process lives on."""
        try:
            fresh = self.read_anew()
        except ConfigError as e:
            logger.warning("reload: the old configuration stays: {error}", error=str(e))
            return
        before, self.setup = self.setup, fresh
        self.aggregation.reconfigure(AggregationCodec(list(fresh.keys)), fresh.peers)
        logger.info(
            "reload: done, {result}",
            result=f"{len(fresh.peers)} other aggregators"
            + for_next_start(
                ("aggregator.name", before.name, fresh.name),
                ("aggregator.listen", before.listen, fresh.listen),
                ("aggregator.admin_addr", before.admin, fresh.admin),
            ),
        )

    def _open_door(self, address: tuple[str, int]) -> Listener:
        door = Listener(self.loop, self.deadlines, Counters(), self, DOOR, DOOR_BODY, side="operator")
        door.close_after_answers()  # one call a connection
        try:
            host, port = door.listen(address)
        except OSError as e:
            raise OSError(f"aggregator.admin_addr: {address[0]}:{address[1]}: {e.strerror or e}") from None
        logger.info("operators are heard on {host}:{port}", host=host, port=port)
        return door

    async def serve(self) -> None:
        """Until SIGTERM or SIGINT. OSError: an address cannot be used."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stopped.set)
        self.loop.add_signal_handler(signal.SIGUSR1, self.report)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        setup = self.setup
        door = self._open_door(setup.admin) if setup.admin else None
        try:
            host, port = await self.datagrams.open(setup.listen)
        except OSError as e:
            raise OSError(f"aggregator.listen: {setup.listen[0]}:{setup.listen[1]}: {e.strerror or e}") from None
        self.aggregation.start()
        logger.info("aggregator {name} listens on {host}:{port}", name=setup.name, host=host, port=port)
        await self.stopped.wait()
        self.aggregation.close()
        self.datagrams.close()
        if door:
            await door.close()
        self.turns.close()
        self.report()
        # Danger: as the loop closes, the system's own handling comes back, and a late SIGHUP would end the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


async def serve(setup: AggregatorSetup, read_anew: Callable[[], AggregatorSetup]) -> None:
    await AggregatorDaemon(setup, read_anew).serve()
