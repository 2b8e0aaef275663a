"""How long bytes have waited in the system, as TCP_INFO reports it, where a process could not read them."""

from __future__ import annotations

import socket

TCP_INFO_BYTES = 104  # up to the fields that every Linux has
LAST_DATA_RECEIVED = slice(52, 56)  # tcpi_last_data_recv of struct tcp_info (linux/tcp.h): milliseconds


def accept_queue_wait_us(sock: socket.socket) -> int:
    """Microseconds since the last data came on this connection; 0 where the system does not report it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0
    return int.from_bytes(info[LAST_DATA_RECEIVED], "little") * 1000
