"""The thread that writes log lines, so that a blocked reader of the log never blocks the event loop."""

from __future__ import annotations

import contextlib
import json
import queue
import sys
import threading
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

MAX_QUEUED_LINES = 10_000  # that wait to be written; further lines are dropped
CLOSE_TIMEOUT_S = 1  # for writing the queued lines when the log is closed


def format_text(message: Message) -> str:
    """Format a line as time, level and message."""
    record = message.record
    time = record["time"].replace(tzinfo=None).isoformat(timespec="milliseconds")
    return f"{time} {record['level'].name} {message}"


def format_json(message: Message) -> str:
    """Format a line as one JSON object: the message, and every field bound to it under the field's own name."""
    record = message.record
    fields = {
        **record["extra"],
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
    }
    if record["exception"]:
        fields["trace"] = str(message).partition("\n")[2]
    return json.dumps(fields, default=str) + "\n"


FORMATTERS = {"text": format_text, "json": format_json}


class LogThread:
    """Writes all log lines to standard error until `close`. `line_format` is `text` or `json`. Raises ValueError if the
    level does not exist."""

    def __init__(self, level: str = "INFO", line_format: str = "text") -> None:
        self._lines: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._format = FORMATTERS[line_format]
        logger.remove()
        # Lines are formatted here, because loguru's formatting of times costs as much as the rest of a line.
        logger.add(self._enqueue, format="{message}", level=level, backtrace=False, diagnose=False)
        self._thread.start()

    def _enqueue(self, message: Message) -> None:
        if self._lines.qsize() < MAX_QUEUED_LINES:
            self._lines.put(self._format(message))

    def _run(self) -> None:
        while (line := self._lines.get()) is not None:
            # If the disk is full or the log's reader has exited, this line is lost, but later lines may succeed.
            with contextlib.suppress(OSError, ValueError):
                sys.stderr.write(line)
                sys.stderr.flush()

    def close(self) -> None:
        """Write the queued lines, within a second."""
        self._lines.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)
