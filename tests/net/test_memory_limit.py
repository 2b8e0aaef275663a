"""The memory that clients' requests hold is bounded, and the connections that hold most are the first to give way."""

from __future__ import annotations

import random

import pytest

from pearhill.net.memory_limit import MemoryLimit

LIMIT = 8_000
CONNECTIONS = 10
GUARANTEED = 400  # half of the limit for each of the ten


class Holder:
    """A connection with one request that is being answered, and others that wait."""

    def __init__(self, memory: MemoryLimit) -> None:
        self.memory = memory
        self.answering = 0
        self.waiting: list[int] = []
        self.discarded: list[int] = []

    @property
    def held_bytes(self) -> int:
        return self.answering + self.discardable_bytes

    @property
    def discardable_bytes(self) -> int:
        return sum(self.waiting)

    def discard_newest(self) -> None:
        self.discarded.append(self.waiting.pop())

    def receive(self, size: int) -> None:
        self.waiting.append(size)
        self.memory.update(self)
        self.memory.reclaim()

    def begin(self) -> None:
        self.answering = self.waiting.pop(0)
        self.memory.update(self)

    def end(self) -> None:
        self.answering = 0
        self.memory.update(self)


@pytest.fixture
def memory() -> MemoryLimit:
    return MemoryLimit(LIMIT, CONNECTIONS)


def test_the_newest_request_of_the_connection_that_holds_most_is_discarded(memory: MemoryLimit) -> None:
    greedy, usual = Holder(memory), Holder(memory)
    usual.receive(900)
    for size in (1_000, 1_100, 1_200):
        greedy.receive(size)
    assert (greedy.discarded, usual.discarded) == ([1_200], [])
    assert memory.used_bytes == 3_000


def test_no_request_within_the_guaranteed_share_is_discarded(memory: MemoryLimit) -> None:
    greedy, *others = [Holder(memory) for _ in range(CONNECTIONS)]
    greedy.receive(4_000)
    greedy.begin()
    for other in others:
        other.receive(GUARANTEED)
    assert not any(other.discarded for other in others)
    assert memory.used_bytes <= LIMIT


def test_a_request_that_has_begun_is_not_discarded_and_another_has_to_give_way(memory: MemoryLimit) -> None:
    first, second = Holder(memory), Holder(memory)
    first.receive(3_900)
    first.begin()
    second.receive(500)
    assert (first.answering, second.discarded) == (3_900, [500])
    first.end()
    second.receive(500)
    assert second.waiting == [500]


@pytest.mark.parametrize("seed", range(5))
def test_requests_of_any_size_stay_within_the_limit_and_what_ended_is_not_counted(
    memory: MemoryLimit, seed: int
) -> None:
    rng = random.Random(seed)
    holders = [Holder(memory) for _ in range(CONNECTIONS)]
    for _ in range(2_000):
        holder = rng.choice(holders)
        if holder.answering and rng.random() < 0.5:
            holder.end()
        elif holder.waiting and not holder.answering:
            holder.begin()
        else:
            holder.receive(rng.randint(1, 3_000))
        assert memory.used_bytes == sum(each.held_bytes for each in holders)
        assert memory.used_bytes <= LIMIT
    for holder in holders:
        holder.waiting.clear()
        holder.end()
    assert memory.used_bytes == 0


def test_a_lower_limit_holds_from_the_next_request_on(memory: MemoryLimit) -> None:
    """During an upgrade two processes share the memory of one dispatcher."""
    holder = Holder(memory)
    for _ in range(3):
        holder.receive(1_200)
    memory.set_limits(LIMIT // 2, CONNECTIONS)
    Holder(memory).receive(1)
    assert holder.discarded == [1_200, 1_200]
