"""Case 8: a malformed usage event leaves a client of the chat API without an answer, and the process without an end."""

from __future__ import annotations

import asyncio
import json
import pathlib
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

MALFORMED_TOKENS = 2**64 - 1  # -1 as an unsigned number of 64 bits
ANSWER_WITHIN_S = 15  # the longest deadline is 10 s; a client may wait 5 s after a replica's last event


class Replica:
    """An `all-in-one` replica. The usage event of a request whose text asks for trouble is malformed."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.server = Server(self.respond)

    async def respond(self, connection: Connection, message: Message) -> None:
        """Answer one request."""
        if message.method != "POST":
            return await connection.write(response(204))
        text = json.loads(message.body)["messages"][-1]["content"]
        malformed = TROUBLE and text == "malformed"
        counts = usage(20, MALFORMED_TOKENS if malformed else 2)
        self.record.line(f"replica runs {message.headers['request-id']} {text}; its usage is {counts.decode().strip()}")
        events = (event("It is "), event("booked.", True), counts, DONE)
        await connection.write(STREAM_HEAD + b"".join(map(chunk, events)) + LAST_CHUNK)


async def ask(address: str, model: str, stream: bool, text: str, record: Record) -> bool:
    """Send one request. Returns whether it was answered, or its connection was closed, in time."""
    client = Client(address)
    name = f"{model} stream={stream} {text}"
    fields = {"model": model, "stream": stream, "messages": [{"role": "user", "content": text}]}
    await client.send(chat_request("/v1/chat/completions", fields))
    record.line(f"client sends {name}")
    try:
        answer = await asyncio.wait_for(client.read(), ANSWER_WITHIN_S)
    except TimeoutError:
        record.line(f"BROKEN: {name} has had no answer, and no close, for {ANSWER_WITHIN_S} s")
        return False
    finally:
        client.close()
    status = answer.status if answer else "a close"
    record.line(f"client got {status} {name}" + ("" if answer is None or answer.complete else " truncated"))
    return True


async def run_once(model: str, stream: bool, record: Record) -> int:
    """Start a dispatcher, and send one good request and one whose usage event is malformed."""
    replica = Replica(record)
    address = await replica.server.start()
    dispatcher = ChatDispatcher([address, address], budgets=True)
    await dispatcher.start()
    try:
        if not await dispatcher.wait_ready():
            record.line(f"the dispatcher is not ready: {dispatcher.log.read_text()[-400:]}")
            return NOT_RUN
        if not await ask(dispatcher.address, model, stream, "good", record):
            return NOT_RUN
        return HELD if await ask(dispatcher.address, model, stream, "malformed", record) else BROKEN
    finally:
        await dispatcher.stop()
        dispatcher.clean_up()
        replica.server.stop()


async def case(record: Record) -> int:
    """Try both classes, with and without a stream."""
    kinds = [(model, stream) for model in ("booking", "help-desk") for stream in (True, False)]
    return max(
        await asyncio.gather(*(run_once(model, stream, record) for model, stream in kinds)),
        key=(HELD, BROKEN, NOT_RUN).index,
    )


if __name__ == "__main__":
    main(case, __file__)
