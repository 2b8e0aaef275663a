"""The graceful shutdown: everything that was accepted is answered before the platform's SIGKILL.

In the first phase clients are still accepted, unless a successor accepts them; in the second, which begins once
`_accept_last` is over, nothing is accepted and all that was read is answered. How long each lasts is
`lifecycle.shutdown_times.ShutdownTimes`."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from pearhill.core.deadlines import Deadlines
from pearhill.core.dispatcher import Dispatcher
from pearhill.lifecycle.drain import Drain
from pearhill.net.backend import HttpBackend
from pearhill.net.listener import Listener
from pearhill.net.ticks import pause

RECHECK_INTERVAL_US = 20_000
RELEASE_GRACE_US = 1_000_000  # after the last request, for releases that may begin yet


class GracefulShutdown:
    """The end of a process after `drain.end_process`. `has_successor`: whether another process takes the clients."""

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
        """Accept what clients still send, answer all of it, and close the listener."""
        if self._has_successor():
            listener.stop_accepting(leave_queue=True)
        if on_shutdown:
            await on_shutdown()
        await self._accept_last(listener)
        listener.stop_accepting(leave_queue=self._has_successor())
        await self.wait_until_finished(listener)
        await listener.close()

    async def wait_until_finished(self, listener: Listener | None = None) -> None:
        """Wait for the end of every request, of every connection of the listener, and of the releases, as long as the
        system surely lets this process live: a replica that is gone never answers a release. What is checked before
        a pause may be untrue after it, so that all of it has to hold in the same tick of the event loop."""
        wait_until = self._deadlines.clock()
        while True:
            if listener:
                self._close_idle_connections(listener)
            if self._dispatcher.requests or (listener is not None and listener.has_open_connections):
                wait_until = self._deadlines.clock() + RELEASE_GRACE_US
            elif not self._backend.pending_releases or self._gives_up_releases(wait_until):
                return
            await pause(self._deadlines, RECHECK_INTERVAL_US)

    async def _accept_last(self, listener: Listener) -> None:
        """Go on accepting while new connections may come, and until the accept queue is empty or the time is up."""
        while not self._has_elapsed_since_sigterm(self._drain.times.accept_for):
            await pause(self._deadlines, RECHECK_INTERVAL_US)
        while (
            not self._has_successor()
            and not listener.accept_all()
            and not self._has_elapsed_since_sigterm(self._drain.times.end_by)
        ):
            await pause(self._deadlines, RECHECK_INTERVAL_US)

    def _gives_up_releases(self, wait_until: int) -> bool:
        return self._deadlines.clock() >= wait_until and self._has_elapsed_since_sigterm(self._drain.times.kill_after)

    def _has_elapsed_since_sigterm(self, span: int) -> bool:
        """Whether so many microseconds have gone by since SIGTERM."""
        assert self._drain.ending_since is not None
        return self._deadlines.clock() >= self._drain.ending_since + span

    def _close_idle_connections(self, listener: Listener) -> None:
        """No client is accepted any more: close idle connections, and towards the end half-sent requests too."""
        listener.close_idle()
        if self._drain.closes_all(self._deadlines.clock()):
            listener.reject_partial_requests()
