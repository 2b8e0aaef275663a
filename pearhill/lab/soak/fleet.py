"""The components of one run of the soak: the oracle, the clients, replicas, discovery agents and dispatchers."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from pearhill.lab.soak.clients import Clients
from pearhill.lab.soak.discovery_agent import DiscoveryAgent
from pearhill.lab.soak.lateness import Lateness
from pearhill.lab.soak.oracle import Oracle
from pearhill.lab.soak.processes import Dispatcher
from pearhill.lab.soak.replicas import Replica


def monotonic_us() -> int:
    """Returns the time of the soak's monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


@dataclass(slots=True)
class SoakFleet:
    """The components of one run. `kill_after_s`: the time from a dispatcher's SIGTERM to its SIGKILL."""

    oracle: Oracle
    lateness: Lateness
    clients: Clients
    replicas: list[Replica]
    agents: list[DiscoveryAgent]
    kill_after_s: float
    dispatchers: list[Dispatcher] = field(default_factory=list)

    def add_to_front(self, dispatcher: Dispatcher) -> None:
        """Let new clients connect to this dispatcher, too."""
        if dispatcher.address:
            self.clients.add_dispatcher(dispatcher.address)
