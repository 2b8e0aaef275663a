"""Clients of the chat API and replicas that name the request in each event, for fault cases."""

import http.client
import json
import random
import socket
import threading
import time
from collections import Counter
from typing import Any

from tests.faults.case import Case
from tests.standins import Program, Standin

REQUESTS_PER_S = 25.0
DEADLINE_S = 6.0  # of the class of the tests' settings with the shorter one; the other one has 10 s
MAX_ANSWER_S = 16.0  # the longer deadline, a stall of a stream, and time for a busy machine
SECOND_ANSWER_DELAY_S = 0.010
EVENTS = 3
FAULTS = ("second-answer", "error", "reset", "malformed", "half")
STREAM_END = b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":3}}\n\ndata: [DONE]\n\n'


class NamingReplica(Standin):
    """A replica whose events have the name of the request, and which misbehaves with a share of them."""

    def __init__(self, case: Case, fault_share: float) -> None:
        self._rng = random.Random(case.rng.random())
        self._fault_share = fault_share if case.trouble else 0.0
        self._lock = threading.Lock()
        self.runs: Counter[str] = Counter()  # by request
        self.run_times: list[float] = []
        super().__init__()

    def respond(self, handler: Any, body: bytes, /) -> None:
        if handler.command != "POST":
            return handler.send_response_body(204)
        name = json.loads(body)["user"]
        with self._lock:
            self.runs[name] += 1
            self.run_times.append(time.monotonic())
            fault = self._rng.choice(FAULTS) if self._rng.random() < self._fault_share else ""
        time.sleep(0.02)
        self._answer(handler, name, fault)
        return None

    def _answer(self, handler: Any, name: str, fault: str) -> None:
        if fault == "error":
            return handler.send_response_body(500)
        events = [_event(f"{name} ")] * EVENTS
        handler.chunks(events[0], last=False)
        if fault == "reset":
            return reset(handler)
        if fault == "malformed":
            return handler.send_chunk(b"data: {broken\n\n")
        time.sleep(0.01)
        handler.send_chunk(b"".join(events[1:]) + STREAM_END)
        if fault == "half":
            return reset(handler)
        handler.wfile.write(b"0\r\n\r\n")
        if fault == "second-answer":
            time.sleep(SECOND_ANSWER_DELAY_S)
            handler.chunks(*events, STREAM_END)
        return None


def _event(text: str) -> bytes:
    return b"data: %b\n\n" % json.dumps({"choices": [{"index": 0, "delta": {"content": text}}]}).encode()


def reset(handler: Any) -> None:
    """End the connection of a handler without the rest of the answer."""
    handler.close_connection = True
    handler.connection.shutdown(socket.SHUT_RDWR)


class ChatLoad:
    """Clients that send requests at a steady rate, each on its own connection, and check their answers."""

    def __init__(self, case: Case, program: Program, leaving_share: float = 0.1) -> None:
        self._case = case
        self._program = program
        self._leaving_share = leaving_share if case.trouble else 0.0
        self._threads: list[threading.Thread] = []
        self.bookings: set[str] = set()

    def run(self) -> None:
        """Send requests for the length of the case, and wait for all clients."""
        rng = self._case.rng
        end = time.monotonic() + self._case.length_s
        number = 0
        while time.monotonic() < end:
            number += 1
            leaves = rng.random() < self._leaving_share
            arguments = (f"id{number:06d}", rng.random() < 0.3, rng.random() < 0.5, leaves)
            thread = threading.Thread(target=self._send, args=arguments, daemon=True)
            thread.start()
            self._threads.append(thread)
            time.sleep(rng.expovariate(REQUESTS_PER_S))
        for thread in self._threads:
            thread.join(MAX_ANSWER_S + 5)
            self._case.check(not thread.is_alive(), "a client has no end of its answer")

    def _send(self, name: str, is_booking: bool, stream: bool, leaves: bool) -> None:
        model = "booking" if is_booking else "help"
        sent = {"model": model, "stream": stream, "user": name, "messages": [{"role": "user", "content": "How long?"}]}
        if is_booking:
            self.bookings.add(name)
        connection = http.client.HTTPConnection(self._program.host, self._program.port, timeout=MAX_ANSWER_S)
        try:
            connection.request("POST", "/v1/chat/completions", json.dumps(sent).encode())
            if leaves:
                time.sleep(0.03)
                return self._case.count("left")
            response = connection.getresponse()
            self._check(name, response.status, response.read())
        except TimeoutError:
            self._case.check(False, f"{name} had no end of its answer in {MAX_ANSWER_S} s")
        except (OSError, http.client.HTTPException):
            self._case.count("closed")
        finally:
            connection.close()

    def _check(self, name: str, status: int, received: bytes) -> None:
        self._case.count(str(status))
        if status != 200:
            return
        names = set(_names(received))
        self._case.check(names == {name}, f"{name} was answered with events of {sorted(names)}")

    def check_runs(self, replicas: list[NamingReplica]) -> None:
        """Check that no booking was begun twice."""
        runs: Counter[str] = Counter()
        for replica in replicas:
            runs.update(replica.runs)
        for name in self.bookings:
            self._case.check(runs[name] <= 1, f"booking {name} was begun {runs[name]} times")


def _names(received: bytes) -> list[str]:
    """Returns the names in an answer, streamed or complete."""
    text = received.decode()
    lines = [line.removeprefix("data: ") for line in text.splitlines() if line.startswith("data: {")] or [text]
    answers = [choice for line in lines for choice in json.loads(line)["choices"]]
    contents = ((choice.get("delta") or choice.get("message") or {}).get("content") or "" for choice in answers)
    return "".join(contents).split()
