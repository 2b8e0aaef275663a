"""Epochs of the wall clock, stored for the next process of a dispatcher."""

import pathlib

import pytest

from pearhill.durable.clock_file import ClockFile, ClockFileError
from pearhill.routing.start_times import Epoch

EPOCHS = [Epoch(-5, 1), Epoch(7_000_000, 1 << 52)]


def test_the_epochs_that_were_stored_last_are_read_by_the_same_name_and_boot(tmp_path: pathlib.Path) -> None:
    file = ClockFile(str(tmp_path), "n1", "boot")
    assert file.read() == []
    file.write(EPOCHS[:1])
    file.write(EPOCHS)
    assert ClockFile(str(tmp_path), "n1", "boot").read() == EPOCHS
    assert ClockFile(str(tmp_path), "n2", "boot").read() == []
    assert ClockFile(str(tmp_path), "n1", "other boot").read() == []
    assert list(tmp_path.iterdir()) == [file.path]


@pytest.mark.parametrize("data", [b"", b"[", b"{}", b'[{"offset":1}]', b'[{"offset":"x","first":1}]', b"\xff"])
def test_a_malformed_file_is_refused(tmp_path: pathlib.Path, data: bytes) -> None:
    file = ClockFile(str(tmp_path), "n1", "boot")
    file.path.write_bytes(data)
    with pytest.raises(ClockFileError):
        file.read()
