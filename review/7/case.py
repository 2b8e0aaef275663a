"""Case 7: a booking runs twice during an upgrade, since each process knows only the ids that it has open itself."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins2 import (
    BROKEN,
    DONE,
    HELD,
    LAST_CHUNK,
    NOT_RUN,
    STREAM_HEAD,
    TROUBLE,
    Agent,
    Client,
    Connection,
    Dispatcher,
    Message,
    Record,
    Server,
    chunk,
    completion,
    event,
    free_port,
    main,
    response,
    settings,
    usage,
)

BOOKINGS = 6
FIRST_TOKEN_S = 0.3
EVENTS = 16  # of an answer: 112 tokens, seven an event
EVENT_S = 0.35
BAD_CLIENTS_AFTER_S = 2.0  # the start of the new process
READY_WITHIN_S = 6.0
KILL_AFTER_S = 3.7  # SIGTERM, at the earliest
PASSED_DESCRIPTOR = 7


class Replica:
    """An `all-in-one` replica, which books."""

    def __init__(self, name: str, record: Record, runs: list[str], out: list[str], twice: set[str]) -> None:
        self.name = name
        self.record = record
        self.runs = runs
        self.out = out
        self.twice = twice
        self.server = Server(self.respond)

    async def respond(self, connection: Connection, message: Message) -> None:
        """Answer one request."""
        if message.method != "POST":
            self.record.line(f"{self.name} release {message.path}")
            return await connection.write(response(204))
        request_id = message.headers["request-id"]
        self.runs.append(request_id)
        again = request_id in self.out
        if again:  # an id that has ended may come again: only an attempt beside one that is out counts
            self.twice.add(request_id)
        self.out.append(request_id)
        self.record.line(f"{self.name} runs {request_id}" + (" WHILE AN ATTEMPT IS OUT" if again else ""))
        await asyncio.sleep(FIRST_TOKEN_S)
        await connection.write(STREAM_HEAD + chunk(event("It is ")))
        for _ in range(EVENTS):
            await asyncio.sleep(EVENT_S)
            await connection.write(chunk(event("being ")))
        events = (event("booked.", True), usage(300, 112), DONE)
        await connection.write(b"".join(map(chunk, events)) + LAST_CHUNK)
        self.out.remove(request_id)
        self.record.line(f"{self.name} answered {request_id}")


class Platform:
    """Holds the clients' listening socket, and starts processes of one dispatcher that inherit it."""

    def __init__(self, discovery: str, record: Record) -> None:
        self.record = record
        self.dispatcher = Dispatcher(discovery, settings())
        host, _, port = self.dispatcher.address.rpartition(":")
        self.socket = socket.create_server((host, int(port)), backlog=1024)
        self.processes: list[asyncio.subprocess.Process] = []

    async def start_process(self) -> str:
        """Start a process with an operators' address of its own, which is returned."""
        admin = f"127.0.0.1:{free_port()}"

        def inherit_socket() -> None:
            """Give the child the socket as the descriptor that the page names."""
            os.dup2(self.socket.fileno(), PASSED_DESCRIPTOR)

        environ = {
            **self.dispatcher.environ,
            "RELAY_ADMIN_ADDR": admin,
            "RELAY_PASSED_SOCKET": str(PASSED_DESCRIPTOR),
        }
        with self.dispatcher.log.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.dispatcher.command,
                cwd=pathlib.Path(__file__).resolve().parent.parent.parent,
                env=environ,
                stdout=log,
                stderr=log,
                preexec_fn=inherit_socket,
                pass_fds=(PASSED_DESCRIPTOR,),
            )
        self.processes.append(process)
        self.record.line(f"process {len(self.processes)} is started")
        return admin

    async def wait_ready(self, admin: str) -> bool:
        """Wait until a process says yes at its operators' address. Returns False if it does not in time."""
        end = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                client = Client(admin)
                await client.send(b"GET /ops/readiness HTTP/1.1\r\nHost: ops\r\n\r\n")
                answer = await client.read()
                client.close()
                if answer and answer.status == 200:
                    self.record.line(f"process {len(self.processes)} says yes")
                    return True
            await asyncio.sleep(0.05)
        return False

    async def end_process(self, number: int) -> None:
        """Send SIGTERM to a process, and SIGKILL after the page's time if it has not ended."""
        process = self.processes[number]
        if process.returncode is not None:
            return
        process.terminate()
        try:
            await asyncio.wait_for(process.wait(), KILL_AFTER_S)
        except TimeoutError:
            process.kill()
            await process.wait()
        self.record.line(f"process {number + 1} has ended")


async def ask(address: str, request_id: str, who: str, record: Record) -> int:
    """Send a booking on a connection of its own, and return the status of its answer; 0 for a close."""
    client = Client(address)
    status = 0
    with contextlib.suppress(OSError, TimeoutError):
        await client.send(completion(request_id, "job-booking", 10000, "prompt_len=300,prefix_len=0,max_out=40"))
        record.line(f"{who} sends {request_id}")
        answer = await asyncio.wait_for(client.read(), 15)
        status = answer.status if answer else 0
    record.line(f"{who} got {status or 'a close'} {request_id}")
    client.close()
    return status


async def case(record: Record) -> int:
    """Upgrade the dispatcher while bookings are open, and have bad clients send the ids of these once more."""
    runs: list[str] = []
    out: list[str] = []
    twice: set[str] = set()
    replicas = [Replica(f"all-in-one-{number}", record, runs, out, twice) for number in range(4)]
    agent = Agent()
    for number, replica in enumerate(replicas):
        agent.set(f"s-{number}", await replica.server.start(), "all-in-one")
    platform = Platform(await agent.server.start(), record)
    address = platform.dispatcher.address
    try:
        if not await platform.wait_ready(await platform.start_process()):
            return NOT_RUN
        ids = [f"{number:016x}" for number in range(1, BOOKINGS + 1)]
        usual = [asyncio.create_task(ask(address, request_id, "client", record)) for request_id in ids]
        await asyncio.sleep(0.3)
        upgrade = asyncio.create_task(platform.wait_ready(await platform.start_process())) if TROUBLE else None
        await asyncio.sleep(BAD_CLIENTS_AFTER_S)
        bad = [asyncio.create_task(ask(address, request_id, "bad client", record)) for request_id in ids]
        if upgrade:
            if not await upgrade:
                record.line("the new process has not said yes in time")
                return NOT_RUN
            await platform.end_process(0)
        await asyncio.gather(*usual, *bad)
        for request_id in sorted(twice):
            record.line(f"BROKEN: the booking {request_id} was begun again while its first attempt was out")
        if not set(ids) <= set(runs):
            return NOT_RUN
        return BROKEN if twice else HELD
    finally:
        for number in range(len(platform.processes)):
            await platform.end_process(number)
        platform.socket.close()
        platform.dispatcher.clean_up()
        for server in (agent.server, *(replica.server for replica in replicas)):
            server.stop()


if __name__ == "__main__":
    main(case, __file__)
