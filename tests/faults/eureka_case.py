"""The chat API with replicas from a Eureka registry, which fails, falls silent, sends wrong hash codes and nonsense.

Rules: each client gets an answer or a close in time, with its own events only; no booking is begun twice; a replica of
which the registry has told that it is not UP gets no new request; the lease is renewed, and cancelled at the end.
"""

import itertools
import pathlib
import signal
import tempfile
import threading
import time

from tests.chat.test_front import operator_file
from tests.eureka.test_eureka import RegistryStandin, instance, registry_response
from tests.faults.case import Case, main
from tests.faults.chat_load import ChatLoad, NamingReplica
from tests.standins import Program, StandinHandler

REPLICAS = 3
FAULT_SHARE = 0.1
MAX_EXIT_S = 15.0
IN_FORCE_S = 0.5  # after which a list that was answered counts; the lateness of the case itself is added
DELTA_CHANGES = 20  # that a delta has
TROUBLES = ("", "wrong-hash", "silent", "fails", "nonsense")  # one after the other
SILENCE_S = 1.0


class Registry(RegistryStandin):
    """A registry of replicas whose status changes. `told_at`: when a replica was first listed as not UP, or absent."""

    def __init__(self, replicas: list[NamingReplica]) -> None:
        self.trouble = ""
        self.told_at: dict[str, float] = {}
        self._lock = threading.Lock()
        self._rows = {f"m{n}": instance(f"m{n}", replica.address) for n, replica in enumerate(replicas)}
        self._changes: list[dict[str, object]] = []
        super().__init__()
        self.full_list = registry_response(*self._rows.values())

    def set_status(self, id: str, status: str) -> None:
        """Change the status of a replica. Deltas have it from now on."""
        with self._lock:
            self._rows[id] = {**self._rows[id], "status": status, "actionType": "MODIFIED"}
            self._changes = [*self._changes, self._rows[id]][-DELTA_CHANGES:]
            self.full_list = registry_response(*self._rows.values())
            code = self.full_list["applications"]["apps__hashcode"]
            self.delta = registry_response(*self._changes, code=code)  # type: ignore[arg-type]

    def respond(self, handler: StandinHandler, body: bytes, /) -> None:
        trouble = self.trouble if handler.command == "GET" else ""
        if trouble == "fails":
            return handler.send_response_body(503)
        if trouble == "silent":
            time.sleep(SILENCE_S)
        if trouble == "nonsense":
            return handler.send_response_body(200, b'{"applications": 7}')
        with self._lock:
            rows = dict(self._rows)
        if trouble == "wrong-hash" and handler.path.endswith("/delta"):
            with self._lock:
                self.delta["applications"]["apps__hashcode"] = "UP_99_"
        if trouble == "wrong-hash" and handler.path.endswith("/apps"):
            return handler.send_response_body(503)
        super().respond(handler, body)
        if handler.command == "GET":
            self._record_told(rows)
        return None

    def _record_told(self, rows: dict[str, dict[str, object]]) -> None:
        now = time.monotonic()
        with self._lock:
            for id, row in rows.items():
                if row["status"] == "UP":
                    self.told_at.pop(id, None)
                else:
                    self.told_at.setdefault(id, now)


class Watch:
    """Changes replicas' status and the registry's trouble, and checks that those that are not UP get no requests."""

    def __init__(self, case: Case, registry: Registry, replicas: list[NamingReplica]) -> None:
        self._case, self._registry, self._replicas = case, registry, replicas
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> "Watch":
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        rng = self._case.rng
        troubles = itertools.cycle(TROUBLES)
        while self._case.trouble and not self._ended.wait(0.1):
            number = rng.randrange(1, REPLICAS)  # the first one stays
            self._registry.trouble = next(troubles)
            self._registry.set_status(f"m{number}", "OUT_OF_SERVICE")
            self._case.count(f"registry {self._registry.trouble or 'answers'}")
            self._ended.wait(rng.uniform(2.0, 3.0))
            self._check(number)
            self._registry.trouble = ""
            self._registry.set_status(f"m{number}", "UP")
            self._ended.wait(rng.uniform(0.5, 1.5))

    def _check(self, number: int) -> None:
        """Check the requests of a replica that is still not UP."""
        told_at = self._registry.told_at.get(f"m{number}")
        if told_at is None:
            return self._case.count("not told")
        allowed = told_at + IN_FORCE_S + self._case.lateness_s
        late = [at for at in self._replicas[number].run_times if at > allowed]
        self._case.count("told")
        self._case.check(not late, f"m{number} got {len(late)} requests after it was told to be out of service")
        return None


def run(case: Case) -> None:
    replicas = [NamingReplica(case, FAULT_SHARE) for _ in range(REPLICAS)]
    registry = Registry(replicas)
    for server in (*replicas, registry):
        case.cleanup.callback(server.close)
    path = pathlib.Path(case.cleanup.enter_context(tempfile.TemporaryDirectory())) / "chat.toml"
    eureka = f'[eureka]\naddress = "{registry.address}"\nservers = "helpdesk"\n'
    path.write_text(operator_file([], f'{eureka}register_as = "pearhill"\nrenew_s = 1\nfetch_s = 1\n'))
    program = Program("--chat", str(path))
    case.cleanup.callback(program.kill)
    program.wait_ready()
    load = ChatLoad(case, program)
    with Watch(case, registry, replicas):
        load.run()
    load.check_runs(replicas)
    case.check(case.counts.get("200", 0) > 0, "no request was served")
    case.check(any(method == "PUT" for method, _ in registry.calls), "the lease was not renewed")
    program.process.send_signal(signal.SIGTERM)
    case.check(program.process.wait(MAX_EXIT_S) == 0, "the process did not end by SIGTERM")
    case.check(not registry.leases, "the registration was not cancelled")


if __name__ == "__main__":
    main(run)
