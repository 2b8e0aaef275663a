"""Bad clients send many requests at once; the dispatcher has to stay under the memory limit of its configuration."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import re
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import standins
from standins import BROKEN, HELD, TROUBLE, Agent, Dispatcher, Record, Replica, World

FOLDER = pathlib.Path(__file__).parent
MEMORY_MB = 192  # the most that DEPLOY.md names for a scored day
SOCKETS = 1024  # likewise
BAD_CLIENTS = 200
BAD_PER_S = 40
BODY_CHARACTERS = 250_000  # a body holds 256 KiB at most
EVENTS = 200  # in an answer, one each 70 ms
USUAL_PER_S = 4
SECONDS = 16.0
TIMEOUT_MS = 5000


async def bad_client(address: tuple[str, int], number: int) -> None:
    """Send three long requests and most of a fourth at once, with a wrong length of the prompt; read whatever comes."""
    text = "x" * BODY_CHARACTERS
    requests = [standins.chat_request(f"bad{number:x}-{k}", TIMEOUT_MS, text=text, stated_tokens=50) for k in range(4)]
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(b"".join(requests)[:-1000])
            while await reader.read(65536):
                pass
        finally:
            writer.close()


async def send_flood(record: Record, dispatcher: Dispatcher, bad: list[asyncio.Task[None]]) -> None:
    """Start the bad clients, BAD_PER_S each second."""
    record(f"{BAD_CLIENTS} bad clients begin, {BAD_PER_S} each second")
    for number in range(BAD_CLIENTS):
        bad.append(asyncio.create_task(bad_client(dispatcher.listen, number)))
        await asyncio.sleep(1 / BAD_PER_S)
    record(f"{BAD_CLIENTS} bad clients have begun")


def own_memory_mb(pid: int) -> int:
    """Return the process's anonymous memory in MB: without the files and libraries that it maps, so rather too low."""
    try:
        found = re.search(r"RssAnon:\s+(\d+)", pathlib.Path(f"/proc/{pid}/status").read_text())
    except OSError:
        return 0
    return int(found[1]) // 1024 if found else 0


async def watch_memory(record: Record, dispatcher: Dispatcher) -> None:
    """Kill the dispatcher when it uses more memory than its limit, as the platform does."""
    shown = 0
    while dispatcher.running:
        used = own_memory_mb(dispatcher.pid)
        if used >= shown + 10:
            shown = used
            record(f"platform: the dispatcher uses {used} MB")
        if used > MEMORY_MB:
            record(f"platform: over memory_mb {MEMORY_MB}, so the dispatcher is killed")
            dispatcher.signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.05)


async def case(record: Record, folder: pathlib.Path) -> int:
    """Serve usual clients, and bad ones beside them, under the platform's limit on memory."""
    world = World(record)
    agent = Agent(record)
    replicas = [Replica(world, f"s-r{k}", "prompt-reader", k % 2) for k in range(3)]
    replicas += [Replica(world, f"s-w{k}", "writer-a", k % 2) for k in range(6)]
    for replica in replicas:
        replica.events = EVENTS
        await replica.start()
    agent.replicas = replicas
    await agent.start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    dispatcher = Dispatcher(record, "n1", standins.configuration(agent, limits=limits), folder)
    usual: list[asyncio.Task[standins.Answer]] = []
    bad: list[asyncio.Task[None]] = []
    flood: list[asyncio.Task[None]] = []
    try:
        await dispatcher.start()
        memory = asyncio.create_task(watch_memory(record, dispatcher))
        await dispatcher.wait_ready()
        start = record.now()
        while record.now() < start + SECONDS and dispatcher.running:
            number = f"{0x9B1F03AA5C7E2D00 + len(usual):016x}"
            data = standins.chat_request(number, TIMEOUT_MS)
            limit_s = TIMEOUT_MS / 1000 + standins.SLACK_S
            record(f"client: sends {number}")
            usual.append(asyncio.create_task(standins.ask(dispatcher.listen, number, data, limit_s)))
            if TROUBLE and not flood and record.now() > start + 3:
                flood.append(asyncio.create_task(send_flood(record, dispatcher, bad)))
            await asyncio.sleep(1 / USUAL_PER_S)
        killed = memory.done()
        answers = [await task for task in usual]
    finally:
        for task in (*usual, *flood, *bad):
            task.cancel()
        await dispatcher.stop()
        for server in (*replicas, agent):
            await server.close()
    for answer in answers:
        record(standins.describe(answer))
    lost = sum(not answer.complete for answer in answers)
    record(f"killed for memory: {killed}; {lost} of {len(answers)} usual requests had no complete answer")
    return BROKEN if killed else HELD


if __name__ == "__main__":
    standins.run(FOLDER, case)
