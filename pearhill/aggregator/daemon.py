"""The aggregator daemon: its UDP socket, its admin endpoint and its signal handlers."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable

from loguru import logger

from pearhill.admin.call_table import JSON, TEXT, CallTable
from pearhill.aggregator.setup import AggregatorSetup
from pearhill.config import for_next_start
from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.http1.handler import Reply
from pearhill.membership.aggregation_messages import AggregationCodec
from pearhill.membership.aggregator import Aggregator
from pearhill.net.address import Address
from pearhill.net.admin_listener import open_admin_listener
from pearhill.net.aggregation import Aggregation
from pearhill.net.clock import start_clock
from pearhill.net.datagrams import Datagrams
from pearhill.net.listener import Listener
from pearhill.net.ticks import EventLoopTicks
from pearhill.node.signals import handled_signals

RECEIVE_BUFFER_BYTES = 4 << 20  # for the reports of hundreds of dispatchers during a short stall
LOG_INTERVAL_US = 1_000_000  # between two checks whether the count or a silent aggregator must be logged
PEER_SILENCE_US = 2_000_000  # after which another aggregator is logged as silent


class AggregatorDaemon(CallTable):
    """Runs on the current event loop. `load_setup` reads the control machine's file again."""

    def __init__(self, setup: AggregatorSetup, load_setup: Callable[[], AggregatorSetup]) -> None:
        self.setup = setup
        self.load_setup = load_setup
        self.loop = asyncio.get_running_loop()
        self.deadlines = Deadlines(start_clock())
        self.ticks = EventLoopTicks(self.loop, self.deadlines)
        self.datagrams = Datagrams(self.deadlines, "aggregator", RECEIVE_BUFFER_BYTES)
        started = self.deadlines.clock()  # also its incarnation
        self.aggregator = Aggregator(setup.name, setup.peers, started, random.Random(started))
        codec = AggregationCodec(list(setup.keys))
        self.aggregation = Aggregation(self.aggregator, codec, setup.peers, self.deadlines, self.datagrams)
        self.aggregation.on_tick = self._log_changes
        self.stopped = asyncio.Event()
        self._logged_at = 0
        self._logged_count = 0
        self._silent_peers: set[str] = set()
        super().__init__(
            {"/ready": ("GET", self._ready), "/counters": ("GET", self._counters), "/ops/fleet": ("GET", self._fleet)}
        )

    # Admin endpoint.

    def _ready(self, query: str, reply: Reply) -> None:
        if self.stopped.is_set():
            reply.answer(503, TEXT, b"no: it ends\n")
        else:
            reply.answer(200, TEXT, b"yes\n")

    def _counters(self, query: str, reply: Reply) -> None:
        reply.answer(200, JSON, json.dumps(dict(self.datagrams.counts)).encode() + b"\n")

    def _fleet(self, query: str, reply: Reply) -> None:
        reply.answer(200, JSON, json.dumps(self.aggregation.figures()).encode() + b"\n")

    # Logging.

    def _log_changes(self, now: int) -> None:
        if now - self._logged_at < LOG_INTERVAL_US:
            return
        self._logged_at = now
        figures = self.aggregator.figures(now)
        if figures["counted"] != self._logged_count:
            self._logged_count = figures["counted"]
            logger.info(
                "aggregator: {counted} dispatchers counted, {heard} with current reports, {members} report to this one",
                counted=figures["counted"],
                heard=figures["heard"],
                members=figures["members"],
            )
        ages = {name: peer["age_s"] for name, peer in figures["peers"].items()}
        self._log_silent({name for name, age_s in ages.items() if age_s is None or age_s * 1e6 > PEER_SILENCE_US})

    def _log_silent(self, silent: set[str]) -> None:
        for name in sorted(silent - self._silent_peers):
            logger.warning("aggregator: no recent message from {peer}", peer=name)
        for name in sorted(self._silent_peers - silent):
            logger.info("aggregator: receiving messages from {peer} again", peer=name)
        self._silent_peers = silent

    def log_counters(self) -> None:
        """Logs the counters."""
        counts = dict(self.datagrams.counts)
        logger.bind(counters=counts).info("counters {}", json.dumps(counts))

    # Start, reload and shutdown.

    def reload(self) -> str:
        """Applies the current state of the file and returns a summary for the log.

        Raises ConfigError if the file is invalid; nothing has changed then.
        """
        new = self.load_setup()
        old = self.setup
        self.setup = new
        self.aggregation.reconfigure(AggregationCodec(list(new.keys)), new.peers)
        deferred = for_next_start(
            ("aggregator.name", old.name, new.name),
            ("aggregator.listen", old.listen, new.listen),
            ("aggregator.admin_addr", old.admin, new.admin),
        )
        return f"{len(new.peers)} other aggregators{deferred}"

    def _open_admin_endpoint(self, address: Address) -> Listener:
        return open_admin_listener(self.loop, self.deadlines, Counters(), address, self, "aggregator.admin_addr")

    async def _open_datagrams(self) -> None:
        address = self.setup.listen
        try:
            host, port = await self.datagrams.open(address)
        except OSError as e:
            raise OSError(f"aggregator.listen: {address[0]}:{address[1]}: {e.strerror or e}") from None
        self.aggregation.start()
        logger.info("aggregator {name} listens on {host}:{port}", name=self.setup.name, host=host, port=port)

    async def serve(self) -> None:
        """Runs until SIGTERM or SIGINT. Raises OSError if an address cannot be used."""
        with handled_signals(self.loop, self.stopped.set, self.log_counters, self.reload):
            admin = self.setup.admin
            admin_endpoint = self._open_admin_endpoint(admin) if admin else None
            await self._open_datagrams()
            await self.stopped.wait()
            self.aggregation.close()
            self.datagrams.close()
            if admin_endpoint:
                await admin_endpoint.close()
            self.ticks.close()
            self.log_counters()


async def serve(setup: AggregatorSetup, load_setup: Callable[[], AggregatorSetup]) -> None:
    """Runs one aggregator until it is stopped. Raises OSError if an address cannot be used."""
    await AggregatorDaemon(setup, load_setup).serve()
