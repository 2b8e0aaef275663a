"""Opens the socket on which a dispatcher accepts its clients."""

from __future__ import annotations

import socket

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.net.address import Address
from pearhill.net.listener import EXHAUSTION_ERRNOS, Listener
from pearhill.net.ticks import pause

LISTEN_TIMEOUT_US = 20_000_000  # if no socket is available for longer, the start fails
RETRY_INTERVAL_US = 20_000


async def listen_for_clients(
    listener: Listener, address: Address | socket.socket, deadlines: Deadlines, counters: Counters
) -> Address:
    """Open the address, or adopt a socket that is already listening. Returns the address.

    Raises OSError if the address cannot be used, or if the system has had no socket for LISTEN_TIMEOUT_US.
    """
    if not isinstance(address, tuple):
        return listener.adopt(address)
    timeout_at = deadlines.clock() + LISTEN_TIMEOUT_US
    while True:
        try:
            return listener.listen(address)
        except OSError as e:
            if e.errno not in EXHAUSTION_ERRNOS or deadlines.clock() >= timeout_at:
                raise
            counters.shortages += 1
        await pause(deadlines, RETRY_INTERVAL_US)
