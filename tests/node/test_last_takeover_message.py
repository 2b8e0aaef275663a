"""The last message of a process in a takeover is the one that says that it has ended."""

import pathlib
import threading
from typing import Any
from unittest.mock import Mock

import pytest

from pearhill.durable.message_folder import MessageFolder
from pearhill.lifecycle.overrides import OperatorOverrides
from pearhill.lifecycle.takeover_message import decode
from pearhill.node.takeover import TakeoverTask

NAME = "n1"
NOW = 10**15


def make_task(folder: pathlib.Path) -> TakeoverTask:
    node = Mock(accepting=True, all_answered=False)
    node.deadlines.clock = lambda: NOW
    node.override_control.overrides = OperatorOverrides()
    node.pool.spawn = lambda work: (work.close(), Mock())[1]
    return TakeoverTask(node, str(folder), NAME)


@pytest.mark.parametrize("thread_is_writing", [True, False])
def test_a_message_of_a_thread_is_not_written_after_the_last_one(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, thread_is_writing: bool
) -> None:
    """Such a message overwrote the last one: the process counted as alive for 1.5 s after its exit, and the next start
    took over its drain. `thread_is_writing`: the thread has begun to write when the process ends, or has not."""
    task = make_task(tmp_path)
    earlier = task.takeover.message(NOW + 1_000_000, serving=True, quiet=False)
    began = threading.Event()
    goes_on = threading.Event()
    real_write = MessageFolder.write

    def slow_write(self: MessageFolder, data: bytes) -> Any:
        if threading.current_thread() is thread:
            began.set()
            goes_on.wait(20)
        real_write(self, data)

    def run() -> None:
        if not thread_is_writing:
            goes_on.wait(20)
        task._exchange(earlier)

    thread = threading.Thread(target=run)
    monkeypatch.setattr(MessageFolder, "write", slow_write)
    thread.start()
    if thread_is_writing:
        assert began.wait(20)
    ending = threading.Thread(target=task.end)
    ending.start()
    if not thread_is_writing:
        ending.join()
    goes_on.set()
    ending.join()
    thread.join()
    assert decode(task.messages.own_path.read_bytes(), NAME).ended
