"""Checks what clients, replicas and agents observed against the rules of the platform. It performs no I/O.

Times are arguments, in microseconds of the monotonic clock of the soak's process. An exceeded limit is a violation
unless the machine is known to have run at least that late at that time (`Lateness`).
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
    """The oracle. Its parts `clients`, `attempts` and `held_states` get observations and check the rules for them.

    Its own methods record injected faults and the ends of processes.
    """

    def __init__(self, limits: PlatformLimits, lateness: Lateness | None = None) -> None:
        self.state = OracleState(limits, lateness or Lateness(lambda: 0))
        self.clients = ClientRules(self.state)
        self.attempts = AttemptRules(self.state)
        self.held_states = HeldStates(self.state)

    @property
    def violations(self) -> list[Violation]:
        """The broken rules, without those that the lateness of this machine explains."""
        return self.state.violations

    def count(self, exposure: str) -> None:
        """Count an occasion on which rules could have been broken."""
        self.state.exposure[exposure] += 1

    def scan(self, at: int) -> None:
        """Check for states that are held too long and for ends of streams that were not forwarded."""
        self.held_states.scan(at)
        self.clients.scan(at)

    def replica_cut_off(self, at: int, replica: str, on: bool) -> None:
        """Record that the network to the replica is cut from now on, or, if `on` is False, restored."""
        self.state.unreachable.mark(at, replica, on)

    def replica_stopped(self, at: int, replica: str, on: bool) -> None:
        """Record that the replica's process is stopped from now on, or, if `on` is False, runs again or has died."""
        self.state.stopped.mark(at, replica, on)
        if not on:
            self.held_states.replica_resumed(at, replica)

    def system_calls_fail(self, at: int, dispatcher: str, on: bool) -> None:
        """Record that system calls of the dispatcher break its connections from now on, or no longer."""
        self.state.failing.mark(at, dispatcher, on)

    def dispatcher_flooded(self, at: int, dispatcher: str, on: bool) -> None:
        """Record that idle connections use up the dispatcher's file descriptors from now on, or no longer."""
        self.state.flooded.mark(at, dispatcher, on)

    def client_connection_broken(self, dispatcher: str, port: int) -> None:
        """Record that a failed system call broke the dispatcher's connection to this client."""
        self.state.broken_clients.add((dispatcher, port))

    def client_connection_closed(self, dispatcher: str, port: int, reason: str) -> None:
        """Record why the dispatcher says that it closed its connection to this client; no rule uses it."""
        self.state.close_reasons[dispatcher, port] = reason

    def close_reason(self, request: str) -> str:
        """Returns why its dispatcher closed the connection of a request without an answer, or "" if that is not known.

        The log line comes after the end of the connection: to be read at the end of the run.
        """
        record = self.state.requests[request]
        return self.state.close_reasons.get((record.dispatcher, record.unanswered_on_port), "")

    def terminated(self, at: int, dispatcher: str) -> None:
        """Record that the dispatcher's process was sent SIGTERM."""
        self.state.process_ends.terminated(at, dispatcher)
        self._note_for_open_requests(at, dispatcher, "SIGTERM")
        self.state.exposure["under way at a SIGTERM"] += self._under_way(dispatcher)

    def killed(self, at: int, dispatcher: str) -> None:
        """Record that the dispatcher's process was sent SIGKILL."""
        self.state.process_ends.killed(at, dispatcher)
        self.count("processes that were killed")
        self.state.exposure["under way at a kill"] += self._under_way(dispatcher)

    def exited(self, at: int, dispatcher: str) -> None:
        """Record that the dispatcher's process exited by itself after SIGTERM."""
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
        """Report that the dispatcher logged a fault, or that its process exited unexpectedly."""
        self.state.add_violation(at, "process", dispatcher, detail)
