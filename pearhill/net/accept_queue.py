"""Measures with TCP_INFO how long received bytes waited in the system before the process could read them."""

from __future__ import annotations

import socket

TCP_INFO_BYTES = 104  # covers the fields that every Linux version has
LAST_DATA_RECEIVED = slice(52, 56)  # tcpi_last_data_recv of struct tcp_info (linux/tcp.h): milliseconds


def accept_queue_wait_us(sock: socket.socket) -> int:
    """Return the microseconds since the connection last received data, or 0 if the system does not report it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0
    return int.from_bytes(info[LAST_DATA_RECEIVED], "little") * 1000
