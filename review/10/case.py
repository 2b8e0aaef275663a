"""Case 10: a keep-alive comment is sent after the end of an answer, and spoils the next answer on the connection."""

from __future__ import annotations

import asyncio
import pathlib
import random
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
    ChatDispatcher,
    Client,
    Connection,
    Message,
    Record,
    Server,
    chat_request,
    chunk,
    event,
    main,
    response,
    usage,
)

LENGTH_S = 85
REQUESTS_PER_S = 28
HEARTBEAT_S = 0.5
TOKEN_S = 0.07  # "then one every 70 ms on average"
TOKENS_PER_EVENT = 7 if TROUBLE else 3  # "events follow every few tokens"
JITTER = (0.7, 1.3)
rng = random.Random()


class Replica:
    """An `all-in-one` replica, whose streams are whole."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.server = Server(self.respond)

    async def respond(self, connection: Connection, message: Message) -> None:
        """Answer one request."""
        if message.method != "POST":
            return await connection.write(response(204))
        request_id = message.headers["request-id"]
        self.record.line(f"replica runs {request_id}")
        await connection.write(STREAM_HEAD + chunk(event("It is ")))
        await asyncio.sleep(TOKENS_PER_EVENT * TOKEN_S * rng.uniform(*JITTER))
        await connection.write(b"".join(map(chunk, (event("so.", True), usage(20, 14), DONE))) + LAST_CHUNK)
        self.record.line(f"replica ends the stream of {request_id}")


class Clients:
    """The clients, which keep their connections, and what they got."""

    def __init__(self, address: str, record: Record) -> None:
        self.address = address
        self.record = record
        self.idle: list[Client] = []
        self.answered = 0
        self.broken = 0

    def report(self, what: str) -> None:
        """Record a broken answer."""
        self.broken += 1
        self.record.line(f"BROKEN: {what}")

    async def ask(self, number: int) -> None:
        """Send one request, and read its answer."""
        client = self.idle.pop() if self.idle else Client(self.address)
        fields = {"model": "help-desk", "stream": True, "messages": [{"role": "user", "content": f"n{number}"}]}
        self.record.line(f"client sends n{number}")
        try:
            await client.send(chat_request("/v1/chat/completions", fields))
            answer = await asyncio.wait_for(client.read(), 15)
        except (OSError, TimeoutError) as error:
            self.record.line(f"client got nothing n{number} {error!r}")
            return client.close()
        if answer is None:
            return self.record.line(f"client got a close n{number}")
        if not answer.first.startswith("HTTP/1.1 "):
            self.report(f"the answer to n{number} begins with {answer.first!r}, left from the one before it")
            return client.close()
        self.answered += 1
        self.record.line(f"client got {answer.first} n{number}")
        if client.reader:
            rest = getattr(client.reader, "_buffer", b"")  # for the record: what came beyond the answer's end
            if rest:
                self.record.line(f"after the last chunk of n{number}: {bytes(rest)!r}")
            self.idle.append(client)


async def case(record: Record) -> int:
    """Send requests on connections that are kept, and look for answers that begin with something else."""
    replicas = [Replica(record), Replica(record)]
    dispatcher = ChatDispatcher([await replica.server.start() for replica in replicas])
    text = dispatcher.config.read_text()
    dispatcher.config.write_text(text.replace("heartbeat_s = 0.0", f"heartbeat_s = {HEARTBEAT_S}"))
    await dispatcher.start()
    try:
        if not await dispatcher.wait_ready():
            record.line(f"the dispatcher is not ready: {dispatcher.log.read_text()[-400:]}")
            return NOT_RUN
        clients = Clients(dispatcher.address, record)
        tasks = []
        end = time.monotonic() + LENGTH_S
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(clients.ask(len(tasks) + 1)))
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
        await asyncio.wait(tasks, timeout=12)
        for client in clients.idle:
            client.close()
        record.line(f"{clients.answered} answers, {clients.broken} spoilt")
        if clients.answered < LENGTH_S * REQUESTS_PER_S / 2:
            return NOT_RUN
        return BROKEN if clients.broken else HELD
    finally:
        await dispatcher.stop()
        dispatcher.clean_up()
        for replica in replicas:
            replica.server.stop()


if __name__ == "__main__":
    main(case, __file__)
