"""The log's thread continues after a line that could not be written."""

import errno
import io
import os
import sys
import threading
from unittest.mock import patch

from loguru import logger

from pearhill.net.log import LogThread


class FullDisk(io.StringIO):
    """A log file on a disk that is full for the first line."""

    def __init__(self) -> None:
        super().__init__()
        self.failed = threading.Event()
        self.later = threading.Event()

    def write(self, text: str) -> int:
        if not self.failed.is_set():
            self.failed.set()
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        size = super().write(text)
        if "second" in text:
            self.later.set()
        return size


def test_lines_are_written_again_once_the_disk_has_space() -> None:
    stderr = FullDisk()
    with patch.object(sys, "stderr", stderr):
        log = LogThread()
        try:
            logger.info("first")
            assert stderr.failed.wait(20)
            logger.info("second")
            assert stderr.later.wait(20)
        finally:
            log.close()
            logger.remove()
