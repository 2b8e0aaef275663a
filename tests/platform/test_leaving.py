"""Several real dispatchers, each with its own agent, while a replica whose connections open late is drained.

The test proves an order and does not depend on time: any byte received by that replica was sent after the change was in
force."""

import http.client
import json
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from tests.standins import SETTINGS, STREAM_CHUNKS, STREAM_END, Discovery, Program, Standin, platform

PATH = "/v1/chat/completions"
BODY = json.dumps({"model": "chat", "stream": True, "messages": []}).encode()


class LateReplica:
    """A replica whose connections open only after `accept_from_now_on`.

    Until then its accept queue is full, and the system repeats a connection attempt only after 1 s or more. The replica
    counts the bytes that it receives and answers none."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.first = socket.socket()
        self.bytes_received = 0
        self.closed = False
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.first.connect(self.sock.getsockname())
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.accepted = threading.Semaphore(0)  # open connections of dispatchers

    def accept_from_now_on(self) -> None:
        threading.Thread(target=self._accept, daemon=True).start()
        self.first.sendall(b"!")  # the test's own connection, which shows that the replica accepts
        assert self.first.recv(1) == b"!"

    def _accept(self) -> None:
        while not self.closed:
            try:
                connection, peer = self.sock.accept()
            except OSError:
                return
            if peer != self.first.getsockname():
                self.accepted.release()
            threading.Thread(target=self._read, args=(connection, peer), daemon=True).start()

    def _read(self, connection: socket.socket, peer: object) -> None:
        with connection:
            is_first = peer == self.first.getsockname()
            while data := connection.recv(4096):
                if is_first:
                    connection.sendall(data)
                else:
                    self.bytes_received += len(data)

    def close(self) -> None:
        self.closed = True
        self.sock.close()
        self.first.close()


def send_booking(program: Program, id: str) -> tuple[int, bytes]:
    """Send a booking. Returns the status and the body; the status is 0 if the dispatcher was killed."""
    try:
        status, _, body = program.request(
            "POST",
            PATH,
            BODY,
            {
                "Request-Id": id,
                "Request-Class": "job-booking",
                "Request-Timeout-Ms": "9000",
                "Request-Info": "prompt_len=3000,max_out=100",
            },
        )
        return status, body
    except (OSError, http.client.HTTPException):
        return 0, b""


@pytest.mark.parametrize("grace", [250_000, 500_000, 1_000_000])
def test_no_dispatcher_sends_to_a_draining_replica_despite_a_silent_agent_or_a_restart(grace: int) -> None:
    """One dispatcher runs undisturbed, one has an agent that is silent while the list changes, and one is killed and
    restarted with the outdated list. Each booking waits for its connection when the list changes, and runs once, at
    another replica."""
    late, good = LateReplica(), Standin()
    agents = [Discovery(("s-0", late.address, "all-in-one")) for _ in range(3)]
    changes: dict[str, Any] = {
        "settings": {
            **SETTINGS,
            "rules": {**SETTINGS["rules"], "drain-grace": grace},
            "allowed": {**SETTINGS["allowed"], "connect-timeout": 8_000_000},
        }
    }
    programs = [platform(agent.address, **changes) for agent in agents]
    stand_ins: list[Any] = [late, good, *agents]
    silent, answer = threading.Event(), agents[1].respond
    agents[1].respond = lambda h, b: agents[1].release_answers.wait(30) if silent.is_set() else answer(h, b)
    try:
        with ThreadPoolExecutor() as pool:
            for program in programs:
                program.wait_ready()
            silent.set()
            programs[1].wait_line("discovery: no answer to anything: silent")
            bookings = [pool.submit(send_booking, program, f"b{n}") for n, program in enumerate(programs)]
            for program in programs:
                while not program.counters()["sent"]:
                    assert not any(a.done() for a in bookings)
            outdated = agents[2].answer()["targets"]
            programs[2].process.kill()
            for agent in agents:
                agent.leaving = {"s-0"}
                agent.update(*agent.targets, ("s-1", good.address, "all-in-one"))
            programs.append(platform(agents[2].address, outdated, **changes))
            bookings.append(pool.submit(send_booking, programs[3], "b3"))
            silent.clear()
            for agent in agents:
                agent.wait_for("GET", "/v1/endpoints?after=2")  # the dispatcher has received the change
            late.accept_from_now_on()
            answers = [a.result(20) for a in bookings]
        served = (200, b"".join(STREAM_CHUNKS) + STREAM_END)
        assert answers == [served, served, (0, b""), served]
        assert (late.bytes_received, good.post_count) == (0, 3)
        for program in programs[:2]:
            outcomes = program.counters()["outcomes"]
            assert outcomes["withdrawn"]
            assert outcomes["answered"] == 1
    finally:
        for stand_in in stand_ins:
            stand_in.close()
        for program in programs:
            program.kill()
