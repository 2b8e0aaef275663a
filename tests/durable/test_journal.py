"""The journal with files cut off at every byte, failing disks, and processes that are killed while writing."""

import errno
import os
import pathlib
import random
import signal
import subprocess
import sys
import threading
from typing import Any

import pytest

from pearhill.durable.frames import FRAME_HEAD, MAX_BODY_BYTES, TornFrameError, decode_frames, encode_frame
from pearhill.durable.journal import Journal
from pearhill.durable.recovery import CorruptJournalError, read_frames, recover, segments
from tests.standins import ROOT

SEED = 20261201
TWO_FRAMES = encode_frame(1, b"one") + encode_frame(2, b"two")


class JournalCase:
    @pytest.fixture(autouse=True)
    def begin(self, tmp_path: pathlib.Path) -> None:
        self.folder = tmp_path
        self.synced = 0
        self.failures: list[OSError | None] = []
        self.changed = threading.Condition()

    def on_synced(self, seq: int) -> None:
        with self.changed:
            self.synced = seq
            self.changed.notify_all()

    def on_failure(self, error: OSError | None) -> None:
        with self.changed:
            self.failures.append(error)
            self.changed.notify_all()

    def open(self, **more: int) -> Journal:
        return Journal(self.folder, recover(self.folder).seq, self.on_synced, self.on_failure, **more)

    def wait_synced(self, seq: int) -> None:
        with self.changed:
            assert self.changed.wait_for(lambda: self.synced >= seq, 20)

    def bodies(self) -> list[bytes]:
        return [one.body for one in read_frames(self.folder)]


class TestWrittenAndRead(JournalCase):
    def test_appended_frames_are_read_in_order_and_once(self) -> None:
        expected: list[bytes] = []
        for _ in range(3):
            journal = self.open(segment_bytes=200)
            for _ in range(20):
                expected.append(b"body %d" % len(expected))
                self.wait_synced(journal.append(expected[-1]) - 3)
            assert journal.close()
        assert self.bodies() == expected
        assert self.synced == len(expected)
        assert len(segments(self.folder)) > 3

    def test_a_file_cut_at_any_byte_reads_as_the_complete_frames_before(self) -> None:
        journal = self.open()
        expected = [bytes([65 + k]) * (k * 3) for k in range(12)]
        for body in expected:
            journal.append(body)
        journal.close()
        (path,) = segments(self.folder)
        data = path.read_bytes()
        ends = [0]
        for body in expected:
            ends.append(ends[-1] + FRAME_HEAD.size + len(body))
        for cut in range(len(data) + 1):
            path.write_bytes(data[:cut])
            path.with_suffix(".torn").unlink(missing_ok=True)
            complete = sum(end <= cut for end in ends) - 1
            found = recover(self.folder)
            assert [f.body for f in found.frames] == expected[:complete]
            assert (found.seq, found.torn_bytes) == (complete, cut - ends[complete])
            assert path.stat().st_size == ends[complete]
            if found.torn_bytes:  # the torn bytes are retained
                assert path.with_suffix(".torn").read_bytes() == data[ends[complete] : cut]
            again = Journal(self.folder, found.seq, self.on_synced, self.on_failure)
            again.append(b"after")
            assert again.close()
            assert self.bodies() == [*expected[:complete], b"after"]
            for other in segments(self.folder):
                if other != path:
                    other.unlink()

    @pytest.mark.parametrize("at", range(len(TWO_FRAMES)))
    def test_a_changed_byte_is_detected_at_any_position(self, at: int) -> None:
        corrupted = bytearray(TWO_FRAMES)
        corrupted[at] ^= 1
        with pytest.raises(TornFrameError):
            list(decode_frames(bytes(corrupted)))

    def test_damage_in_the_middle_is_an_error_and_not_repaired(self) -> None:
        journal = self.open(segment_bytes=60)
        for k in range(10):
            journal.append(b"body %d" % k)
            self.wait_synced(k + 1)
        journal.close()
        first = segments(self.folder)[0]
        data = bytearray(first.read_bytes())
        data[-1] ^= 1
        first.write_bytes(bytes(data))
        with pytest.raises(CorruptJournalError):
            recover(self.folder)
        assert first.read_bytes() == bytes(data)

    def test_a_snapshot_replaces_what_came_before_it(self) -> None:
        journal = self.open(segment_bytes=50)
        for k in range(5):
            journal.append(b"%d" % k)
            self.wait_synced(k + 1)
        journal.snapshot(b"x" * (2 << 20))
        journal.append(b"after")
        journal.close()
        found = recover(self.folder)
        assert found.state is not None
        assert (len(found.state), found.state_seq, [f.body for f in found.frames]) == (2 << 20, 5, [b"after"])
        newest = max(self.folder.glob("*.state"))
        newest.write_bytes(newest.read_bytes()[:-1])  # damaged: the frames that it covers are still in the segments
        found = recover(self.folder)
        assert (found.state, len(found.frames)) == (None, 6)
        for lost in (0, -1):
            segments(self.folder)[lost].unlink()
            with pytest.raises(CorruptJournalError):
                recover(self.folder)
        for path in segments(self.folder):
            path.unlink()
        with pytest.raises(CorruptJournalError):
            recover(self.folder)


class TestTooLarge(JournalCase):
    def test_a_snapshot_that_is_too_large_is_rejected_and_the_journal_continues(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The error ended the writing thread, so that later frames were lost."""
        monkeypatch.setattr("pearhill.durable.journal.MAX_STATE_BYTES", 10)
        journal = self.open()
        journal.append(b"before")
        with pytest.raises(ValueError, match="a snapshot of 11 bytes is too large; 10 are allowed"):
            journal.snapshot(b"x" * 11)
        journal.append(b"after")
        assert journal.close()
        assert self.bodies() == [b"before", b"after"]

    def test_a_body_that_is_too_large_leaves_no_gap_in_the_numbers(self) -> None:
        journal = self.open()
        journal.append(b"before")
        with pytest.raises(ValueError, match="are allowed"):
            journal.append(b"x" * (MAX_BODY_BYTES + 1))
        journal.append(b"after")
        assert journal.close()
        assert [frame.body for frame in recover(self.folder).frames] == [b"before", b"after"]


def append_often(journal: Journal) -> None:
    for _ in range(100):
        journal.append(b"x" * 50)


class TestFailingDisk(JournalCase):
    @pytest.fixture(autouse=True)
    def patch_with(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.monkeypatch = monkeypatch

    def fail(self, name: str, times: int, error: OSError, writes_partially: bool = False) -> None:
        real, left = getattr(os, name), [times]

        def call(*arguments: Any) -> Any:
            if left[0] and threading.current_thread().name == "journal":
                left[0] -= 1
                if writes_partially:
                    real(arguments[0], bytes(arguments[1])[:7])
                raise error
            return real(*arguments)

        self.monkeypatch.setattr(f"pearhill.durable.journal.os.{name}", call)
        self.monkeypatch.setattr("pearhill.durable.journal.RETRY_INTERVAL_S", 0.01)

    @pytest.mark.parametrize(("name", "writes_partially"), [("write", False), ("write", True), ("fsync", False)])
    def test_a_temporary_disk_failure_loses_and_duplicates_no_frame(self, name: str, writes_partially: bool) -> None:
        journal = self.open()
        journal.append(b"before")
        self.wait_synced(1)
        self.fail(name, 3, OSError(28, "No space left on device"), writes_partially)
        for k in range(5):
            journal.append(b"%d" % k)
        self.wait_synced(6)
        assert journal.close()
        assert self.bodies() == [b"before", *(b"%d" % k for k in range(5))]
        assert recover(self.folder).seq == 6
        assert [e is None for e in self.failures] == [False, True]

    @pytest.mark.parametrize(
        ("name", "writes_partially"), [("write", False), ("write", True), ("fsync", False), ("open", False)]
    )
    @pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
    def test_a_close_during_a_temporary_disk_failure_loses_no_frame(
        self, name: str, writes_partially: bool, number: int
    ) -> None:
        """Close stopped at the first failure, so that pending frames were lost."""
        journal = self.open()
        for k in range(50):
            journal.append(b"%d" % k)
        self.wait_synced(50)
        self.fail(name, 5, OSError(number, os.strerror(number)), writes_partially)
        for k in range(50, 100):
            journal.append(b"%d" % k)
        assert journal.close()
        assert self.bodies() == [b"%d" % k for k in range(100)]
        assert journal.unwritten == (0, 0)

    def test_a_close_reports_unwritten_frames(self) -> None:
        journal = self.open()
        self.fail("write", -1, OSError(errno.EIO, "Input/output error"))
        journal.append(b"x" * 50)
        journal.append(b"x" * 50)
        assert not journal.close(timeout=0.2)
        assert journal.unwritten == (2, 2 * len(encode_frame(1, b"x" * 50)))

    def test_a_permanent_disk_failure_is_reported_and_pending_bytes_are_bounded(self) -> None:
        self.fail("write", -1, OSError(5, "Input/output error"))
        journal = self.open(max_pending_bytes=300)
        with pytest.raises(BufferError, match="too many bytes wait for the disk"):
            append_often(journal)
        with self.changed:
            assert self.changed.wait_for(lambda: self.failures, 20)
        assert not journal.close()


WRITER = """
import pathlib, sys
from pearhill.durable.journal import Journal
from pearhill.durable.recovery import recover
folder = pathlib.Path(sys.argv[1])
found = recover(folder)
journal = Journal(folder, found.seq, lambda seq: print(seq, flush=True), lambda error: None, segment_bytes=5000)
for k in range(10**6):
    seq = journal.append(b"%d" % (found.seq + k + 1))
    if k % 50 == 49:
        journal.snapshot(b"%d" % seq)
    if k % 200 == 199:
        while journal._pending_bytes > 4000: pass
"""


class TestKilledProcess(JournalCase):
    def test_acknowledged_frames_are_recovered_once_after_a_kill(self) -> None:
        """Kills a writer 8 times with a fixed seed. The measurement had 200 kills, set by PEARHILL_KILLS."""
        rounds = int(os.environ.get("PEARHILL_KILLS", "8"))
        rng, acknowledged = random.Random(SEED), 0
        print("seed", SEED)
        for turn in range(rounds):
            process = subprocess.Popen(
                [sys.executable, "-c", WRITER, str(self.folder)], stdout=subprocess.PIPE, cwd=ROOT, text=True
            )
            assert process.stdout
            for _ in range(rng.randrange(1, 40)):
                line = process.stdout.readline()
                acknowledged = max(acknowledged, int(line))
            process.send_signal(signal.SIGKILL)
            rest = process.stdout.read().split()
            process.stdout.close()
            process.wait()
            acknowledged = max([acknowledged, *map(int, rest[:-1] if rest and not rest[-1].isdigit() else rest)])
            found = recover(self.folder)
            assert found.seq >= acknowledged, turn
            all_frames = read_frames(self.folder)
            assert [f.seq for f in all_frames] == list(range(1, found.seq + 1)), turn
            assert [f.body for f in all_frames] == [b"%d" % f.seq for f in all_frames], turn
            if found.state is not None:
                assert int(found.state) == found.state_seq, turn
