"""What can go wrong on the way to a server, beside the system's own OSError and TimeoutError."""

from __future__ import annotations


class NetError(Exception):
    """The base of this package's errors."""


class ConnectError(NetError):
    """No connection came up; nothing was sent."""


class PoolExhaustedError(ConnectError):
    """A connection was not even tried: this process has no descriptor for it. It is no sign of a fault."""


class SystemResourceError(PoolExhaustedError):
    """The system has no descriptor, memory or port for a connection at this moment."""


class MalformedResponseError(NetError):
    """A stream does not follow its format."""
