"""The pool's connections, before servers on loopback."""

import asyncio
import socket

import uvloop

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.net.clock import start_clock
from pearhill.net.pool import Pool


def test_a_connection_that_the_server_has_closed_is_not_used_though_its_reader_had_no_turn_to_see_it():
    """What was written to it would end as a reset, and may have run."""
    async def day() -> None:
        loop = asyncio.get_running_loop()
        pool = Pool(loop, Deadlines(start_clock()), Counters(), connect_timeout=5_000_000, keep_idle=5_000_000, most=4,
                    spare=0)
        with socket.create_server(("127.0.0.1", 0)) as server:
            first = await pool.acquire(server.getsockname())
            pool.put_back(first)
            server.accept()[0].close()  # no turn of the loop from here to the next acquire
            second = await pool.acquire(server.getsockname())
            assert second is not first and first.closed
            pool.put_back(second)
            assert await pool.acquire(server.getsockname()) is second
        pool.close()
        await asyncio.sleep(0)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(day())
