"""The daemon: `python -m pearhill`."""

from __future__ import annotations

import asyncio
import os
import sys

import uvloop

from pearhill.config import ConfigError, load
from pearhill.net.log import LogThread
from pearhill.platform.daemon import serve


def main() -> int:
    try:
        config = load(os.environ)
    except ConfigError as e:
        print(f"pearhill: {e}", file=sys.stderr)
        return 2
    log = LogThread(os.environ.get("PEARHILL_LOG", "INFO"))

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config))
    except OSError as e:
        print(f"pearhill: listen: {e}", file=sys.stderr)
        return 1
    finally:
        log.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
