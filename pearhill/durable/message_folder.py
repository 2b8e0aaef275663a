"""Small files that processes of one name leave for each other in one folder, each written by one process alone."""

from __future__ import annotations

import contextlib
import hashlib
import os
import pathlib
from collections.abc import Iterator

MOST_BYTES = 1 << 20  # of a note; a larger file is none
MOST_FILES = 16


class MessageFolder:
    """`name` may be any text, and several names may share the folder. OSError: the folder cannot be used."""

    def __init__(self, folder: str, name: str, start: int) -> None:
        self.folder = pathlib.Path(folder)
        self._family = f"pearhill-{hashlib.blake2b(name.encode(), digest_size=8).hexdigest()}-"
        self.own = self.folder / f"{self._family}{start:x}-{os.getpid()}.note"

    def write(self, data: bytes) -> None:
        """The whole note, in its place at once. Danger: a reader must never find half of one."""
        part = self.own.with_suffix(".part")
        part.write_bytes(data)
        part.replace(self.own)

    def others(self) -> Iterator[tuple[pathlib.Path, bytes]]:
        """The notes of other processes. One that goes while we look is none."""
        with os.scandir(self.folder) as entries:
            names = sorted(e.name for e in entries if e.name.startswith(self._family) and e.name.endswith(".note"))
        for name in [name for name in names if name != self.own.name][-MOST_FILES:]:
            with contextlib.suppress(OSError), open(self.folder / name, "rb") as file:
                yield self.folder / name, file.read(MOST_BYTES + 1)[:MOST_BYTES]

    def remove(self, path: pathlib.Path) -> None:
        """Also what its process did not come to put in its place."""
        for each in (path, path.with_suffix(".part")):
            with contextlib.suppress(OSError):
                each.unlink()
