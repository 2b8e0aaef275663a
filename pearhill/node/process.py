"""The process of a daemon of any kind: its signals, log, event loop and exit code."""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from pearhill.config import ConfigError
from pearhill.net.log import LogThread
from pearhill.node.signals import block_operator_signals


def run(make_coroutine: Callable[[], Coroutine[Any, Any, None]], log_level: str, log_format: str = "text") -> int:
    """Create the coroutine and run it until it ends.

    Returns the exit code: 0; 1 if a system call failed (OSError); 2 if the configuration is invalid. The error is
    printed in one line.
    """
    # Without handlers these signals would end the process, so they stay pending until the handlers are installed.
    # Threads that are started here inherit the mask and never receive them.
    block_operator_signals()
    try:
        coroutine = make_coroutine()
    except ConfigError as e:
        print(f"pearhill: {e}", file=sys.stderr)
        return 2
    # Objects that exist at the start live as long as the process. Frozen, they are not scanned by the garbage
    # collector, which shortens its pauses.
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
