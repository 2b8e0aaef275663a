"""What the system reports in /proc about sockets and processes."""

from __future__ import annotations

import pathlib
import re
from dataclasses import dataclass

ESTABLISHED = 1
SYN_SENT = 2


@dataclass(frozen=True)
class TcpSocket:
    """One line of /proc/net/tcp. The queues are in bytes."""

    local_port: int
    remote_port: int
    state: int
    send_queue: int
    receive_queue: int


def tcp_sockets() -> list[TcpSocket]:
    """Return the TCP sockets of this machine."""
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    return [_parse(line.split()) for line in lines]


def _parse(columns: list[str]) -> TcpSocket:
    local, remote, state, queues = columns[1:5]
    send_queue, receive_queue = queues.split(":")
    return TcpSocket(*(int(text.rpartition(":")[2], 16) for text in (local, remote, state, send_queue, receive_queue)))


def anonymous_memory_mb(pid: int) -> int:
    """Return a process's memory in MB, without the files and libraries that it maps."""
    found = re.search(r"RssAnon:\s+(\d+)", pathlib.Path(f"/proc/{pid}/status").read_text())
    assert found
    return int(found[1]) // 1024
