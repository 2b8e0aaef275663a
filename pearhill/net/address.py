"""Where a process listens: a host and a port."""

from __future__ import annotations

Address = tuple[str, int]
MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Host and port of `HOST:PORT`; an IPv6 host may stand in brackets. ValueError: it is no such text."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is no HOST:PORT")
    return host.strip("[]"), int(port)
