"""The names of files that the processes of one dispatcher share, during one boot of the machine."""

from __future__ import annotations

import hashlib
import pathlib


def shared_file(folder: str, name: str, boot: str, version: int, suffix: str) -> pathlib.Path:
    """Return the path of a file in `folder`: that of the dispatcher `name`, which may be any text.

    `boot` is the id of the machine's current boot: times in such files are of a clock that starts with it. `version` is
    that of the file's format.
    """
    digest = hashlib.blake2b(f"{name}\0{boot}".encode(), digest_size=8).hexdigest()
    return pathlib.Path(folder) / f"pearhill-{digest}-{version}.{suffix}"
