"""Calls outside of clients' requests: one request to a server, and its whole response."""

from __future__ import annotations

from pearhill.net.address import Address
from pearhill.net.exchange import CollectedResponse
from pearhill.net.pool import ConnectionPurpose, Pool
from pearhill.net.ticks import time_limit

MAX_COLLECTED_BYTES = 4 << 20  # of an endpoint list


async def call(
    pool: Pool,
    address: Address,
    data: bytes,
    timeout: int,
    max_body: int = MAX_COLLECTED_BYTES,
    *,
    purpose: ConnectionPurpose = ConnectionPurpose.CONTROL,
    fresh: bool = False,
) -> tuple[int, bytes]:
    """Send one request; the status and body of its response. `timeout`, in microseconds, is for its connection, and
    again for its response. `fresh`: on a new connection in any case. OSError, TimeoutError, ValueError (a response
    that is too large) or ConnectError where there is none."""
    connection = await pool.acquire(address, purpose, timeout, fresh)
    response = CollectedResponse(pool.loop, max_body)
    try:
        async with time_limit(pool.deadlines, timeout):
            await connection.send(response, lambda: data)
            if error := await response.done:
                raise error
    except BaseException:
        connection.close("call-failed")
        raise
    return response.status, bytes(response.body)
