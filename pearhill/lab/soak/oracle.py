"""The rules of the platform as an oracle over what clients, replicas and agents saw. Free of I/O.

Times are passed in: microseconds of one monotonic clock, that of the soak's own process. A limit that was passed is a
violation unless this machine is known to have run that late just then (`Lateness`).
"""

from __future__ import annotations

from pearhill.lab.soak.attempt_rules import AttemptRules
from pearhill.lab.soak.client_rules import ClientRules
from pearhill.lab.soak.held_states import HeldStates
from pearhill.lab.soak.lateness import Lateness
from pearhill.lab.soak.oracle_state import OracleState
from pearhill.lab.soak.records import Violation
from pearhill.lab.soak.slow_start import PlatformLimits


class Oracle:
    """The rules, each part with what it is told: `clients`, `attempts` and `held_states`; here, the faults injected."""

    def __init__(self, limits: PlatformLimits, lateness: Lateness | None = None) -> None:
        self.state = OracleState(limits, lateness or Lateness(lambda: 0))
        self.clients = ClientRules(self.state)
        self.attempts = AttemptRules(self.state)
        self.held_states = HeldStates(self.state)

    @property
    def violations(self) -> list[Violation]:
        """The rules that were broken, as far as no lateness of this machine explains it."""
        return self.state.violations

    def count(self, exposure: str) -> None:
        """One more occasion on which rules could have been broken."""
        self.state.exposure[exposure] += 1

    def scan(self, at: int) -> None:
        """Look for what is held too long while no attempt is out for it, and for ends that were not passed on."""
        self.held_states.scan(at)
        self.clients.scan(at)

    def replica_cut_off(self, at: int, replica: str, on: bool) -> None:
        """Nothing reaches the replica from now on, or (not `on`) everything does again."""
        self.state.unreachable.mark(at, replica, on)

    def system_calls_fail(self, at: int, dispatcher: str, on: bool) -> None:
        """Reads and writes on the dispatcher's connections to replicas break them."""
        self.state.failing.mark(at, dispatcher, on)

    def dispatcher_flooded(self, at: int, dispatcher: str, on: bool) -> None:
        """Idle connections fill the dispatcher's descriptors from now on, or no longer do."""
        self.state.flooded.mark(at, dispatcher, on)

    def client_connection_broken(self, dispatcher: str, port: int) -> None:
        """The system broke the dispatcher's connection to this client."""
        self.state.broken_clients.add((dispatcher, port))

    def terminated(self, at: int, dispatcher: str) -> None:
        """The dispatcher's process was sent SIGTERM."""
        self.state.process_ends.terminated(at, dispatcher)
        self._note_for_open_requests(at, dispatcher, "SIGTERM")
        self.state.exposure["under way at a SIGTERM"] += self._under_way(dispatcher)

    def killed(self, at: int, dispatcher: str) -> None:
        """The dispatcher's process was sent SIGKILL."""
        self.state.process_ends.killed(at, dispatcher)
        self.count("processes that were killed")
        self.state.exposure["under way at a kill"] += self._under_way(dispatcher)

    def exited(self, at: int, dispatcher: str) -> None:
        """The dispatcher's process ended by itself after SIGTERM."""
        self.state.process_ends.exited(at, dispatcher)
        self._note_for_open_requests(at, dispatcher, "exit")
        self.count("processes that ended by themselves")

    def _note_for_open_requests(self, at: int, dispatcher: str, what: str) -> None:
        for request in self.state.open_requests:
            record = self.state.requests[request]
            if record.dispatcher == dispatcher:
                record.note(at, f"{what} of {dispatcher}")

    def _under_way(self, dispatcher: str) -> int:
        return sum(self.state.requests[request].dispatcher == dispatcher for request in self.state.open_requests)

    def process_fault(self, at: int, dispatcher: str, detail: str) -> None:
        """The dispatcher logged a fault, or ended as it must not."""
        self.state.add_violation(at, "process", dispatcher, detail)
