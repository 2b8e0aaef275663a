"""A UDP relay between named dispatchers that drops, duplicates and delays datagrams, and simulates partitions."""

from __future__ import annotations

import contextlib
import heapq
import random
import selectors
import socket
import threading
import time
from collections.abc import Sequence

Address = tuple[str, int]
MAX_SELECT_S = 0.05  # bounds the time until the thread notices `close`
MAX_DATAGRAM_BYTES = 65536
CLOSE_TIMEOUT_S = 5


class Relay:
    """A relay with one socket for each name. A thread forwards datagrams from there to the address of that name.

    Each datagram is sent from the socket of its sender, so that answers pass through the relay too. Senders are
    identified by their address: each dispatcher has to be registered with `register` before its datagrams are
    forwarded. `drop` and `double` are shares of all datagrams, `delay_s` is the longest delay, `forwarded` is the
    number of forwarded datagrams.
    """

    def __init__(self, names: Sequence[str], seed: int) -> None:
        self.rng = random.Random(seed)
        self.to: dict[str, Address] = {}
        self.names_at: dict[Address, str] = {}
        self.cuts: set[tuple[str, str]] = set()  # sender, addressee
        self.drop = self.double = self.delay_s = 0.0
        self.forwarded = 0
        self._heap: list[tuple[float, int, bytes, str, str]] = []  # when, tie-breaker, data, sender, addressee
        self._count = 0
        self._closing = False
        self._selector = selectors.DefaultSelector()
        self._sockets: dict[str, socket.socket] = {}
        for name in names:
            self._sockets[name] = self._open_socket(name)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _open_socket(self, name: str) -> socket.socket:
        sock = socket.socket(type=socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        self._selector.register(sock, selectors.EVENT_READ, name)
        return sock

    def address(self, name: str) -> str:
        """Returns the HOST:PORT at which the others reach this name through the relay."""
        return "{}:{}".format(*self._sockets[name].getsockname())

    def register(self, name: str, host: str, port: int) -> None:
        """Register the address at which this name sends and receives."""
        self.names_at[host, port] = name
        self.to[name] = host, port

    def cut(self, *sides: Sequence[str]) -> None:
        """Forward nothing between these groups of names, in either direction; without groups, forward everything."""
        side = {name: k for k, names in enumerate(sides) for name in names}
        self.cuts = {(a, b) for a in side for b in side if side[a] != side[b]}

    def _run(self) -> None:
        while not self._closing:
            wait_s = self._heap[0][0] - time.monotonic() if self._heap else MAX_SELECT_S
            for key, _ in self._selector.select(min(MAX_SELECT_S, max(0.0, wait_s))):
                data, sender = key.fileobj.recvfrom(MAX_DATAGRAM_BYTES)  # type: ignore[union-attr]
                self._accept(data, self.names_at.get(sender), key.data)
            while self._heap and self._heap[0][0] <= time.monotonic():
                self._forward(*heapq.heappop(self._heap)[2:])

    def _accept(self, data: bytes, sender: str | None, addressee: str) -> None:
        """Schedule a datagram for forwarding, unless it is dropped or cut off."""
        if sender is None or (sender, addressee) in self.cuts or self.rng.random() < self.drop:
            return
        for _ in range(1 + (self.rng.random() < self.double)):
            self._count += 1
            at = time.monotonic() + self.rng.random() * self.delay_s
            heapq.heappush(self._heap, (at, self._count, data, sender, addressee))

    def _forward(self, data: bytes, sender: str, addressee: str) -> None:
        if addressee not in self.to:
            return
        with contextlib.suppress(BlockingIOError):  # a full socket buffer loses datagrams, as on any network
            self._sockets[sender].sendto(data, self.to[addressee])
        self.forwarded += 1

    def close(self) -> None:
        """End the thread and close the sockets."""
        self._closing = True
        self._thread.join(CLOSE_TIMEOUT_S)
        for end in self._sockets.values():
            end.close()
        self._selector.close()
