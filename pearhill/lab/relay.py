"""A path between named dispatchers that loses, doubles, delays and cuts what they tell one another."""

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
MAX_SELECT_S = 0.05


class Relay:
    """A socket for each name: what comes in there goes on to where that one listens, from the socket of its sender, so
    that answers come by here too. Who sent it shows by where it came from: each has to be made known (`place`) before
    it is passed on."""

    def __init__(self, names: Sequence[str], seed: int) -> None:
        self.rng, self.to, self.names_at = random.Random(seed), dict[str, Address](), dict[Address, str]()
        self.cuts: set[tuple[str, str]] = set()  # sender, addressee
        self.drop = self.double = self.delay_s = 0.0
        self.passed = 0
        self._heap: list[tuple[float, int, bytes, str, str]] = []  # when, .., sender, addressee
        self._selector, self._ends = selectors.DefaultSelector(), False
        self._sockets: dict[str, socket.socket] = {}
        for name in names:
            end = self._sockets[name] = socket.socket(type=socket.SOCK_DGRAM)
            end.bind(("127.0.0.1", 0))
            end.setblocking(False)
            self._selector.register(end, selectors.EVENT_READ, name)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def address(self, name: str) -> str:
        """Where the others are to find this one."""
        return "{}:{}".format(*self._sockets[name].getsockname())

    def place(self, name: str, host: str, port: int) -> None:
        """This one talks at that address."""
        self.names_at[host, port] = name
        self.to[name] = host, port

    def cut(self, *sides: Sequence[str]) -> None:
        """Nothing passes between these any more, in either direction; none given: everything passes."""
        side = {name: k for k, names in enumerate(sides) for name in names}
        self.cuts = {(a, b) for a in side for b in side if side[a] != side[b]}

    def _run(self) -> None:
        count = 0
        while not self._ends:
            due = self._heap[0][0] - time.monotonic() if self._heap else MAX_SELECT_S
            for key, _ in self._selector.select(min(MAX_SELECT_S, max(0.0, due))):
                data, sender = key.fileobj.recvfrom(65536)  # type: ignore[union-attr]
                known = self.names_at.get(sender)
                if known is None or (known, key.data) in self.cuts or self.rng.random() < self.drop:
                    continue
                for _ in range(1 + (self.rng.random() < self.double)):
                    count += 1
                    at = time.monotonic() + self.rng.random() * self.delay_s
                    heapq.heappush(self._heap, (at, count, data, known, key.data))
            while self._heap and self._heap[0][0] <= time.monotonic():
                _, _, data, sender_name, to = heapq.heappop(self._heap)
                if to in self.to:
                    with contextlib.suppress(BlockingIOError):  # full: lost, as on any path
                        self._sockets[sender_name].sendto(data, self.to[to])
                    self.passed += 1

    def close(self) -> None:
        self._ends = True
        self._thread.join(5)
        for end in self._sockets.values():
            end.close()
        self._selector.close()
