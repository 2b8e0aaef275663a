"""Case 9: a malformed usage event leaves a client of /v1/responses without the end of its answer."""

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
)

ANSWER_WITHIN_S = 15  # the longest deadline is 10 s; a client may wait 5 s after a replica's last event
GOOD_DETAILS = {"reasoning_tokens": 1}
MALFORMED_DETAILS = "none"  # the API has an object here


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
        details = MALFORMED_DETAILS if malformed else GOOD_DETAILS
        counts = {"prompt_tokens": 20, "completion_tokens": 2, "completion_tokens_details": details}
        usage = b"data: " + json.dumps({"choices": [], "usage": counts}).encode() + b"\n\n"
        self.record.line(f"replica runs {message.headers['request-id']} {text}; its usage is {usage.decode().strip()}")
        events = (event("It is "), event("booked.", True), usage, DONE)
        await connection.write(STREAM_HEAD + b"".join(map(chunk, events)) + LAST_CHUNK)


async def ask(address: str, model: str, stream: bool, text: str, record: Record) -> bool:
    """Send one request. Returns whether it was answered, or its connection was closed, in time."""
    client = Client(address)
    name = f"{model} stream={stream} {text}"
    await client.send(chat_request("/v1/responses", {"model": model, "stream": stream, "input": text}))
    record.line(f"client sends {name}")
    try:
        answer = await asyncio.wait_for(client.read(), ANSWER_WITHIN_S)
    except TimeoutError:
        record.line(f"BROKEN: {name} has had no end of its answer, and no close, for {ANSWER_WITHIN_S} s")
        return False
    finally:
        client.close()
    status = answer.status if answer else "a close"
    record.line(f"client got {status} {name}" + ("" if answer is None or answer.complete else " truncated"))
    return True


async def case(record: Record) -> int:
    """Try both classes, with and without a stream, at one dispatcher."""
    replica = Replica(record)
    address = await replica.server.start()
    dispatcher = ChatDispatcher([address, address])
    await dispatcher.start()
    try:
        if not await dispatcher.wait_ready():
            record.line(f"the dispatcher is not ready: {dispatcher.log.read_text()[-400:]}")
            return NOT_RUN
        kinds = [(model, stream) for model in ("booking", "help-desk") for stream in (True, False)]
        for text, otherwise in (("good", NOT_RUN), ("malformed", BROKEN)):
            asked = (ask(dispatcher.address, model, stream, text, record) for model, stream in kinds)
            if not all(await asyncio.gather(*asked)):
                return otherwise
        return HELD
    finally:
        await dispatcher.stop()
        dispatcher.clean_up()
        replica.server.stop()


if __name__ == "__main__":
    main(case, __file__)
