"""Where log lines go: a thread writes them, so that a stuck reader of the log never holds up the loop."""

from __future__ import annotations

import queue
import sys
import threading
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

MOST = 10_000  # lines that may wait; past it lines are dropped


class LogThread:
    def __init__(self, level: str = "INFO") -> None:
        self._lines: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        logger.remove()
        # The line's own form is made here: loguru's way with times costs as much as all the rest of a line.
        logger.add(self._put, format="{message}", level=level, backtrace=False, diagnose=False)
        self._thread.start()

    def _put(self, message: Message) -> None:
        if self._lines.qsize() < MOST:
            time, level = message.record["time"], message.record["level"].name
            self._lines.put(f"{time.replace(tzinfo=None).isoformat(timespec='milliseconds')} {level} {message}")

    def _run(self) -> None:
        while (line := self._lines.get()) is not None:
            try:
                sys.stderr.write(line)
                sys.stderr.flush()
            except OSError:
                return

    def close(self) -> None:
        """Write what waits, within a second."""
        self._lines.put(None)
        self._thread.join(1)
