"""The order in which events are handled and their actions are performed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import Any

from pearhill.core.event_queue import EventQueue
from pearhill.counters import Counters
from pearhill.routing.actions import Action, LogMessage
from pearhill.routing.events import ClientDisconnected


def router(handle: Callable[[int, Any], list[Action]]) -> Any:
    """Returns a router that handles events with `handle`."""
    return SimpleNamespace(handle=handle)


def test_events_raised_by_actions_wait_until_all_actions_are_performed() -> None:
    order: list[str] = []

    def handle(now: int, event: Any) -> list[Action]:
        order.append(f"handle {event.request}")
        return [LogMessage("first"), LogMessage("second")] if event.request == 1 else []

    def perform(event: Any, actions: Iterable[Any]) -> None:
        for action in actions:
            order.append(action.text)
            queue.feed(ClientDisconnected(2))

    queue = EventQueue(router(handle), lambda: 0, Counters(), perform)
    queue.feed(ClientDisconnected(1))
    assert order == ["handle 1", "first", "second", "handle 2", "handle 2"]


def test_an_event_on_which_the_router_raises_is_counted_as_a_fault_and_the_next_is_handled() -> None:
    performed: list[int] = []

    def handle(now: int, event: Any) -> list[Action]:
        if event.request == 1:
            raise ValueError("a fault in the router")
        return []

    def perform(event: Any, actions: Iterable[Action]) -> None:
        performed.append(event.request)

    counters = Counters()
    queue = EventQueue(router(handle), lambda: 0, counters, perform)
    queue.feed(ClientDisconnected(1))
    queue.feed(ClientDisconnected(2))
    assert counters.faults == 1
    assert performed == [2]


def test_the_time_of_an_event_is_when_it_was_raised_however_long_it_waits() -> None:
    clock = [100]
    handled: list[tuple[int, int]] = []
    performed: list[tuple[int, int]] = []

    def handle(now: int, event: Any) -> list[Action]:
        handled.append((event.request, now))
        if event.request == 1:
            queue.feed(ClientDisconnected(2))
        clock[0] += 50
        return []

    def perform(event: Any, actions: Iterable[Action]) -> None:
        performed.append((event.request, queue.event_time))

    queue = EventQueue(router(handle), lambda: clock[0], Counters(), perform)
    queue.feed(ClientDisconnected(1))
    queue.feed(ClientDisconnected(3), at=180)
    assert handled == performed == [(1, 100), (2, 100), (3, 180)]
