"""One running fleet: the registry with its replicas, aggregators, hollow dispatchers and real ones."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time
from array import array
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from pearhill.chat.keys import new_key
from pearhill.lab.relay import Relay
from pearhill.lab.scale import files, observe
from pearhill.lab.scale.child import Child
from pearhill.lab.scale.daemon import Daemon, UsageWindow, snapshot_after, snapshot_before
from pearhill.lab.scale.figures import (
    FleetMeasurement,
    HostReport,
    discovery_figures,
    evenness_of,
    hollow_figures,
)
from pearhill.lab.scale.files import LOOPBACK, DispatcherSpec, render_file
from pearhill.lab.scale.measure import MAX_TICK_DELAY_P99_US, encode_histogram, percentiles_ms
from pearhill.lab.scale.plan import LoadExchange, ScaleTable, Workload
from pearhill.lab.scale.planned_fleets import FleetSize

PARALLEL_STARTS = 4  # real dispatchers that start at the same time
SETTLE_TIMEOUT_S = 60.0  # after the warm-up, until every dispatcher counts the whole fleet
SETTLE_POLL_S = 1.0
AGGREGATOR_READY = r"aggregator \S+ listens on"
DISPATCHER_READY = "chat front listens"
CLI_ARGUMENTS = ("-c", "from pearhill.cli.main import main; main()")

PrintLine = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class _Window:
    """Data of one measurement window. `hosts` are the reports of processes with several hollow dispatchers."""

    hosts: list[HostReport]
    alone: list[HostReport]
    real: UsageWindow
    aggregators: UsageWindow
    discovery_before: dict[str, Any]
    discovery_after: dict[str, Any]


class RunningFleet:
    """The processes of a fleet, as an asynchronous context manager that ends them on exit and on any error.

    If `can_be_partitioned`, aggregators reach each other through a relay that can simulate a network partition.
    """

    def __init__(
        self,
        size: FleetSize,
        scale: ScaleTable,
        folder: pathlib.Path,
        print_line: PrintLine,
        can_be_partitioned: bool = False,
    ) -> None:
        self.size = size
        self.scale = scale
        self.print_line = print_line
        self.discovery: Child | None = None
        self.hosts: list[Child] = []
        self.real: list[Daemon] = []
        self.aggregators: list[Daemon] = []
        self.aggregator_addresses: dict[str, str] = {}
        self.relay: Relay | None = None
        self.dispatchers: list[DispatcherSpec] = []
        self.template = ""
        self._folder = folder
        self._can_be_partitioned = can_be_partitioned

    async def __aenter__(self) -> RunningFleet:
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.close()

    def pids(self) -> list[int]:
        """Returns the IDs of the processes that were started, without the calling process."""
        daemons = [daemon for daemon in (*self.real, *self.aggregators) if daemon.process]
        return [child.pid for child in self._children()] + [daemon.pid for daemon in daemons]

    def _children(self) -> list[Child]:
        return [*self.hosts, self.discovery] if self.discovery else list(self.hosts)

    async def _start(self) -> None:
        size = self.size
        scale = self.scale
        key_file = self._folder / "key"
        if not key_file.exists():
            key_file.write_text(new_key())
        registry_address = await self._start_discovery()
        self.dispatchers = files.dispatcher_specs(scale, size.dispatchers)
        ports = files.free_ports(size.aggregators)
        self.aggregator_addresses = {f"a{k}": f"{LOOPBACK}:{port}" for k, port in enumerate(ports)}
        self.template = files.file_template(
            scale, size.exchange, self.dispatchers, self.aggregator_addresses, registry_address, str(key_file)
        )
        await self._start_aggregators(str(key_file))
        await self._start_dispatchers()

    async def _start_discovery(self) -> str:
        """Start the registry with its replicas. Returns the registry's address."""
        scale = self.scale
        self.discovery = await Child.start("discovery", "pearhill.lab.scale.discovery", self._folder)
        opened = await self.discovery.call(
            "open",
            replicas=self.size.replicas,
            readers=scale.prefill_share,
            seed=scale.seed,
            zones=files.zone_names(scale),
        )
        return str(opened["address"])

    async def _start_aggregators(self, key_file: str) -> None:
        peers = self.aggregator_addresses
        if self._can_be_partitioned and peers:
            self.relay = self._new_relay()
            peers = {name: self.relay.address(name) for name in peers}
        for name, address in self.aggregator_addresses.items():
            path = self._folder / f"{name}.toml"
            path.write_text(files.aggregator_file(name, address, peers, key_file))
            self.aggregators.append(Daemon(name, self._folder, (*CLI_ARGUMENTS, "aggregator", str(path))))
        await asyncio.gather(*(aggregator.start(AGGREGATOR_READY) for aggregator in self.aggregators))

    def _new_relay(self) -> Relay:
        relay = Relay(list(self.aggregator_addresses), self.scale.seed)
        for name, address in self.aggregator_addresses.items():
            host, _, port = address.rpartition(":")
            relay.register(name, host, int(port))
        return relay

    async def _start_dispatchers(self) -> None:
        """Start hollow and real dispatchers concurrently. The first specs are for hollow ones, process by process."""
        counts = [*self.size.hollow_per_process(self.scale.per_process), *[1] * self.size.alone]
        self.hosts = list(
            await asyncio.gather(
                *(Child.start(f"host{k}", "pearhill.lab.scale.hollow", self._folder) for k in range(len(counts)))
            )
        )
        settings = self._host_settings()
        starts = []
        first = 0
        for host, count in zip(self.hosts, counts, strict=True):
            specs = [asdict(spec) for spec in self.dispatchers[first : first + count]]
            starts.append(host.call("open", places=specs, **settings))
            first += count
        await asyncio.gather(*starts, self._start_real(self.dispatchers[first:]))

    def _host_settings(self) -> dict[str, Any]:
        """Returns the arguments of the command "open" that are the same for all processes of hollow dispatchers."""
        size = self.size
        scale = self.scale
        prefill_replicas = round(size.replicas * scale.prefill_share)
        return {
            "text": self.template,
            "work": size.workload,
            "seed": scale.seed,
            "rate_per_s": size.rate_per_s,
            "streams": scale.streams,
            "spread_s": float(scale.fetch_s),
            "readers": prefill_replicas,
            "writers": size.replicas - prefill_replicas,
        }

    async def _start_real(self, specs: list[DispatcherSpec]) -> None:
        semaphore = asyncio.Semaphore(PARALLEL_STARTS)

        async def start(spec: DispatcherSpec) -> None:
            """Start one dispatcher as soon as fewer than `PARALLEL_STARTS` are starting."""
            async with semaphore:
                self.real.append(await self.start_dispatcher(spec.name, render_file(spec, self.template)))

        await asyncio.gather(*map(start, specs))

    async def start_dispatcher(self, name: str, text: str) -> Daemon:
        """Start a real dispatcher with this configuration file.

        Raises ProcessFailedError if it does not become ready; its process is ended then.
        """
        path = self._folder / f"{name}.toml"
        path.write_text(text)
        daemon = Daemon(name, self._folder, ("-m", "pearhill", "--chat", str(path)))
        try:
            await daemon.start(DISPATCHER_READY)
        except BaseException:
            daemon.kill()
            raise
        return daemon

    async def call_hosts(self, command: str, **arguments: Any) -> list[HostReport]:
        """Send a command to every process of hollow dispatchers. Returns the replies in the order of the processes."""
        return list(await asyncio.gather(*(host.call(command, **arguments) for host in self.hosts)))

    async def settle(self) -> bool:
        """Wait for the warm-up, and until each hollow dispatcher counts the whole fleet and has the complete list.

        Returns False if some dispatchers do not after `SETTLE_TIMEOUT_S`.
        """
        deadline = time.monotonic() + self.scale.warm_s + SETTLE_TIMEOUT_S
        await asyncio.sleep(self.scale.warm_s)
        while time.monotonic() < deadline:
            if self._is_settled(await self.call_hosts("look", engines=[])):
                return True
            await asyncio.sleep(SETTLE_POLL_S)
        return False

    def _is_settled(self, hosts: list[HostReport]) -> bool:
        if any(listed != self.size.replicas for host in hosts for listed in host["listed"]):
            return False
        if self.size.exchange is LoadExchange.OWN:
            return True
        return all(count == self.size.dispatchers for host in hosts for count in host["counts"])

    async def measure(self) -> FleetMeasurement:
        """Measure one window of `scale.seconds`."""
        window = await self._collect()
        common_fields = self._common_fields(self._report_busy(window.hosts))
        aggregator = window.aggregators.per_process()
        return FleetMeasurement(
            hollow=self._hollow_point(window, common_fields, aggregator),
            real=self._real_point(window, common_fields, aggregator),
            alone={"dispatcher": hollow_figures(window.alone)} if window.alone else None,
            evenness=evenness_of(window.hosts) if self.size.workload is Workload.ROUTER else None,
        )

    async def _collect(self) -> _Window:
        assert self.discovery
        real_before = await snapshot_before(self.real)
        aggregators_before = await snapshot_before(self.aggregators)
        discovery_before = await self.discovery.call("counts")
        await self.call_hosts("begin", marker=self._marker())
        await self.discovery.call("replace", count=1)  # each dispatcher measures the age of this change
        await asyncio.sleep(self.scale.seconds)
        hosts = await self.call_hosts("end")
        discovery_after = await self.discovery.call("counts")
        aggregators_after = await snapshot_after(self.aggregators)
        real_after = await snapshot_after(self.real)
        first_alone = len(hosts) - self.size.alone
        return _Window(
            hosts=hosts[:first_alone],
            alone=hosts[first_alone:],
            real=UsageWindow(real_before, real_after),
            aggregators=UsageWindow(aggregators_before, aggregators_after),
            discovery_before=discovery_before,
            discovery_after=discovery_after,
        )

    def _marker(self) -> str:
        """Returns the name of the dispatcher that writes marks, or an empty string if none does.

        With requests through the Router there are no marks: every replica has work.
        """
        return "" if self.size.workload is Workload.ROUTER else self.dispatchers[0].name

    def _hollow_point(
        self, window: _Window, common_fields: dict[str, Any], aggregator: dict[str, Any] | None
    ) -> dict[str, Any]:
        load_age_ms = self._load_age_ms([*window.hosts, *window.alone])
        return {
            **common_fields,
            "kind": "hollow",
            "dispatcher": {**hollow_figures(window.hosts), "news_age_ms": load_age_ms},
            "aggregator": aggregator,
            "discovery": discovery_figures(window.discovery_before, window.discovery_after),
            "list_age_ms": percentiles_ms(host["lists"] for host in window.hosts),
        }

    def _load_age_ms(self, hosts: list[HostReport]) -> dict[str, float] | None:
        """Returns percentiles of the age of the marker's load at the other hollow dispatchers."""
        read_at: list[int] = next((host["read_at"] for host in hosts if host["read_at"]), [])
        observations = [observation for host in hosts for observation in host["marks"]]
        ages = observe.mark_ages(read_at, observations, self.size.exchange is LoadExchange.GOSSIP)
        return percentiles_ms([encode_histogram(array("q", ages))])

    def _real_point(
        self, window: _Window, common_fields: dict[str, Any], aggregator: dict[str, Any] | None
    ) -> dict[str, Any] | None:
        """Returns the point of the real dispatchers, or None if there are none."""
        figures = window.real.per_process()
        if figures is None:
            return None
        return {
            **common_fields,
            "kind": "real",
            "dispatcher": {**figures, "beat_late_ms": None, "news_age_ms": None},
            "aggregator": aggregator,
            "discovery": None,
            "list_age_ms": None,
        }

    def _report_busy(self, hosts: list[HostReport]) -> bool:
        """Returns whether the machine was too busy, and prints a line if so.

        It was too busy if the ticks of the processes were late, or if there were no ticks.
        """
        delays_ms = percentiles_ms(host["late"] for host in hosts)
        is_busy = delays_ms is None or delays_ms["p99"] * 1000 > MAX_TICK_DELAY_P99_US
        if is_busy:
            p99 = delays_ms and delays_ms["p99"]
            self.print_line(
                f"    the machine was too busy for a valid measurement: p99 of the run's own tick delay is {p99} ms"
            )
        return is_busy

    def _common_fields(self, is_busy: bool) -> dict[str, Any]:
        """Returns the fields that all points of a window share, in the form of the results file."""
        size = self.size
        return {
            "way": size.exchange.value,
            "work": size.workload.value,
            "dispatchers": size.dispatchers,
            "replicas": size.replicas,
            "aggregators": size.aggregators,
            "seconds": round(self.scale.seconds, 1),
            "rate_per_dispatcher": size.rate_per_s if size.workload is Workload.ROUTER else 0.0,
            "processes": len(self.pids()) + 1,
            "busy": is_busy,
        }

    async def close(self) -> None:
        """End all processes and remove their logs."""
        for daemon in (*self.real, *self.aggregators):
            daemon.kill()
        await asyncio.gather(*(child.close() for child in self._children()), return_exceptions=True)
        if self.relay:
            self.relay.close()
        with contextlib.suppress(OSError):
            for log in self._folder.glob("*.log"):
                log.unlink()
