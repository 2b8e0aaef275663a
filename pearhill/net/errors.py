"""Errors of calls to servers, in addition to the system's OSError and TimeoutError."""

from __future__ import annotations


class NetError(Exception):
    """The base of this package's errors."""


class ConnectError(NetError):
    """No connection was established, and nothing was sent."""


class ConnectRefusedError(ConnectError):
    """The server's system refused the connect: no process listens there."""


class PoolExhaustedError(ConnectError):
    """No connect was tried, because this process has no descriptor for it. The server is not at fault."""


class SystemResourceError(PoolExhaustedError):
    """The system has no descriptor, memory or port for a connection at this moment."""


class MalformedResponseError(NetError):
    """A stream does not follow its format."""
