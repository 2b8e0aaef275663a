"""Small files that processes of one name leave for each other in one folder, each written by one process alone."""

from __future__ import annotations

import contextlib
import hashlib
import os
import pathlib
from collections.abc import Iterator

MAX_MESSAGE_BYTES = 1 << 20  # what a larger file holds beyond it is not read
MAX_MESSAGES = 16  # the latest by name are read


class MessageFolder:
    """The messages of the processes of one name.

    `name` may be any text, and several names may share the folder. `start` is a part of this process's file name.
    OSError of any method: the folder cannot be used.
    """

    def __init__(self, folder: str, name: str, start: int) -> None:
        self.folder = pathlib.Path(folder)
        self._prefix = f"pearhill-{hashlib.blake2b(name.encode(), digest_size=8).hexdigest()}-"
        self.own = self.folder / f"{self._prefix}{start:x}-{os.getpid()}.note"

    def write(self, data: bytes) -> None:
        """Put this process's message in its place at once: no process may read half of one."""
        part = self.own.with_suffix(".part")
        part.write_bytes(data)
        part.replace(self.own)

    def others(self) -> Iterator[tuple[pathlib.Path, bytes]]:
        """The messages of other processes. One that is removed meanwhile is left out."""
        with os.scandir(self.folder) as entries:
            names = sorted(entry.name for entry in entries if self._is_message(entry.name))
        names = [name for name in names if name != self.own.name]
        for name in names[-MAX_MESSAGES:]:
            path = self.folder / name
            with contextlib.suppress(OSError), open(path, "rb") as file:
                yield path, file.read(MAX_MESSAGE_BYTES + 1)[:MAX_MESSAGE_BYTES]

    def _is_message(self, name: str) -> bool:
        return name.startswith(self._prefix) and name.endswith(".note")

    def remove(self, path: pathlib.Path) -> None:
        """Remove a message, and one that its process had not put in its place yet."""
        for each in (path, path.with_suffix(".part")):
            with contextlib.suppress(OSError):
                each.unlink()
