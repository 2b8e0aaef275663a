"""Case 9: a good stream is cut at its end because it carries a load report that can't be read."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

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
    main,
    response,
    settings,
    usage,
)

REQUESTS = 100
REQUESTS_PER_S = 10
REPORT_SHARE = 0.1  # of the streams end with a load report that can't be read
UNREADABLE_REPORT = b": Server-Load: \xfe\xed\xc0\xde\n\n"
rng = random.Random(65)


class Replica:
    """An `all-in-one` replica, whose streams are whole."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.server = Server(self.respond)
        self.with_report: set[str] = set()

    async def respond(self, connection: Connection, message: Message) -> None:
        """Answer one request."""
        if message.method != "POST":
            return await connection.write(response(204))
        request_id = message.headers["request-id"]
        self.record.line(f"replica runs {request_id}")
        await asyncio.sleep(0.05)
        await connection.write(STREAM_HEAD + chunk(event("It is ")))
        await asyncio.sleep(0.05)
        await connection.write(chunk(event("booked.", True)) + chunk(usage(100, 2)) + chunk(DONE))
        if TROUBLE and rng.random() < REPORT_SHARE:
            self.with_report.add(request_id)
            await connection.write(chunk(UNREADABLE_REPORT))
        await connection.write(LAST_CHUNK)
        self.record.line(f"replica ends the stream of {request_id}, report: {request_id in self.with_report}")


async def ask(number: int, address: str, record: Record) -> bool:
    """Send one request. Returns whether its stream arrived whole."""
    request_id = f"{number:016x}"
    client = Client(address)
    request_class, timeout_ms = ("job-booking", 10000) if number % 3 == 0 else ("advice", 6000)
    await client.send(completion(request_id, request_class, timeout_ms, "prompt_len=300,prefix_len=0,max_out=40"))
    record.line(f"client sends {request_id} {request_class}")
    try:
        answer = await asyncio.wait_for(client.read(), 15)
    except TimeoutError:
        answer = None
    client.close()
    if answer and answer.status == 200 and answer.complete and DONE in answer.body:
        record.line(f"client got the whole stream {request_id}")
        return True
    if answer and answer.status == 200:
        record.line(f"BROKEN: client got a stream without its end {request_id} [DONE]={DONE in answer.body}")
        return False
    record.line(f"client got {answer.status if answer else 'nothing'} {request_id}")
    return True


async def case(record: Record) -> int:
    """Send requests, and look for streams that were cut although their replica had sent them whole."""
    replicas = [Replica(record), Replica(record)]
    agent = Agent()
    for number, replica in enumerate(replicas):
        agent.set(f"s-{number}", await replica.server.start(), "all-in-one")
    dispatcher = Dispatcher(await agent.server.start(), settings())
    await dispatcher.start()
    try:
        if not await dispatcher.wait_ready():
            record.line("the dispatcher is not ready")
            return NOT_RUN
        tasks = []
        for number in range(1, REQUESTS + 1):
            tasks.append(asyncio.create_task(ask(number, dispatcher.address, record)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        whole = await asyncio.gather(*tasks)
        with_report = sum(len(replica.with_report) for replica in replicas)
        record.line(f"{REQUESTS} requests, {with_report} streams with a report, {whole.count(False)} cut")
        return HELD if all(whole) else BROKEN
    finally:
        await dispatcher.stop()
        dispatcher.clean_up()
        for server in (agent.server, *(replica.server for replica in replicas)):
            server.stop()


if __name__ == "__main__":
    main(case, __file__)
