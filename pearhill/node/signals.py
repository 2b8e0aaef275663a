"""The signals of a daemon that serves: SIGTERM and SIGINT end it, SIGHUP reloads, SIGUSR1 logs the counters."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable, Iterator
from types import FrameType

from loguru import logger

from pearhill.config import ConfigError

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
REQUESTS_BY_SIGNAL = {signal.SIGHUP, signal.SIGUSR1}


def block_requests() -> None:
    """Let these signals wait. Without a handler each would end the process that is starting."""
    signal.pthread_sigmask(signal.SIG_BLOCK, REQUESTS_BY_SIGNAL)


@contextlib.contextmanager
def handled_signals(
    loop: asyncio.AbstractEventLoop, stop: Callable[[], None], report: Callable[[], None], reload: Callable[[], str]
) -> Iterator[None]:
    """Handle the four signals, those that waited first; afterwards ignore them, since a late one must not end a process
    that has done what it had to. `reload` returns what came of it, in words.

    The handlers are not the loop's own: as a loop closes it gives its signals back to the system, which ends the
    process. Blocking them then would not do. It holds for one thread, and the system gives a signal to any that lets it
    in.
    """
    for number in SHUTDOWN_SIGNALS:
        _install(loop, number, stop)
    _install(loop, signal.SIGUSR1, report)
    _install(loop, signal.SIGHUP, lambda: _reload(reload))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, REQUESTS_BY_SIGNAL)
    try:
        yield
    finally:
        for number in (*SHUTDOWN_SIGNALS, *REQUESTS_BY_SIGNAL):
            signal.signal(number, signal.SIG_IGN)


def _install(loop: asyncio.AbstractEventLoop, number: signal.Signals, callback: Callable[[], None]) -> None:
    """Have the loop call back once for all signals of this number that come before it does."""
    is_scheduled = False

    def handle(number: int, frame: FrameType | None) -> None:
        nonlocal is_scheduled
        if not is_scheduled:
            is_scheduled = True
            loop.call_soon_threadsafe(call)

    def call() -> None:
        nonlocal is_scheduled
        is_scheduled = False
        callback()

    signal.signal(number, handle)


def _reload(reload: Callable[[], str]) -> None:
    """Whatever a file holds, and whenever it is read, the process and all that it has accepted live on."""
    try:
        logger.info("reload: done, {result}", result=reload())
    except ConfigError as e:
        logger.warning("reload: the old configuration stays: {error}", error=str(e))
