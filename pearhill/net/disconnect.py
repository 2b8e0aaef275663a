"""Checks whether a peer has ended its connection, even behind bytes that were not read, without reading them."""

from __future__ import annotations

import select
import socket

ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def disconnect_reason(sock: socket.socket) -> str | None:
    """Return "closed" if the peer has closed or half-closed the connection, the error's name if it broke, or None if it
    is open or that cannot be determined now, as for want of memory."""
    poller = select.poll()
    try:
        poller.register(sock, select.POLLRDHUP)
        found = poller.poll(0)
        events = found[0][1] if found else 0
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if events & select.POLLERR else 0
    except OSError:
        return None
    if error:
        return type(OSError(error, "")).__name__
    return "closed" if events & ENDED else None
