"""Serializes the events that a router receives and the actions that it returns."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

from loguru import logger

from pearhill.core.deadlines import Clock
from pearhill.counters import Counters
from pearhill.load_reports.load_aware_router import LoadAwareRouter
from pearhill.routing.actions import Action
from pearhill.routing.events import Event


class FeedEvent(Protocol):
    """Passes an event to the router, as `EventQueue.feed` does."""

    def __call__(self, event: Event, at: int | None = None) -> None:
        """Pass the event. `at` is the time when it was raised, in microseconds; None means now."""


class EventQueue:
    """Passes events to the router one at a time, and performs the actions of each before it passes the next.

    An action may raise further events. They wait in the queue, so that the router is never called recursively.
    `perform` receives each event that the router has handled, and its actions.

    The time of an event is when it was raised, however long it then waited or the process was stalled. `event_time` is
    the time of the event whose actions are being performed, in microseconds. Delays in these actions count from it.
    """

    def __init__(
        self,
        router: LoadAwareRouter,
        clock: Clock,
        counters: Counters,
        perform: Callable[[Event, Iterable[Action]], None],
    ) -> None:
        self._router = router
        self._clock = clock
        self._counters = counters
        self._perform = perform
        self._waiting: deque[tuple[int, Event]] = deque()
        self._running = False
        self.event_time = clock()

    def feed(self, event: Event, at: int | None = None) -> None:
        """Handle an event before returning or, while another event is being handled, after the events already queued.

        `at` is the time when the event was raised, no earlier than that of the event before it; None means now.
        """
        self._waiting.append((self._clock() if at is None else at, event))
        if self._running:
            return
        self._running = True
        try:
            while self._waiting:
                self._handle(*self._waiting.popleft())
        finally:
            self._running = False

    def _handle(self, at: int, event: Event) -> None:
        self.event_time = at
        try:
            actions = self._router.handle(at, event)
        except Exception:
            # A fault in the router must not terminate the process, and with it every request that was accepted.
            self._counters.faults += 1
            logger.exception("event queue: the router raised an exception while handling {event}", event=event)
            return
        self._perform(event, actions)
