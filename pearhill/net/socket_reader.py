"""Reads from a socket with as few system calls as possible.

`loop.sock_recv_into` tries to read at once, gets EAGAIN, registers the socket for polling, and unregisters it again: on
a stream whose events arrive one by one, these are three system calls in addition to the read itself. Here the socket
stays registered between reads, and is unregistered only while no task waits for it, so that bytes that have to wait for
a slow client do not make the event loop spin.

A registered socket does not guarantee a further wake-up. libuv stops polling a socket on which the system reports an
error, and reports the error once, in the same wake-up as the bytes before it (`uv__poll_io`: POLLERR); asyncio's own
loop continues to poll. So after a wake-up the socket is read until a read finds no bytes, and only then does the reader
wait for the next wake-up.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

# The system has no memory or buffer for a call at this moment. The connection is not affected.
SHORTAGE_ERRNOS = frozenset((errno.ENOBUFS, errno.ENOMEM))
SHORTAGE_RETRY_S = 0.005  # short, because clients' deadlines are not extended
READS_PER_TICK = 2  # before other tasks run: a fast sender would otherwise monopolize the event loop


def _ignore_wake_up() -> None:
    pass


def is_transient(error: OSError) -> bool:
    """Whether a failed read or write can be retried, because the connection itself is not at fault."""
    return isinstance(error, BlockingIOError | InterruptedError) or error.errno in SHORTAGE_ERRNOS


class SocketReader:
    """Reads for one task at a time. It must be closed before the socket: a closed descriptor that is still polled may
    be reused by another socket. `on_wake_up` is called whenever the event loop reports the socket readable."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_wake_up: Callable[[], None] = _ignore_wake_up,
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._on_wake_up = on_wake_up
        self._descriptor = sock.fileno()
        self._waiter: asyncio.Future[None] | None = None
        self._polled = False
        self._empty = True  # no bytes are left since the last wake-up; also before the first wake-up
        self._reads = 0  # since the socket last was empty, or since other tasks ran
        self._retry_wait_s: float | None = None  # before the next read, if the last one failed for the moment
        self._failing_since: float | None = None  # for want of memory
        self.delayed_s = 0.0  # for how long a shortage kept the bytes read last from being read

    async def recv_into(self, buffer: bytearray | memoryview) -> int:
        """Read as `loop.sock_recv_into` does, and return the number of bytes, or 0 at the end of the stream. Raises
        OSError if the connection broke."""
        if self._reads >= READS_PER_TICK:
            self._reads = 0
            await asyncio.sleep(0)
        while True:
            await self.wait_readable()
            size = self.try_recv_into(buffer)
            if size is not None:
                return size

    async def wait_readable(self) -> bool:
        """Wait until `try_recv_into` may find bytes. Returns whether the event loop reported the socket readable
        meanwhile: it did not if bytes may be left from before."""
        if self._retry_wait_s is not None:
            await asyncio.sleep(self._retry_wait_s)
        was_empty = self._empty
        while self._empty:
            await self._wake_up()
        return was_empty

    def try_recv_into(self, buffer: bytearray | memoryview) -> int | None:
        """Read without waiting. Returns the number of bytes, 0 at the end of the stream, or None if nothing could be
        read now. Raises OSError if the connection broke."""
        self._retry_wait_s = None
        try:
            size = self._sock.recv_into(buffer)
        except InterruptedError:
            self._retry_wait_s = 0.0
            return None
        except BlockingIOError:
            self._mark_empty()
            self._failing_since = None
            return None
        except OSError as error:
            if not is_transient(error):
                raise
            if self._failing_since is None:
                self._failing_since = self._loop.time()
            self._retry_wait_s = SHORTAGE_RETRY_S
            return None
        self.delayed_s = 0.0 if self._failing_since is None else self._loop.time() - self._failing_since
        self._failing_since = None
        self._reads += 1
        return size

    async def _wake_up(self) -> None:
        """Wait until the event loop reports the socket readable."""
        if not self._polled:
            self._loop.add_reader(self._descriptor, self._readable)
            self._polled = True
        waiter = self._loop.create_future()
        self._waiter = waiter
        try:
            await waiter
        finally:
            self._waiter = None

    def _mark_empty(self) -> None:
        """Record that no bytes are left. If the last wake-up brought no bytes at all, the loop may have stopped
        polling, so the socket is unregistered, and registered again by the next wait."""
        if not self._reads:
            self._unpoll()
        self._empty = True
        self._reads = 0

    def _readable(self) -> None:
        self._on_wake_up()
        self._empty = False  # even if the waiting task is cancelled before it runs
        if self._waiter is None:
            self._unpoll()
        elif not self._waiter.done():
            self._waiter.set_result(None)

    def _unpoll(self) -> None:
        if self._polled:
            self._polled = False
            self._loop.remove_reader(self._descriptor)

    def close(self) -> None:
        """Stop polling. No reads may follow."""
        self._unpoll()
