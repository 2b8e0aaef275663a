"""The listener for operators' calls, if the settings give them an address of their own."""

from __future__ import annotations

import asyncio

from loguru import logger

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.http1.handler import Handler
from pearhill.net.address import Address
from pearhill.net.listener import Listener

MAX_ADMIN_CONNECTIONS = 16  # descriptors for operators' calls
MAX_ADMIN_BODY_BYTES = 4096  # of an operators' call; no call needs a body


def open_admin_listener(
    loop: asyncio.AbstractEventLoop,
    deadlines: Deadlines,
    counters: Counters,
    address: Address,
    handler: Handler,
    setting: str = "admin_addr",
) -> Listener:
    """Listen for operators' calls. Raises OSError if the address cannot be used; the message names the `setting`."""
    listener = Listener(
        loop, deadlines, counters, handler, MAX_ADMIN_CONNECTIONS, MAX_ADMIN_BODY_BYTES, side="operator"
    )
    listener.close_after_answers()  # one call per connection
    try:
        host, port = listener.listen(address)
    except OSError as e:
        raise OSError(f"{setting}: {address[0]}:{address[1]}: {e.strerror or e}") from None
    logger.info("admin endpoint: listening on {host}:{port}", host=host, port=port)
    return listener
