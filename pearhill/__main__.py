"""The daemon. `python -m pearhill` serves the platform; `python -m pearhill --chat FILE` serves the chat API."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Coroutine
from typing import Any

from pearhill.config import load
from pearhill.node.process import run


def _work(arguments: argparse.Namespace) -> Coroutine[Any, Any, None]:
    """Returns the coroutine of the selected daemon. Raises ConfigError if its configuration is invalid."""
    if arguments.chat:
        # Imported here so that the platform's daemon does not load modules that only the chat front end needs.
        from pearhill.chat import service, setup

        return service.serve(setup.load(arguments.chat), lambda: setup.load(arguments.chat))
    from pearhill.platform import daemon

    return daemon.serve(load(os.environ), lambda previous: load(os.environ, previous))


def main() -> int:
    """Run the daemon, and return the exit code of `node.process.run`."""
    parser = argparse.ArgumentParser(prog="python -m pearhill", description="A dispatcher for language-model servers.")
    parser.add_argument("--chat", metavar="FILE", help="serve the chat API as this operator's file says")
    arguments = parser.parse_args()
    return run(lambda: _work(arguments), os.environ.get("PEARHILL_LOG", "INFO"))


if __name__ == "__main__":
    sys.exit(main())
