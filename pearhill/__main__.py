"""The daemon. `python -m pearhill` serves the platform; `python -m pearhill --chat FILE` serves the chat API."""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import signal
import sys
from collections.abc import Coroutine
from typing import Any

import uvloop

from pearhill.chat import service, setup
from pearhill.config import ConfigError, load
from pearhill.net.log import LogThread
from pearhill.platform import daemon


def _work(arguments: argparse.Namespace) -> Coroutine[Any, Any, None]:
    if arguments.chat:
        return service.serve(setup.load(arguments.chat), lambda: setup.load(arguments.chat))
    return daemon.serve(load(os.environ), lambda before: load(os.environ, before))


def main() -> int:
    parser = argparse.ArgumentParser(prog="pearhill", description="A dispatcher for language-model servers.")
    parser.add_argument("--chat", metavar="FILE", help="serve the chat API as this operator's file says")
    arguments = parser.parse_args()
    # Danger: until there is a handler a SIGHUP would end the process. It waits; threads started here never get it.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        work = _work(arguments)
    except ConfigError as e:
        print(f"pearhill: {e}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()  # what is there at the start stays: the collector looks at what comes later alone, and so in time
    log = LogThread(os.environ.get("PEARHILL_LOG", "INFO"))
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(work)
    except OSError as e:
        print(f"pearhill: {e}", file=sys.stderr)
        return 1
    finally:
        log.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
