"""Where something listens."""

from __future__ import annotations

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no HOST:PORT")
    return host.strip("[]"), int(port)
