"""Recovery of a journal: reads its frames and its latest valid snapshot, and repairs a torn tail."""

from __future__ import annotations

import os
import pathlib
from typing import NamedTuple

from loguru import logger

from pearhill.durable.frames import Frame, TornFrameError, decode_frames

MAX_STATE_BYTES = 1 << 30
SEGMENT_PATTERN = "[0-9]" * 20 + ".log"
SNAPSHOT_PATTERN = "[0-9]" * 20 + ".state"


class CorruptJournalError(Exception):
    """The folder contains data that the journal did not write, or a file is damaged in its middle."""


class RecoveredJournal(NamedTuple):
    """The contents of a folder.

    `frames` are those after the snapshot. `torn_bytes` is the size of a torn tail, which was moved to another file.
    """

    seq: int
    state: bytes | None
    state_seq: int
    frames: list[Frame]
    torn_bytes: int


def segments(folder: pathlib.Path) -> list[pathlib.Path]:
    """Returns the segments of a folder, oldest first."""
    return sorted(folder.glob(SEGMENT_PATTERN))


def snapshots(folder: pathlib.Path) -> list[pathlib.Path]:
    """Returns the snapshots of a folder, oldest first."""
    return sorted(folder.glob(SNAPSHOT_PATTERN))


def read_frames(folder: pathlib.Path) -> list[Frame]:
    """Returns every frame of a folder in order, each sequence number once, without changing any file.

    Raises CorruptJournalError if a segment is damaged in its middle.
    """
    found: dict[int, bytes] = {}
    paths = segments(folder)
    for position, path in enumerate(paths):
        try:
            for frame in decode_frames(path.read_bytes()):
                found.setdefault(frame.seq, frame.body)
        except TornFrameError as e:
            # A crash leaves a torn tail in the last segment. A write error leaves one in a segment that was abandoned,
            # whose unacknowledged frames are repeated in the next segment.
            is_last = position == len(paths) - 1
            if not is_last and not _is_continued_by(found, paths[position + 1]):
                raise CorruptJournalError(f"{path.name}: {e}") from None
    return [Frame(seq, found[seq]) for seq in sorted(found)]


def _is_continued_by(found: dict[int, bytes], following: pathlib.Path) -> bool:
    """Whether the next segment starts at or before the sequence number that follows those already read."""
    return int(following.stem) <= max(found, default=0) + 1


def recover(folder: pathlib.Path) -> RecoveredJournal:
    """Prepare a folder for appending: move a torn tail to a `.torn` file, and find the latest valid snapshot.

    Raises CorruptJournalError if a segment is damaged in its middle, or OSError if the folder is inaccessible.
    """
    folder.mkdir(parents=True, exist_ok=True)
    frames = read_frames(folder)
    torn_bytes = _cut_torn_tail(folder)
    snapshot = _latest_snapshot(folder)
    if snapshot is None and not frames and snapshots(folder):
        raise CorruptJournalError("no snapshot is valid, and there are no segments")
    state_seq = 0 if snapshot is None else snapshot.seq
    _check_nothing_missing(frames, state_seq)
    last = frames[-1].seq if frames else 0
    return RecoveredJournal(
        max(last, state_seq),
        None if snapshot is None else snapshot.body,
        state_seq,
        [frame for frame in frames if frame.seq > state_seq],
        torn_bytes,
    )


def _cut_torn_tail(folder: pathlib.Path) -> int:
    """Move the torn tail of the last segment to a `.torn` file, and return the number of bytes moved."""
    paths = segments(folder)
    if not paths:
        return 0
    last = paths[-1]
    data = last.read_bytes()
    try:
        for _ in decode_frames(data):
            pass
    except TornFrameError as e:
        with open(last.with_suffix(".torn"), "ab") as torn_file:
            torn_file.write(data[e.offset :])
        os.truncate(last, e.offset)
        return len(data) - e.offset
    return 0


def _latest_snapshot(folder: pathlib.Path) -> Frame | None:
    for path in reversed(snapshots(folder)):
        try:
            (snapshot,) = decode_frames(path.read_bytes(), MAX_STATE_BYTES)
        except (TornFrameError, ValueError):
            logger.warning("journal: snapshot {name} is damaged and is skipped", name=path.name)
            continue
        return snapshot
    return None


def _check_nothing_missing(frames: list[Frame], state_seq: int) -> None:
    """Raises CorruptJournalError if sequence numbers are missing that the snapshot does not include."""
    for before, after in zip(frames, frames[1:], strict=False):
        if after.seq != before.seq + 1 and after.seq > state_seq + 1:
            raise CorruptJournalError(f"frames {before.seq + 1} to {after.seq - 1} are missing")
    first = frames[0].seq if frames else 1
    if first > state_seq + 1:
        raise CorruptJournalError(f"frames {state_seq + 1} to {first - 1} are missing, and no snapshot includes them")
