"""Network addresses: a host and a port."""

from __future__ import annotations

Address = tuple[str, int]
MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Parse `HOST:PORT` and return host and port. An IPv6 host may be in brackets. Raises ValueError if the text has
    another form."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not of the form HOST:PORT")
    return host.strip("[]"), int(port)
