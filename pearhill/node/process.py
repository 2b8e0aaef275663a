"""One daemon's process: its signals, its log, its loop and its exit code, whatever it serves."""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from pearhill.config import ConfigError
from pearhill.net.log import LogThread
from pearhill.node.signals import block_requests


def run(work: Callable[[], Coroutine[Any, Any, None]], log_level: str, log_format: str = "text") -> int:
    """Make the coroutine and run it to its end. The exit code: 0; 1 where the system refused something; 2 for a bad
    configuration, which is printed in one line."""
    # Until there are handlers these signals would end the process. They wait; threads started here never get them.
    block_requests()
    try:
        coroutine = work()
    except ConfigError as e:
        print(f"pearhill: {e}", file=sys.stderr)
        return 2
    # What is there at the start stays: the collector looks only at what comes later, and so takes little time.
    gc.collect()
    gc.freeze()
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
