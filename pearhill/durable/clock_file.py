"""A file in which the processes of one dispatcher keep what they have seen of the wall clock's steps.

A process that starts after a step reads from it by how much earlier times differ. It is written only after a step and
at the start of a process, and does not outlive a boot, whose monotonic clock its times are of.
"""

from __future__ import annotations

import os
from collections.abc import Sequence

import msgspec

from pearhill.durable.shared_files import shared_file
from pearhill.routing.start_times import Epoch

FORMAT_VERSION = 1
MAX_FILE_BYTES = 1 << 16  # the rest of a larger file is not read


class _StoredEpoch(msgspec.Struct, frozen=True):
    """An `Epoch` by the system's monotonic clock, in microseconds."""

    offset: int
    first: int


class ClockFileError(Exception):
    """The file's contents are not epochs. Its text says why."""


class ClockFile:
    """The epochs that the latest process named `name` stored in a folder, during the boot with the id `boot`."""

    def __init__(self, folder: str, name: str, boot: str) -> None:
        self.path = shared_file(folder, name, boot, FORMAT_VERSION, "clock")

    def read(self) -> list[Epoch]:
        """Return the stored epochs, oldest first; none if there is no file.

        Raises OSError if the file cannot be read, ClockFileError if it is malformed.
        """
        try:
            with open(self.path, "rb") as file:
                data = file.read(MAX_FILE_BYTES)
        except FileNotFoundError:
            return []
        try:
            stored: list[_StoredEpoch] = msgspec.json.decode(data, type=list[_StoredEpoch])
        except (msgspec.DecodeError, UnicodeDecodeError) as e:
            raise ClockFileError(str(e)) from e
        return [Epoch(each.offset, each.first) for each in stored]

    def write(self, epochs: Sequence[Epoch]) -> None:
        """Replace the stored epochs atomically, so that no process reads a part of them. Raises OSError."""
        temporary = self.path.with_suffix(f".{os.getpid()}.part")
        temporary.write_bytes(msgspec.json.encode([_StoredEpoch(each.offset, each.first) for each in epochs]))
        temporary.replace(self.path)
