"""Applies the stages of a drain to the clients' connections."""

from __future__ import annotations

from pearhill.core.deadlines import Deadlines, TimerKey
from pearhill.lifecycle.drain import Drain, DrainStage
from pearhill.net.listener import Listener


class DrainControl:
    """Applies the current stage of the drain to the listener, and sets a timer for the next stage."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.drain = Drain()
        self.listener: Listener | None = None  # set once clients can be served
        self._deadlines = deadlines
        self._next_stage_timer: TimerKey | None = None

    def request(self, on: bool) -> None:
        """Begin or end the drain that operators have requested."""
        self.drain.request(self._deadlines.clock(), on)
        self.apply()

    def yield_to_successor(self, on: bool) -> None:
        """Record that a successor accepts the clients (`on`), or that it has exited before this process."""
        if on == (self.drain.yielding_since is not None):
            return
        self.drain.yield_to_successor(self._deadlines.clock(), on)
        if self.listener:
            self.listener.pause_accepting(on)
        self.apply()

    def apply(self) -> None:
        """Apply the present stage to the clients' connections, and set the timer of the next stage."""
        listener = self.listener
        now = self._deadlines.clock()
        self._deadlines.cancel(self._next_stage_timer)
        self._next_stage_timer = None
        if listener is None:
            return
        stage = self.drain.stage(now)
        listener.close_after_answers(stage is not DrainStage.OPEN)
        if stage is DrainStage.CLOSE_IDLE:
            listener.close_idle()
        next_stage_at = self.drain.tick(now)
        if next_stage_at is not None:
            self._next_stage_timer = self._deadlines.schedule_at(next_stage_at, self.apply)
