"""Reading from a socket with as few system calls as possible.

`loop.sock_recv_into` tries at once, gets EAGAIN, adds the socket to the poll, and takes it out again: on a stream whose
events come one by one that is three calls beside the read itself. Here the socket stays in the poll between
reads, and is taken out only while nothing waits for it, so that bytes that must wait for a slow client do not spin the
loop.

A poll that stays is no promise of a further wake-up. libuv stops polling a socket on which the system reports an error,
and reports it once, in the same wake-up as the bytes before it (`uv__poll_io`: POLLERR); asyncio's own loop goes on. So
after a wake-up the socket is read until the read itself finds nothing, and only then is the poll waited on.
"""

from __future__ import annotations

import asyncio
import errno
import socket

# The system has no memory or buffer for a call at this moment: the connection is as it was.
SHORTAGE_ERRNOS = frozenset((errno.ENOBUFS, errno.ENOMEM))
SHORTAGE_RETRY_S = 0.005  # clients' time runs on meanwhile
READS_PER_TICK = 2  # then other tasks run, or a fast sender would keep the loop to itself


def is_transient(error: OSError) -> bool:
    """Whether a failed read or write is no fault of the connection: it can be tried again."""
    return isinstance(error, BlockingIOError | InterruptedError) or error.errno in SHORTAGE_ERRNOS


class SocketReader:
    """One reader at a time. Close it before the socket: a closed number that is still polled may be another's."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self._loop = loop
        self._sock = sock
        self._number = sock.fileno()
        self._waiter: asyncio.Future[None] | None = None
        self._polled = False
        self._empty = True  # since the last wake-up the socket has had nothing to read; before the first, it may wait
        self._reads = 0  # since it last was empty, or since other tasks ran
        self.delayed_s = 0.0  # for so long the bytes read last had been there, and could not be read

    async def recv_into(self, buffer: bytearray | memoryview) -> int:
        """As `loop.sock_recv_into`: bytes read, 0 at the end. OSError: the connection broke."""
        if self._reads >= READS_PER_TICK:
            self._reads = 0
            await asyncio.sleep(0)
        failing_since: float | None = None
        while True:
            if self._empty:
                await self._wake_up()
            try:
                size = self._sock.recv_into(buffer)
            except InterruptedError:
                await asyncio.sleep(0)
            except BlockingIOError:
                self._mark_empty()
            except OSError as error:
                if not is_transient(error):
                    raise
                if failing_since is None:
                    failing_since = self._loop.time()
                await asyncio.sleep(SHORTAGE_RETRY_S)
            else:
                self.delayed_s = 0.0 if failing_since is None else self._loop.time() - failing_since
                self._reads += 1
                return size

    async def _wake_up(self) -> None:
        """Wait until the poll reports the socket readable."""
        if not self._polled:
            self._loop.add_reader(self._number, self._readable)
            self._polled = True
        waiter = self._loop.create_future()
        self._waiter = waiter
        try:
            await waiter
        finally:
            self._waiter = None

    def _mark_empty(self) -> None:
        """The socket is empty. If the last wake-up brought nothing at all, the poll may have been stopped by the loop:
        it is armed anew."""
        if not self._reads:
            self._unpoll()
        self._empty = True
        self._reads = 0

    def _readable(self) -> None:
        self._empty = False  # even if the task that waits is cancelled before it runs
        if self._waiter is None:
            self._unpoll()
        elif not self._waiter.done():
            self._waiter.set_result(None)

    def _unpoll(self) -> None:
        if self._polled:
            self._polled = False
            self._loop.remove_reader(self._number)

    def close(self) -> None:
        """Stop polling; nothing reads here any more."""
        self._unpoll()
