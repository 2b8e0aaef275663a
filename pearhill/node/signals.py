"""The signals of a daemon: SIGTERM and SIGINT end it, SIGHUP reloads its configuration, SIGUSR1 logs its counters."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable, Iterator
from types import FrameType

from loguru import logger

from pearhill.config import ConfigError

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
OPERATOR_SIGNALS = {signal.SIGHUP, signal.SIGUSR1}


def block_operator_signals() -> None:
    """Block SIGHUP and SIGUSR1 during the start, when no handler exists and each of them would end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, OPERATOR_SIGNALS)


@contextlib.contextmanager
def handled_signals(
    loop: asyncio.AbstractEventLoop, stop: Callable[[], None], report: Callable[[], None], reload: Callable[[], str]
) -> Iterator[None]:
    """Handle the four signals, pending ones first, and ignore them on exit from the context.

    They are ignored so that a late signal does not end a process that is finishing its shutdown. `reload` returns a
    description of the result.

    The handlers are not installed with `loop.add_signal_handler`: a loop that closes restores the default action,
    which ends the process. Blocking the signals at that point does not help, because a mask holds for one thread
    and the system delivers a signal to any thread that does not block it.
    """
    for number in SHUTDOWN_SIGNALS:
        _install(loop, number, stop)
    _install(loop, signal.SIGUSR1, report)
    _install(loop, signal.SIGHUP, lambda: _reload(reload))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, OPERATOR_SIGNALS)
    try:
        yield
    finally:
        for number in (*SHUTDOWN_SIGNALS, *OPERATOR_SIGNALS):
            signal.signal(number, signal.SIG_IGN)


def _install(loop: asyncio.AbstractEventLoop, number: signal.Signals, callback: Callable[[], None]) -> None:
    """Install a handler that schedules `callback` on the loop. Signals that arrive before it runs share one call."""
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
    """Reload the configuration. If it is invalid, the old one stays in force and accepted requests are not affected."""
    try:
        logger.info("reload: done, {result}", result=reload())
    except ConfigError as e:
        logger.warning("reload: the old configuration stays: {error}", error=str(e))
