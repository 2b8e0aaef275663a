"""A replica writes its stream in small chunks; the dispatcher may not cut it off."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import standins
from standins import BROKEN, HELD, NOT_RUN, TROUBLE, Agent, Dispatcher, Record, Replica, World

FOLDER = pathlib.Path(__file__).parent
SEED = 7
REQUESTS = 4
EVENTS = 400  # of two tokens each: an answer of 800 tokens, the most that class `advice` may get
MAX_PIECE_BYTES = 8


def pieces(rng: random.Random, event: bytes) -> list[bytes]:
    """Return an event in pieces of 1 to MAX_PIECE_BYTES bytes."""
    result = []
    while event:
        size = rng.randint(1, MAX_PIECE_BYTES)
        result.append(event[:size])
        event = event[size:]
    return result


async def case(record: Record, folder: pathlib.Path) -> int:
    """Serve some requests, and compare what the writers wrote with what the clients got."""
    world = World(record)
    agent = Agent(record)
    replicas = [Replica(world, "s-r1", "prompt-reader"), Replica(world, "s-w1", "writer-a")]
    replicas.append(Replica(world, "s-w2", "writer-b"))
    rng = random.Random(SEED)
    for replica in replicas:
        replica.events = EVENTS
        replica.event_s = 0.02
        if TROUBLE:
            replica.frame = lambda event: pieces(rng, event)
        await replica.start()
    agent.replicas = replicas
    await agent.start()
    dispatcher = Dispatcher(record, "n1", standins.configuration(agent), folder)
    try:
        await dispatcher.start()
        await dispatcher.wait_ready()
        numbers = [f"{0x9B1F03AA5C7E2D00 + k:016x}" for k in range(REQUESTS)]
        record(f"clients: send {', '.join(numbers)}")
        answers = await asyncio.gather(
            *(
                standins.ask(dispatcher.listen, number, standins.chat_request(number, 6000, max_out=800), 6.5)
                for number in numbers
            )
        )
        await asyncio.sleep(0.5)
    finally:
        await dispatcher.stop()
        for server in (*replicas, agent):
            await server.close()
    cut = 0
    for answer in answers:
        record(standins.describe(answer))
        writers = [replica for replica in replicas if answer.number in replica.cut]
        expected = b"".join(standins.answer_events(answer.number, EVENTS))
        if answer.status != 200:
            continue  # refused or failed before its stream: not what this case is about
        if writers and not answer.complete:
            cut += 1
            record(
                f"BROKEN: {answer.number}: {writers[0].uid} was still writing; the client got {len(answer.body)} of "
                f"{len(expected)} bytes and no last chunk"
            )
        elif answer.body != expected:
            cut += 1
            record(f"BROKEN: {answer.number}: the answer differs from the writer's events")
    served = sum(answer.status == 200 for answer in answers)
    record(f"{served} of {REQUESTS} requests had an answer begun, {cut} of them were cut off or changed")
    if not served:
        return NOT_RUN
    return BROKEN if cut else HELD


if __name__ == "__main__":
    standins.run(FOLDER, case)
