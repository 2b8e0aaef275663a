"""The graceful shutdown: every accepted request is answered before the platform sends SIGKILL.

In the first phase clients are still accepted, unless a successor accepts them. The second phase begins when
`_accept_remaining` returns: no client is accepted, and every request that was read is answered.
`lifecycle.shutdown_times.ShutdownTimes` has the duration of each phase.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from pearhill.core.deadlines import Deadlines
from pearhill.core.dispatcher import Dispatcher
from pearhill.lifecycle.drain import Drain
from pearhill.net.backend import HttpBackend
from pearhill.net.listener import Listener
from pearhill.net.ticks import pause

RECHECK_INTERVAL_US = 20_000  # between two checks whether everything has ended
RELEASE_GRACE_US = 1_000_000  # after the last request, for releases that have not begun yet


class GracefulShutdown:
    """Shuts a process down after `drain.end_process`. `has_successor`: whether a successor accepts the clients."""

    def __init__(
        self,
        drain: Drain,
        deadlines: Deadlines,
        dispatcher: Dispatcher,
        backend: HttpBackend,
        has_successor: Callable[[], bool],
    ) -> None:
        self._drain = drain
        self._deadlines = deadlines
        self._dispatcher = dispatcher
        self._backend = backend
        self._has_successor = has_successor

    async def run(self, listener: Listener, on_shutdown: Callable[[], Awaitable[None]] | None) -> None:
        """Accept the last clients, answer every request, and close the listener."""
        if self._has_successor():
            listener.stop_accepting(leave_queue=True)
        if on_shutdown:
            await on_shutdown()
        await self._accept_remaining(listener)
        listener.stop_accepting(leave_queue=self._has_successor())
        await self.wait_until_finished(listener)
        await listener.close()

    async def wait_until_finished(self, listener: Listener | None = None) -> None:
        """Wait until every request, every connection of the listener and every release has ended.

        A replica that has exited never answers a release, so releases are abandoned once the platform may send
        SIGKILL. All conditions are checked in one tick of the event loop, because any of them may change during a
        pause.
        """
        wait_for_releases_until = self._deadlines.clock()
        while True:
            if listener:
                self._close_idle_connections(listener)
            if self._dispatcher.requests or (listener is not None and listener.has_open_connections):
                wait_for_releases_until = self._deadlines.clock() + RELEASE_GRACE_US
            elif not self._backend.pending_releases or self._may_abandon_releases(wait_for_releases_until):
                return
            await pause(self._deadlines, RECHECK_INTERVAL_US)

    async def _accept_remaining(self, listener: Listener) -> None:
        """Accept connections while new ones may arrive, then until the accept queue is empty or the time is over."""
        while not self._has_elapsed_since_sigterm(self._drain.times.accept_for):
            await pause(self._deadlines, RECHECK_INTERVAL_US)
        while (
            not self._has_successor()
            and not listener.accept_all()
            and not self._has_elapsed_since_sigterm(self._drain.times.end_by)
        ):
            await pause(self._deadlines, RECHECK_INTERVAL_US)

    def _may_abandon_releases(self, wait_for_releases_until: int) -> bool:
        return self._deadlines.clock() >= wait_for_releases_until and self._has_elapsed_since_sigterm(
            self._drain.times.kill_after
        )

    def _has_elapsed_since_sigterm(self, span: int) -> bool:
        """Whether `span` microseconds have passed since the process noticed SIGTERM."""
        assert self._drain.ending_since is not None
        return self._deadlines.clock() >= self._drain.ending_since + span

    def _close_idle_connections(self, listener: Listener) -> None:
        """Close idle connections, and shortly before SIGKILL also those with partly received requests."""
        listener.close_idle()
        if self._drain.closes_all(self._deadlines.clock()):
            listener.reject_partial_requests()
