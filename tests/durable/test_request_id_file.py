"""Real processes of one dispatcher share request ids by a file."""

import contextlib
import pathlib
import subprocess
import sys
from collections.abc import Iterator

import pytest

from pearhill.core.request_ids import ClaimResult
from pearhill.durable.request_id_file import FILE_BYTES, MAX_PROCESSES, RequestIdFile
from tests.standins import ROOT

NAME = "n1"
BOOT = "boot"
# Claims ids, begins to execute those that start with "x", reports that, and waits until it is killed.
CLAIM = """
import sys
from pearhill.durable.request_id_file import RequestIdFile
folder, name, boot, *ids = sys.argv[1:]
file = RequestIdFile(folder, name, boot)
request_ids = file.request_ids()
results = [request_ids.claim(each, False).name for each in ids]
for each in ids:
    if each.startswith("x"):
        request_ids.record_execution(each)
print(*results, flush=True)
sys.stdin.read()
"""


@contextlib.contextmanager
def other_process(folder: pathlib.Path, *ids: str, name: str = NAME) -> Iterator[list[str]]:
    """Run a process that claims ids, yield its results, and kill it."""
    command = [sys.executable, "-c", CLAIM, str(folder), name, BOOT, *ids]
    process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    assert process.stdin
    assert process.stdout
    try:
        yield process.stdout.readline().split()
    finally:
        process.kill()
        process.wait()
        process.stdin.close()
        process.stdout.close()


def test_an_open_id_is_rejected_while_its_process_lives_and_an_executed_one_also_afterwards(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against review/7: each process knew only the ids that it had open itself."""
    own = RequestIdFile(str(tmp_path), NAME, BOOT).request_ids()
    ids = [f"{number:x}" for number in range(1_000)] + ["x1"]
    with other_process(tmp_path, *ids) as results:
        assert set(results) == {"GRANTED"}
        assert {own.claim(each, False) for each in ids} == {ClaimResult.OPEN}
    assert {own.claim(each, False) for each in ids[:-1]} == {ClaimResult.GRANTED}
    assert own.claim("x1", False) is ClaimResult.MAY_HAVE_EXECUTED
    with other_process(tmp_path, "0", "x1", "new") as results:
        assert results == ["OPEN", "MAY_HAVE_EXECUTED", "GRANTED"]


def test_dispatchers_of_other_names_do_not_share_ids(tmp_path: pathlib.Path) -> None:
    own = RequestIdFile(str(tmp_path), NAME, BOOT).request_ids()
    assert own.claim("a", False) is ClaimResult.GRANTED
    with other_process(tmp_path, "a", name="n2") as results:
        assert results == ["GRANTED"]


def test_one_process_too_many_is_an_error_and_a_process_that_has_exited_makes_room(tmp_path: pathlib.Path) -> None:
    with contextlib.ExitStack() as others:
        for _ in range(MAX_PROCESSES):
            assert others.enter_context(other_process(tmp_path, "a"))
        with pytest.raises(OSError, match="processes use"):
            RequestIdFile(str(tmp_path), NAME, BOOT)
    RequestIdFile(str(tmp_path), NAME, BOOT)


def test_the_size_of_the_file_is_fixed(tmp_path: pathlib.Path) -> None:
    file = RequestIdFile(str(tmp_path), NAME, BOOT)
    request_ids = file.request_ids()
    for number in range(20_000):
        request_ids.claim(f"{number:x}", False)
        request_ids.record_execution(f"{number:x}")
        request_ids.release(f"{number:x}", may_have_executed=True)
    assert file.path.stat().st_size == FILE_BYTES


def test_a_folder_that_is_not_there_is_an_error(tmp_path: pathlib.Path) -> None:
    with pytest.raises(FileNotFoundError):
        RequestIdFile(str(tmp_path / "absent"), NAME, BOOT)
