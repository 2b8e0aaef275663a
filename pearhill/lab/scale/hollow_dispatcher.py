"""One hollow dispatcher of a process: the program's own service, its workload, and its measurements."""

from __future__ import annotations

import random
import time
from array import array
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from pearhill.chat.service import ChatService
from pearhill.chat.setup import ChatSetup, loads
from pearhill.eureka.client import EurekaClient
from pearhill.lab.scale import observe
from pearhill.lab.scale.files import DispatcherSpec, render_file
from pearhill.lab.scale.plan import Workload
from pearhill.lab.scale.work import DrawnGauges, PoissonArrivals
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.net.address import Address
from pearhill.routing.replica_state import ReplicaState
from pearhill.routing.topology import Endpoint

TURNS_PER_OBSERVATION = 2  # a dispatcher reads the mark once in so many turns
US_PER_S = 1e6

# Called with the age in seconds of a change of the endpoint list when the change takes effect.
OnChange = Callable[[float], None]
Command = dict[str, Any]


class HollowService(ChatService):
    """A ChatService that reports changes of its endpoint list, and that can write marks into its own load.

    `read_at` lists when its load was read, in microseconds, while it writes marks; otherwise it is None.
    """

    def __init__(self, setup: ChatSetup, on_change: OnChange) -> None:
        self._on_change = on_change
        self._newest_change_us = 0
        self.read_at: list[int] | None = None
        super().__init__(setup)

    def _own_loads(self) -> list[ReplicaLoad]:
        if self.read_at is not None:
            observe.write_mark(self, len(self.read_at))
            self.read_at.append(_monotonic_us())
        return super()._own_loads()

    def _new_eureka(self, setup: ChatSetup) -> EurekaClient | None:
        if not setup.eureka:
            return None
        return EurekaClient(self.node.pool, setup.eureka, setup.deployment, self._update_endpoints)

    def _update_endpoints(self, full: bool, entries: tuple[Endpoint, ...], addresses: dict[int, Address]) -> None:
        self.node.update_endpoints(full, entries, addresses)
        assert self._eureka
        now = time.monotonic()
        known_us = self._newest_change_us
        newest_us = known_us
        for instance in self._eureka.registry.instances.values():
            changed_us = int(instance.metadata.get("changed_us", 0))
            if changed_us <= known_us:
                continue
            newest_us = max(newest_us, changed_us)
            if known_us:  # the rows of the first list are not changes
                self._on_change(now - changed_us / US_PER_S)
        self._newest_change_us = newest_us


def _monotonic_us() -> int:
    return time.monotonic_ns() // 1000


class MeasurementWindow:
    """Measurements between the commands "begin" and "end". The values of arrays are microseconds."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.cpu_s = time.process_time()
        self.tick_cpu_ns = 0
        self.tick_delays = array("q")
        self.list_ages = array("q")
        # Key: second of the machine's monotonic clock; value: tokens in flight by replica.
        self.work: dict[int, Counter[int]] = {}
        # When a mark was read, in microseconds, and the number that it encodes.
        self.observations: list[tuple[int, int]] = []


@dataclass(frozen=True, slots=True)
class HostSettings:
    """The settings that the dispatchers of a process share, from the command "open".

    `template` is the template of their configuration files. `rate_per_s` and `streams` are those of a dispatcher with
    mean traffic.
    """

    template: str
    workload: Workload
    seed: int
    rate_per_s: float
    streams: float
    prefill_replicas: int
    decode_replicas: int

    @classmethod
    def from_command(cls, command: Command) -> HostSettings:
        """Returns the settings in a command "open"."""
        return cls(
            template=command["text"],
            workload=Workload(command["work"]),
            seed=command["seed"],
            rate_per_s=command["rate_per_s"],
            streams=command["streams"],
            prefill_replicas=command["readers"],
            decode_replicas=command["writers"],
        )


class Host(Protocol):
    """The interface of the process that a hollow dispatcher uses."""

    settings: HostSettings
    window: MeasurementWindow

    def gauges_for(self, weight: float) -> DrawnGauges:
        """Returns the gauges that all dispatchers of this weight share."""


class HollowDispatcher:
    """One hollow dispatcher of the process."""

    def __init__(self, host: Host, spec: DispatcherSpec) -> None:
        self.spec = spec
        self._host = host
        self._rng = random.Random(spec.seed)
        # Totals at the start of the window. Dispatchers share the window of the process, but each has its own totals.
        self._totals_before: Counter[str] = Counter()
        self.service = HollowService(loads(render_file(spec, host.settings.template)), self._add_list_age)
        self._gauges: DrawnGauges | None = None
        self._arrivals: PoissonArrivals | None = None
        self._turns = self._rng.randrange(TURNS_PER_OBSERVATION)

    def _add_list_age(self, age_s: float) -> None:
        self._host.window.list_ages.append(int(age_s * US_PER_S))

    async def open(self) -> None:
        """Start the service, then its workload."""
        await self.service.open()
        settings = self._host.settings
        node = self.service.node
        if settings.workload is Workload.DRAWN:
            self._gauges = self._host.gauges_for(self.spec.weight)
        elif settings.workload is Workload.ROUTER:
            rate_per_s = settings.rate_per_s * self.spec.weight
            self._arrivals = PoissonArrivals(node.dispatcher, node.deadlines, rate_per_s, self._rng)

    @property
    def now(self) -> int:
        """The time in microseconds of the dispatcher's own clock."""
        return self.service.node.deadlines.clock()

    @property
    def replicas(self) -> dict[int, ReplicaState]:
        """The Router's state of its replicas, by ID."""
        return self.service.node.dispatcher.router.router.replicas

    @property
    def results(self) -> dict[str, int]:
        """The number of its requests by result since it started."""
        return self._arrivals.results if self._arrivals else {}

    def begin_window(self) -> None:
        """Record the current totals of the fleet socket."""
        self._totals_before = observe.datagram_totals(self.service)

    def window_totals(self) -> Counter[str]:
        """Returns messages and bytes at its fleet socket since the start of the window."""
        return observe.datagram_totals(self.service) - self._totals_before

    def take_turn(self, marker: str) -> None:
        """Draw gauges or add up the work in flight. Every `TURNS_PER_OBSERVATION` turns read the marker's mark."""
        if self._gauges:
            self._draw(self._gauges, marker)
        elif self._arrivals:
            self._add_work()
        self._turns += 1
        if marker and marker != self.spec.name and self._turns % TURNS_PER_OBSERVATION == 0:
            number = observe.read_mark(self.service, self.now, marker)
            self._host.window.observations.append((_monotonic_us(), number))

    def _draw(self, gauges: DrawnGauges, marker: str) -> None:
        gauges.apply(self.service.node.dispatcher.router.router, self._rng)
        if not marker:
            return
        marked = observe.marked_replica(self.service)
        if marked:
            marked.tokens_queued = 0
            marked.tokens_in_flight = 0

    def _add_work(self) -> None:
        work = self._host.window.work.setdefault(int(time.monotonic()), Counter())
        for replica in self.replicas.values():
            if replica.tokens_in_flight:
                work[replica.id] += replica.tokens_in_flight

    def reload(self, template: str) -> float:
        """Reload with another file, as at SIGHUP. Returns the CPU seconds that the reload took."""
        began = time.thread_time()
        self.service.reload(loads(render_file(self.spec, template)))
        return time.thread_time() - began

    async def stop(self, gracefully: bool) -> None:
        """Stop it. If not `gracefully`, it stops without a message, like a process that is killed."""
        if self._arrivals:
            self._arrivals.stop()
        if gracefully:
            return await self.service.close()
        service = self.service
        service._cancel_registry_tasks()
        if service.fleet:
            service.fleet.datagrams.close()  # first, so that `close` sends no leave message
            service.fleet.close()
        service.node.close()
