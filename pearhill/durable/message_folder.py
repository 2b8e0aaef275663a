"""Messages between processes of one name: small files in a folder, each written by a single process."""

from __future__ import annotations

import contextlib
import hashlib
import os
import pathlib
from collections.abc import Iterator

MAX_MESSAGE_BYTES = 1 << 20  # the rest of a larger file is not read
MAX_MESSAGES = 16  # only the latest by name are read


class MessageFolder:
    """The messages of the processes of one name.

    `name` may be any text, and several names may share the folder. `start` is part of this process's file name.
    Methods raise OSError if the folder cannot be used.
    """

    def __init__(self, folder: str, name: str, start: int) -> None:
        self.folder = pathlib.Path(folder)
        self._prefix = f"pearhill-{hashlib.blake2b(name.encode(), digest_size=8).hexdigest()}-"
        self.own_path = self.folder / f"{self._prefix}{start:x}-{os.getpid()}.note"

    def write(self, data: bytes) -> None:
        """Write this process's message atomically, so that no process reads a partial one."""
        temporary = self.own_path.with_suffix(".part")
        temporary.write_bytes(data)
        temporary.replace(self.own_path)

    def other_messages(self) -> Iterator[tuple[pathlib.Path, bytes]]:
        """Yields the paths and contents of other processes' messages, without those that are removed meanwhile."""
        with os.scandir(self.folder) as entries:
            names = sorted(entry.name for entry in entries if self._is_message(entry.name))
        names = [name for name in names if name != self.own_path.name]
        for name in names[-MAX_MESSAGES:]:
            path = self.folder / name
            with contextlib.suppress(OSError), open(path, "rb") as file:
                yield path, file.read(MAX_MESSAGE_BYTES + 1)[:MAX_MESSAGE_BYTES]

    def _is_message(self, name: str) -> bool:
        return name.startswith(self._prefix) and name.endswith(".note")

    def remove(self, path: pathlib.Path) -> None:
        """Remove a message, and the temporary file that its process may have left behind while writing."""
        for file_path in (path, path.with_suffix(".part")):
            with contextlib.suppress(OSError):
                file_path.unlink()
