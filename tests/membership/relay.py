"""A path between named parties that loses, doubles, delays and cuts what dispatchers tell one another."""

from __future__ import annotations

import heapq
import random
import selectors
import socket
import threading
import time

Address = tuple[str, int]


class Relay:
    """A socket for each ordered pair of names: what comes in at (a, b) goes on to where b listens."""

    def __init__(self, names: list[str], seed: int) -> None:
        self.names, self.rng, self.to = names, random.Random(seed), dict[str, Address]()
        self.cuts: set[tuple[str, str]] = set()
        self.drop = self.double = self.delay_s = 0.0
        self.passed = 0
        self._heap: list[tuple[float, int, bytes, Address]] = []
        self._selector, self._ends = selectors.DefaultSelector(), False
        self._out = socket.socket(type=socket.SOCK_DGRAM)
        self.sockets: dict[tuple[str, str], socket.socket] = {}
        for pair in ((a, b) for a in names for b in names if a != b):
            end = self.sockets[pair] = socket.socket(type=socket.SOCK_DGRAM)
            end.bind(("127.0.0.1", 0))
            end.setblocking(False)
            self._selector.register(end, selectors.EVENT_READ, pair)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def address(self, a: str, b: str) -> str:
        """Where `a` is to find `b`."""
        return "{}:{}".format(*self.sockets[a, b].getsockname())

    def cut(self, *sides: list[str]) -> None:
        """Nothing passes between these any more, in both directions."""
        side = {name: k for k, names in enumerate(sides) for name in names}
        self.cuts = {(a, b) for a in side for b in side if side[a] != side[b]}

    def _run(self) -> None:
        count = 0
        while not self._ends:
            wait = max(0.0, min(0.05, self._heap[0][0] - time.monotonic())) if self._heap else 0.05
            for key, _ in self._selector.select(wait):
                data = key.fileobj.recv(65536)  # type: ignore[union-attr]
                if key.data in self.cuts or key.data[1] not in self.to or self.rng.random() < self.drop:
                    continue
                for _ in range(1 + (self.rng.random() < self.double)):
                    count += 1
                    due = time.monotonic() + self.rng.random() * self.delay_s
                    heapq.heappush(self._heap, (due, count, data, self.to[key.data[1]]))
            while self._heap and self._heap[0][0] <= time.monotonic():
                _, _, data, address = heapq.heappop(self._heap)
                self._out.sendto(data, address)
                self.passed += 1

    def close(self) -> None:
        self._ends = True
        self._thread.join(5)
        for end in (*self.sockets.values(), self._out):
            end.close()
        self._selector.close()
