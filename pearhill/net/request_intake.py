"""The receiving side of a client's connection: reads and parses requests, and queues them in order."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

from pearhill.http1.messages import RequestMessage
from pearhill.http1.server import ContinueExpected, Discarded, Rejected, ServerConnection
from pearhill.net.accept_queue import accept_queue_wait_us
from pearhill.net.input_scheduler import PART_COST_BYTES, InputLength, input_length
from pearhill.net.socket_reader import SocketReader

# Maximum sizes of one read, which is one step of the input scheduler. A head may consist of very small fields.
HEAD_READ_BYTES = 512
READ_BYTES = 8 * 1024
MANY_PARTS = 100  # header fields and chunks of one request; usual ones have some tens
SMALL_PART_BYTES = 16  # the mean size of a part, below which these take most of the time of reading
KEPT_HEAD_BYTES = 4 * 1024  # memory of an incomplete head, up to which it is not discarded
MAX_PIPELINED_REQUESTS = 4  # queued on one connection behind the one being answered, with body bytes of one at most


class RequestIntake:
    """Reads and parses one client's requests. `delayed_accept` is set if the connection, and its first request, may
    have waited in the accept queue for a long time."""

    def __init__(
        self,
        socket_reader: SocketReader,
        sock: socket.socket,
        clock: Callable[[], int],
        max_body: int,
        delayed_accept: bool,
    ) -> None:
        self.socket_reader = socket_reader
        self.waiting: deque[RequestMessage | Rejected | Discarded] = deque()
        self._sock = sock
        self._clock = clock
        self._parser = ServerConnection(max_body)
        self._delayed_accept = delayed_accept
        # When the event loop reported the socket readable, the last time that it was empty before; None if unknown.
        self.readable_since: int | None = None
        self._received_bytes = 0  # of the incomplete request
        self._answering_bytes = 0  # memory of the request that is being answered

    @property
    def in_message(self) -> bool:
        """Whether a request is incomplete."""
        return self._parser.in_message

    @property
    def input_length(self) -> InputLength:
        """How much of a request the next read continues."""
        return input_length(self.input_cost)

    @property
    def input_cost(self) -> int:
        """What it has cost to read the incomplete request up to now, in bytes of a body; 0 if there is none."""
        return self._received_bytes + self._parser.parts * PART_COST_BYTES

    @property
    def fragmented(self) -> bool:
        """Whether the incomplete request has come in very many, very small parts."""
        parts = self._parser.parts
        return parts >= MANY_PARTS and self._received_bytes < parts * SMALL_PART_BYTES

    @property
    def next_length(self) -> InputLength:
        """How much input the request that is answered next has."""
        message = self.waiting[0] if self.waiting else None
        return input_length(len(message.body) if isinstance(message, RequestMessage) else 0)

    @property
    def unanswered_bytes(self) -> int:
        """The memory of all requests that were read, even in part, and are not answered."""
        return self._answering_bytes + self.waiting_bytes

    @property
    def waiting_bytes(self) -> int:
        """The memory of the requests that wait or are incomplete."""
        waiting = sum(message.memory_bytes for message in self.waiting if isinstance(message, RequestMessage))
        return waiting + self._parser.partial_bytes

    @property
    def discardable_bytes(self) -> int:
        """How much of `waiting_bytes` may be discarded. An incomplete head of usual size is kept, since the requests
        behind it would be lost with it: their beginning could not be found."""
        if self._parser.in_body or self._parser.partial_bytes > KEPT_HEAD_BYTES:
            return self.waiting_bytes
        return self.waiting_bytes - self._parser.partial_bytes

    def take(self) -> RequestMessage | Rejected | Discarded:
        """Remove and return what is to be answered next. Its memory counts until `end_answer`."""
        message = self.waiting.popleft()
        if isinstance(message, RequestMessage):
            self._answering_bytes = message.memory_bytes
        return message

    def end_answer(self) -> None:
        """Record that the request taken last has been answered."""
        self._answering_bytes = 0

    def discard_newest(self) -> None:
        """Discard the content of the incomplete request, or else of the last one that waits. It is still answered, with
        a rejection. An incomplete head, which is larger than usual then, comes last: later bytes are ignored after it.
        """
        if self._parser.in_body:
            self._parser.discard_message()
            return
        for index in reversed(range(len(self.waiting))):
            message = self.waiting[index]
            if isinstance(message, RequestMessage):
                self.waiting[index] = Discarded(message.keep_alive)
                return
        self._parser.discard_message()
        self.waiting.append(Discarded(keep_alive=False))

    def limit_read(self, buffer: memoryview) -> memoryview:
        """Return the part of a buffer of READ_BYTES that the next read may fill."""
        return buffer if self._parser.head_complete else buffer[:HEAD_READ_BYTES]

    def feed(self, data: memoryview, answering: bool, send_continue: Callable[[], None]) -> None:
        """Parse bytes, and add complete and rejected requests to `waiting`. `answering` is set while a request is being
        answered on the connection, and an interim response would be inserted into that answer."""
        events = self._parser.feed(data)
        self._count_received(len(data), bool(events))
        for event in events:
            if isinstance(event, ContinueExpected):
                if not (answering or self.waiting):
                    send_continue()
                continue
            if self._is_queue_full(answering):
                # Unread bytes of a flood would hide the disconnect of its client, whose requests would be forwarded
                # needlessly. So reading continues, the rest is discarded, and the connection closes after the answers
                # to the first requests.
                self.waiting.append(Rejected(429, "too many requests at once on one connection"))
                self._parser.close()
                break
            if isinstance(event, RequestMessage):
                event.arrived = self._arrival_time()
            self.waiting.append(event)

    def _is_queue_full(self, answering: bool) -> bool:
        """Whether the limit on waiting requests, or on the bytes of their bodies, is reached."""
        if len(self.waiting) >= MAX_PIPELINED_REQUESTS + (not answering):
            return True
        waiting_bytes = sum(len(message.body) for message in self.waiting if isinstance(message, RequestMessage))
        return waiting_bytes > self._parser.max_body

    def _count_received(self, size: int, has_events: bool) -> None:
        """Count the bytes of the incomplete request. Those of a read that has completed one are left out."""
        if has_events or not self._parser.in_message:
            self._received_bytes = 0
        else:
            self._received_bytes += size

    def _arrival_time(self) -> int:
        """Return when the bytes read last arrived, at the earliest: a client's time runs while they wait to be read."""
        arrived = self._clock() - self._shortage_delay_us()
        return arrived if self.readable_since is None else min(arrived, self.readable_since)

    def _shortage_delay_us(self) -> int:
        """Return the microseconds for which a shortage of the system kept the bytes read last from being read."""
        delayed_accept = self._delayed_accept
        self._delayed_accept = False
        queued_us = accept_queue_wait_us(self._sock) if delayed_accept else 0
        return max(int(self.socket_reader.delayed_s * 1e6), queued_us)

    def close(self) -> None:
        """Close the parser after the last input, which breaks its reference cycle."""
        self._parser.close()
