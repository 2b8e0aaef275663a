"""The signals of a daemon that serves: SIGTERM and SIGINT end it, SIGHUP reloads, SIGUSR1 logs the counters."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from loguru import logger

from pearhill.config import ConfigError

REQUESTS_BY_SIGNAL = {signal.SIGHUP, signal.SIGUSR1}


def block_requests() -> None:
    """Let these signals wait. Without a handler, which a loop has only while it runs, each would end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, REQUESTS_BY_SIGNAL)


def handle_signals(
    loop: asyncio.AbstractEventLoop, stop: Callable[[], None], report: Callable[[], None], reload: Callable[[], str]
) -> None:
    """Install the handlers, then let in the signals that waited. `reload` returns what came of it, in words."""
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGUSR1, report)
    loop.add_signal_handler(signal.SIGHUP, _reload, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, REQUESTS_BY_SIGNAL)


def _reload(reload: Callable[[], str]) -> None:
    """Whatever a file holds, and whenever it is read, the process and all that it has accepted live on."""
    try:
        logger.info("reload: done, {result}", result=reload())
    except ConfigError as e:
        logger.warning("reload: the old configuration stays: {error}", error=str(e))
