"""The order of events and of their actions."""

from __future__ import annotations

from types import SimpleNamespace

from pearhill.core.event_queue import EventQueue
from pearhill.counters import Counters
from pearhill.routing.actions import LogMessage
from pearhill.routing.events import ClientDisconnected


def test_events_that_actions_raise_wait_until_all_actions_are_performed():
    order: list[str] = []

    def handle(now, event):
        order.append(f"handle {event.request}")
        return [LogMessage("first"), LogMessage("second")] if event.request == 1 else []

    def perform(event, actions):
        for action in actions:
            order.append(action.text)
            queue.feed(ClientDisconnected(2))

    queue = EventQueue(SimpleNamespace(handle=handle), lambda: 0, Counters(), perform)
    queue.feed(ClientDisconnected(1))
    assert order == ["handle 1", "first", "second", "handle 2", "handle 2"]


def test_an_event_on_which_the_router_fails_is_counted_and_the_next_is_handled():
    performed: list[int] = []

    def handle(now, event):
        if event.request == 1:
            raise ValueError("a fault of the router")
        return []

    counters = Counters()
    queue = EventQueue(
        SimpleNamespace(handle=handle), lambda: 0, counters, lambda event, actions: performed.append(event.request)
    )
    queue.feed(ClientDisconnected(1))
    queue.feed(ClientDisconnected(2))
    assert counters.faults == 1
    assert performed == [2]


def test_the_time_of_an_event_is_when_it_was_raised_however_long_it_waits():
    clock = [100]
    handled: list[tuple[int, int]] = []
    performed: list[tuple[int, int]] = []

    def handle(now, event):
        handled.append((event.request, now))
        if event.request == 1:
            queue.feed(ClientDisconnected(2))
        clock[0] += 50
        return []

    def perform(event, actions):
        performed.append((event.request, queue.event_time))

    queue = EventQueue(SimpleNamespace(handle=handle), lambda: clock[0], Counters(), perform)
    queue.feed(ClientDisconnected(1))
    queue.feed(ClientDisconnected(3), at=180)
    assert handled == performed == [(1, 100), (2, 100), (3, 180)]
