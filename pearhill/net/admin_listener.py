"""Where operators call, if their calls have an address of their own."""

from __future__ import annotations

import asyncio

from loguru import logger

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.http1.handler import Handler
from pearhill.net.address import Address
from pearhill.net.listener import Listener

MAX_ADMIN_CONNECTIONS = 16  # descriptors for operators' calls
MAX_ADMIN_BODY_BYTES = 4096  # of an operators' call, which has no use for a body


def open_admin_listener(
    loop: asyncio.AbstractEventLoop,
    deadlines: Deadlines,
    counters: Counters,
    address: Address,
    handler: Handler,
    setting: str = "admin_addr",
) -> Listener:
    """Listen for operators' calls. OSError: the address cannot be used; the text names the `setting` that has it."""
    listener = Listener(
        loop, deadlines, counters, handler, MAX_ADMIN_CONNECTIONS, MAX_ADMIN_BODY_BYTES, side="operator"
    )
    listener.close_after_answers()  # one call a connection
    try:
        host, port = listener.listen(address)
    except OSError as e:
        raise OSError(f"{setting}: {address[0]}:{address[1]}: {e.strerror or e}") from None
    logger.info("admin endpoint: listening on {host}:{port}", host=host, port=port)
    return listener
