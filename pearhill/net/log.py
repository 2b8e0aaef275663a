"""Where log lines go: a thread writes them, so that a stuck reader of the log never holds up the loop."""

from __future__ import annotations

import contextlib
import queue
import sys
import threading

from loguru import logger

MOST = 10_000  # lines that may wait; past it lines are dropped
FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}"


class LogThread:
    def __init__(self, level: str = "INFO") -> None:
        self._lines: queue.Queue[str | None] = queue.Queue(MOST)
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        logger.remove()
        logger.add(self._put, format=FORMAT, level=level, backtrace=False, diagnose=False)
        self._thread.start()

    def _put(self, line: str) -> None:
        with contextlib.suppress(queue.Full):
            self._lines.put_nowait(line)

    def _run(self) -> None:
        while (line := self._lines.get()) is not None:
            try:
                sys.stderr.write(line)
                sys.stderr.flush()
            except OSError:
                return

    def close(self) -> None:
        """Write what waits, within a second."""
        try:
            self._lines.put(None, timeout=1)
        except queue.Full:
            return
        self._thread.join(1)
