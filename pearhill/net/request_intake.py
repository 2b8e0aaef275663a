"""What one client sends: read from its socket, parsed, and kept in order until each request has its turn."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from pearhill.http1.messages import RequestMessage
from pearhill.http1.server import ContinueWanted, Rejected, ServerConnection
from pearhill.net.accept_queue import accept_queue_wait_us
from pearhill.net.socket_reader import SocketReader

FIRST_READ_BYTES = 2 * 1024  # read at once of what may begin a request
READ_BYTES = 64 * 1024  # read at once of what continues one
MAX_PIPELINED_REQUESTS = 4  # that wait on one connection behind the one being answered, with no more bytes than one


class RequestIntake:
    """The receiving side of one client's connection. `delayed_accept`: the connection may have stood in the accept
    queue for long, and its first request with it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        clock: Callable[[], int],
        max_body: int,
        delayed_accept: bool,
    ) -> None:
        self.socket_reader = SocketReader(loop, sock)
        self.waiting: deque[RequestMessage | Rejected] = deque()
        self._sock = sock
        self._clock = clock
        self._parser = ServerConnection(max_body)
        self._delayed_accept = delayed_accept

    @property
    def in_message(self) -> bool:
        """A request has begun and is not complete."""
        return self._parser.in_message

    def new_buffer(self) -> bytearray:
        """A buffer for the next read. Hundreds of idle clients would each hold a large one."""
        return bytearray(READ_BYTES if self._parser.in_message else FIRST_READ_BYTES)

    def feed(self, data: memoryview, answering: bool, send_continue: Callable[[], None]) -> None:
        """Parse bytes; complete requests and rejected ones are then in `waiting`. `answering`: a request is being
        answered on the connection, and an interim response would land inside that answer."""
        for event in self._parser.feed(data):
            if isinstance(event, ContinueWanted):
                if not (answering or self.waiting):
                    send_continue()
                continue
            if self._is_flooded(answering):
                # Left unread, a flood hides its client's end, and the requests of one that has gone would be
                # forwarded. So reading goes on: nothing more of it is kept, and the answers to the first of it end it.
                self.waiting.append(Rejected(429, "too many requests at once on one connection"))
                self._parser.close()
                break
            if isinstance(event, RequestMessage):
                event.arrived = self._clock() - self._unread_for_us()
            self.waiting.append(event)

    def _is_flooded(self, answering: bool) -> bool:
        """Whether as many requests wait as may, or as many bytes of their bodies."""
        if len(self.waiting) >= MAX_PIPELINED_REQUESTS + (not answering):
            return True
        waiting_bytes = sum(len(message.body) for message in self.waiting if isinstance(message, RequestMessage))
        return waiting_bytes > self._parser.max_body

    def _unread_for_us(self) -> int:
        """How long the bytes read last had been there, where the system kept them from being read."""
        delayed_accept = self._delayed_accept
        self._delayed_accept = False
        queued_us = accept_queue_wait_us(self._sock) if delayed_accept else 0
        return max(int(self.socket_reader.delayed_s * 1e6), queued_us)

    def close(self) -> None:
        """Nothing more will be fed. The parser holds references in a circle that this ends."""
        self._parser.close()
