"""One daemon's process: its signals, its log, its loop and its exit code, whatever it serves."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from pearhill.config import ConfigError
from pearhill.net.log import LogThread

REQUESTS_BY_SIGNAL = {signal.SIGHUP, signal.SIGUSR1}  # to reload, and to log the counters


def run(work: Callable[[], Coroutine[Any, Any, None]], log_level: str, log_format: str = "text") -> int:
    """Make the work and see it through. The exit code: 0, 1 where the system refused something, 2 for bad
    configuration, which is told in one line."""
    # Until there are handlers these would end the process. They wait; threads started here never get them.
    signal.pthread_sigmask(signal.SIG_BLOCK, REQUESTS_BY_SIGNAL)
    try:
        coroutine = work()
    except ConfigError as e:
        print(f"pearhill: {e}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()  # what is there at the start stays: the collector looks at what comes later alone, and so in time
    try:
        log = LogThread(log_level, log_format)
    except ValueError as e:
        coroutine.close()
        print(f"pearhill: PEARHILL_LOG or --log-level: {e}", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(coroutine)
    except OSError as e:
        print(f"pearhill: {e}", file=sys.stderr)
        return 1
    finally:
        log.close()
    return 0
