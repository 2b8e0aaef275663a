"""An exception on the way of a request ends that request, whatever raised it, and nothing else.

The places where exceptions are raised are those that the program itself reports, see `tests/faults/raising.py`.
"""

import functools
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any

import pytest

from tests.chat.test_budgets import table, tenant
from tests.chat.test_front import body, operator_file
from tests.chat.test_keys import A, tenants
from tests.standins import ROOT, STREAM_CHUNKS, STREAM_END, Discovery, Program, Standin, platform_file

PATH = "/v1/chat/completions"
TIMEOUT_MS = 500  # of each request
# A client waits for its deadline, or for a replica's last event and a stall of 4.5 s; the rest is for a busy machine.
MAX_ANSWER_S = 10.0
MAX_EXIT_S = 10.0
# Calls that every play makes in each form, so that places that are not found any more are noticed. How many timers and
# waits of tasks a play reaches depends on its timing.
CALLS_OF_EVERY_PLAY = {"handle", "has_disconnected", "forward", "start", "write", "finish"}
LEAVING = "leaving"  # in the id of a request whose client leaves in the middle of its answer
HANGING = "hanging"  # in what a replica gets of a request that it does not answer in time
FAILING = "failing"  # in what a replica gets of a request that it answers with an error


class RaisingProgram(Program):
    """The program with exceptions on command."""

    LAUNCH = ("-m", "tests.faults.raising")
    stdin: Any

    def command(self, line: str, confirmation: str) -> str:
        """Send a command, and return what the confirmation has after its first word."""
        earlier_lines = len(self.lines)
        os.write(self.stdin, line.encode() + b"\n")
        return self.wait_line(rf"faults: {confirmation} ?(.*)", earlier_lines)[1]


@contextmanager
def raising_program(start: Callable[[], RaisingProgram]) -> Iterator[RaisingProgram]:
    """Run a program whose standard input is a pipe, and kill it at the end."""
    read_end, write_end = os.pipe()
    popen = functools.partial(subprocess.Popen, stdin=read_end)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("subprocess.Popen", popen)
        program = start()
    os.close(read_end)
    program.stdin = write_end
    try:
        yield program
    finally:
        program.kill()
        os.close(write_end)


class Case:
    """A program in front of stand-ins, the requests of one play, and how many of them the core has open."""

    def __init__(self, cleanup: ExitStack) -> None:
        self.cleanup = cleanup
        self.program: RaisingProgram
        self.requests: list[Callable[[], None]] = []
        self.complete: list[int] = []  # the statuses of complete answers

    def standin(self, respond: Callable[[Any, bytes], None]) -> Standin:
        replica = Standin()
        replica.respond = respond  # type: ignore[method-assign]
        self.cleanup.callback(replica.close)
        return replica

    def run(self, start: Callable[[], RaisingProgram]) -> None:
        self.program = self.cleanup.enter_context(raising_program(start))

    def folder(self) -> pathlib.Path:
        return pathlib.Path(self.cleanup.enter_context(tempfile.TemporaryDirectory()))

    def open_requests(self) -> int:
        """Returns what the operators' endpoint reports, or 0 where there is none."""
        try:
            address = self.program.wait_line(r"admin endpoint: listening on (\S+)")[1]
            connection = http.client.HTTPConnection(address, timeout=5)
            connection.request("GET", "/ops/stats")
            return int(json.loads(connection.getresponse().read())["inflight"])
        finally:
            connection.close()

    def play(self) -> None:
        """Send all requests at once, and check that each client gets an answer or a close in time."""
        problems: list[str] = []

        def send(request: Callable[[], None]) -> None:
            try:
                request()
            except TimeoutError:
                problems.append(f"no end in {MAX_ANSWER_S} s")
            except (OSError, http.client.HTTPException):
                pass  # closed

        threads = [threading.Thread(target=send, args=(request,)) for request in self.requests]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(20)
        assert not problems, problems
        assert not any(thread.is_alive() for thread in threads)

    def ask(self, sent: bytes, headers: dict[str, str], path: str = PATH) -> None:
        """Send one request and read its answer, or leave in the middle of it."""
        connection = http.client.HTTPConnection(self.program.host, self.program.port, timeout=MAX_ANSWER_S)
        try:
            connection.request("POST", path, sent, {"Request-Timeout-Ms": str(TIMEOUT_MS), **headers})
            response = connection.getresponse()
            if LEAVING in str(headers) and response.status == 200:
                response.readline()
            else:
                response.read()
                self.complete.append(response.status)
        finally:
            connection.close()


def respond_as_decoder(handler: Any, body: bytes) -> None:
    """Stream an answer. The event after a pause is in the middle of it."""
    if handler.command == "DELETE":
        return handler.send_response_body(204)
    request = str(body) + str(handler.headers)
    if FAILING in request:
        return handler.send_response_body(500)
    if HANGING in request:
        time.sleep(TIMEOUT_MS / 1000)
    handler.chunks(STREAM_CHUNKS[0], last=False)
    time.sleep(0.03)
    handler.send_chunk(STREAM_CHUNKS[1] + STREAM_END)
    handler.wfile.write(b"0\r\n\r\n")
    return None


def respond_as_prefiller(handler: Any, body: bytes) -> None:
    if handler.command == "DELETE":
        return handler.send_response_body(204)
    return handler.send_response_body(202, b'{"cached_tokens":4}', Content_Type="application/json")


def platform_case(cleanup: ExitStack) -> Case:
    case = Case(cleanup)
    reader, writer = case.standin(respond_as_prefiller), case.standin(respond_as_decoder)
    discovery = Discovery(("s-0", reader.address, "reader"), ("s-1", writer.address, "writer"))
    cleanup.callback(discovery.close)
    path = case.folder() / "config.json"
    path.write_text(platform_file(discovery.address))
    case.run(lambda: RaisingProgram(RELAY_CONFIG=str(path), RELAY_ADMIN_ADDR="127.0.0.1:0"))
    numbers = iter(range(10**6))

    def ask(request_class: str, prefix: str) -> None:
        headers = {"Request-Class": request_class, "Request-Info": "prompt_len=3000,max_out=100"}
        case.ask(b"{}", {**headers, "Request-Id": f"{prefix}{next(numbers)}"})

    case.requests = [
        functools.partial(ask, "advice", "a"),
        functools.partial(ask, "job-booking", "b"),
        functools.partial(ask, "advice", LEAVING),
        functools.partial(ask, "advice", HANGING),
        functools.partial(ask, "job-booking", FAILING),
    ]
    return case


def chat_requests(case: Case) -> list[Callable[[], None]]:
    responses = json.dumps({"model": "help", "stream": True, "input": "How long?"}).encode()
    key = iter(range(10**6))
    return [
        lambda: case.ask(body(stream=True), {"api-key": A}),
        lambda: case.ask(body(), {"api-key": A}),
        lambda: case.ask(body("booking", stream=True), {"api-key": A}),
        lambda: case.ask(body("booking"), {"api-key": A, "Idempotency-Key": f"k{next(key)}"}),
        lambda: case.ask(body(stream=True), {"api-key": A, "X-Client-Request-Id": LEAVING}),
        lambda: case.ask(responses, {"api-key": A}, "/v1/responses"),
        lambda: case.ask(body(stream=True, user=HANGING), {"api-key": A}),
        lambda: case.ask(body("booking", user=FAILING), {"api-key": A}),
    ]


def chat_file(case: Case, budgets: bool) -> str:
    replica = case.standin(respond_as_decoder)
    extra = tenants(north=[A]) + table(folder=str(case.folder() / "b")) + tenant("north") if budgets else ""
    text = operator_file([replica.address], extra)
    text = text.replace("[chat]\n", "[chat]\nadmin_addr = '127.0.0.1:0'\nheartbeat_s = 0.01\n")
    path = case.folder() / "chat.toml"
    path.write_text(text)
    return str(path)


def chat_case(cleanup: ExitStack, budgets: bool = False) -> Case:
    case = Case(cleanup)
    path = chat_file(case, budgets)
    case.run(lambda: RaisingProgram("--chat", path))
    case.requests = chat_requests(case)
    return case


class RaisingApplication(RaisingProgram):
    """The example application under an ASGI server."""

    def __init__(self, path: str) -> None:
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            self.host, self.port = listening.getsockname()
            number = listening.fileno()
            self.process = subprocess.Popen(
                [sys.executable, *self.LAUNCH, "asgi", str(number)],
                cwd=ROOT,
                pass_fds=[number],
                stderr=subprocess.PIPE,
                text=True,
                env={**os.environ, "PEARHILL_CHAT": path},
            )
        self.follow_log()


class ApplicationCase(Case):
    """The application has no operators' endpoint."""

    def open_requests(self) -> int:
        return 0


def asgi_case(cleanup: ExitStack) -> Case:
    case = ApplicationCase(cleanup)
    path = chat_file(case, budgets=True)
    case.run(lambda: RaisingApplication(path))
    case.requests = chat_requests(case)
    return case


CASES: dict[str, Callable[[ExitStack], Case]] = {
    "platform": platform_case,
    "chat": chat_case,
    "chat-with-budgets": functools.partial(chat_case, budgets=True),
    "asgi": asgi_case,
}


@pytest.mark.parametrize("form", CASES)
def test_an_exception_anywhere_on_the_way_of_a_request_ends_it_and_the_process_can_end(form: str) -> None:
    with ExitStack() as cleanup:
        case = CASES[form](cleanup)
        program = case.program
        if form != "asgi":
            program.wait_ready()
        before = set(json.loads(program.command("places", "reached")))
        case.play()
        found = json.loads(program.command("places", "reached"))
        places = [place for place in found if place.startswith("call") or place not in before]
        raised = []
        for place in places:
            program.command(f"raise {place}", "armed")
            earlier_lines = len(program.lines)
            case.play()
            wait_until_closed(case, place)
            program.command("raise ", "armed")
            if any(f"faults: raised {place}" in line for line in program.lines[earlier_lines:]):
                raised.append(place)
        print(form, "raised at", raised, "not reached again", set(places) - set(raised))
        calls = {place.rpartition(".")[2] for place in raised if place.startswith("call")}
        assert calls >= CALLS_OF_EVERY_PLAY, raised
        assert any(place.startswith("task") for place in raised), raised
        case.complete.clear()
        case.play()
        assert 200 in case.complete
        if form != "asgi":
            assert program.counters()["faults"] > 0
        program.process.send_signal(signal.SIGTERM)
        assert program.process.wait(MAX_EXIT_S) in (0, -signal.SIGTERM)


def wait_until_closed(case: Case, place: str) -> None:
    """Wait until the core has no request open."""
    end = time.monotonic() + MAX_ANSWER_S
    while case.open_requests():
        assert time.monotonic() < end, f"{case.open_requests()} requests open after an exception at {place}"
        time.sleep(0.01)
