"""Calls that serve no client's request: one request to a server, and its complete response."""

from __future__ import annotations

from pearhill.net.address import Address
from pearhill.net.exchange import CollectedResponse
from pearhill.net.pool import ConnectionPurpose, Pool
from pearhill.net.ticks import time_limit

MAX_COLLECTED_BYTES = 4 << 20  # enough for an endpoint list


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
    """Send one request, and return the status and body of its response. `timeout`, in microseconds, applies to the
    connect, and again to the response. `fresh` forces a new connection. Raises OSError, TimeoutError, ConnectError or
    ValueError (the response is too large) if there is no usable response."""
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
