"""The order in which a router receives events and its actions are performed."""

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
    """Passes an event on to the router, as `EventQueue.feed` does."""

    def __call__(self, event: Event, at: int | None = None) -> None:
        """`at`: when it was raised, in microseconds; None: now."""


class EventQueue:
    """Passes events to the router one at a time, and performs the actions of one before it passes on the next.

    An action may raise further events: the router is not entered again meanwhile, they wait in the queue.
    `perform` receives each event that the router has handled, and its actions.

    An event's time is when it was raised, however long it then waited or the process stood still; `event_time` is that
    of the event whose actions are performed, in microseconds. Delays that the router asks for run from there.
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
        """Handle an event, before this returns unless another one is being handled: then after that one.

        `at`: when it was raised, no earlier than the event before it; None: now.
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
            # A fault of the router must not end the process and every request that it has accepted.
            self._counters.faults += 1
            logger.exception("the router failed on {event}", event=event)
            return
        self._perform(event, actions)
