"""Reading a journal's folder: its frames, its latest good snapshot, and the repair of a torn end."""

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
    """The folder holds what this journal did not write, or a file is damaged in its middle."""


class RecoveredJournal(NamedTuple):
    """What a folder held. `frames`: those after the snapshot. `torn_bytes`: of a torn tail, which was moved aside."""

    seq: int
    state: bytes | None
    state_seq: int
    frames: list[Frame]
    torn_bytes: int


def segments(folder: pathlib.Path) -> list[pathlib.Path]:
    """The segments of a folder, the oldest first."""
    return sorted(folder.glob(SEGMENT_PATTERN))


def snapshots(folder: pathlib.Path) -> list[pathlib.Path]:
    """The snapshots of a folder, the oldest first."""
    return sorted(folder.glob(SNAPSHOT_PATTERN))


def read_frames(folder: pathlib.Path) -> list[Frame]:
    """Every frame of a folder, each number once, in order; nothing is changed.

    CorruptJournalError: one is damaged in its middle.
    """
    found: dict[int, bytes] = {}
    paths = segments(folder)
    for position, path in enumerate(paths):
        try:
            for one in decode_frames(path.read_bytes()):
                found.setdefault(one.seq, one.body)
        except TornFrameError as e:
            # A torn end is what a crash leaves: of the last segment, or of one that was given up after an error, whose
            # frames then stand again in the next.
            is_last = position == len(paths) - 1
            if not is_last and not _continues(found, paths[position + 1]):
                raise CorruptJournalError(f"{path.name}: {e}") from None
    return [Frame(seq, found[seq]) for seq in sorted(found)]


def _continues(found: dict[int, bytes], following: pathlib.Path) -> bool:
    """Whether the next segment begins no later than right behind what has been read."""
    return int(following.stem) <= max(found, default=0) + 1


def recover(folder: pathlib.Path) -> RecoveredJournal:
    """Make a folder fit for writing on: cut a torn tail (kept beside it as `.torn`), find the latest good snapshot.

    CorruptJournalError: it is damaged in its middle. OSError: it cannot be read or written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    frames = read_frames(folder)
    torn_bytes = _cut_torn_tail(folder)
    snapshot = _latest_snapshot(folder)
    if snapshot is None and not frames and snapshots(folder):
        raise CorruptJournalError("no snapshot is whole, and there are no segments")
    state_seq = 0 if snapshot is None else snapshot.seq
    _check_nothing_missing(frames, state_seq)
    last = frames[-1].seq if frames else 0
    return RecoveredJournal(
        max(last, state_seq),
        None if snapshot is None else snapshot.body,
        state_seq,
        [each for each in frames if each.seq > state_seq],
        torn_bytes,
    )


def _cut_torn_tail(folder: pathlib.Path) -> int:
    """Move what is no frame at the end of the last segment aside; returns its bytes."""
    paths = segments(folder)
    if not paths:
        return 0
    last = paths[-1]
    data = last.read_bytes()
    try:
        for _ in decode_frames(data):
            pass
    except TornFrameError as e:
        with open(last.with_suffix(".torn"), "ab") as aside:
            aside.write(data[e.offset :])
        os.truncate(last, e.offset)
        return len(data) - e.offset
    return 0


def _latest_snapshot(folder: pathlib.Path) -> Frame | None:
    for path in reversed(snapshots(folder)):
        try:
            (snapshot,) = decode_frames(path.read_bytes(), MAX_STATE_BYTES)
        except (TornFrameError, ValueError):
            logger.warning("journal: snapshot {name} is not whole and is passed over", name=path.name)
            continue
        return snapshot
    return None


def _check_nothing_missing(frames: list[Frame], state_seq: int) -> None:
    """CorruptJournalError: numbers are missing that the snapshot does not hold."""
    for before, after in zip(frames, frames[1:], strict=False):
        if after.seq != before.seq + 1 and after.seq > state_seq + 1:
            raise CorruptJournalError(f"charges {before.seq + 1} to {after.seq - 1} are missing")
    first = frames[0].seq if frames else 1
    if first > state_seq + 1:
        raise CorruptJournalError(f"charges {state_seq + 1} to {first - 1} are missing, and no snapshot holds them")
