"""Opening the addresses of a dispatcher: the clients' and the operators'."""

from __future__ import annotations

import asyncio
import socket

from loguru import logger

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.http1.handler import Handler
from pearhill.net.address import Address
from pearhill.net.listener import EXHAUSTION_ERRNOS, Listener
from pearhill.net.ticks import pause
from pearhill.node.limits import MAX_ADMIN_BODY_BYTES, MAX_ADMIN_CONNECTIONS

LISTEN_TIMEOUT_US = 20_000_000  # a start that takes longer counts as failed
RETRY_INTERVAL_US = 20_000


def open_admin_listener(
    loop: asyncio.AbstractEventLoop, deadlines: Deadlines, counters: Counters, address: Address, handler: Handler
) -> Listener:
    """Listen for operators' calls. OSError: the address cannot be used; the text names the setting."""
    listener = Listener(
        loop, deadlines, counters, handler, MAX_ADMIN_CONNECTIONS, MAX_ADMIN_BODY_BYTES, side="operator"
    )
    listener.close_after_answers()  # one call a connection
    try:
        host, port = listener.listen(address)
    except OSError as e:
        raise OSError(f"admin_addr: {address[0]}:{address[1]}: {e.strerror or e}") from None
    logger.info("operators are heard on {host}:{port}", host=host, port=port)
    return listener


async def listen_for_clients(
    listener: Listener, address: Address | socket.socket, deadlines: Deadlines, counters: Counters
) -> Address:
    """Open the address, or adopt a socket that listens already. OSError: the address cannot be used, or the system
    has had no socket for LISTEN_TIMEOUT_US."""
    if not isinstance(address, tuple):
        return listener.adopt(address)
    give_up_at = deadlines.clock() + LISTEN_TIMEOUT_US
    while True:
        try:
            return listener.listen(address)
        except OSError as e:
            if e.errno not in EXHAUSTION_ERRNOS or deadlines.clock() >= give_up_at:
                raise
            counters.shortages += 1
        await pause(deadlines, RETRY_INTERVAL_US)
