"""Decisions from the messages between two processes of one dispatcher, without I/O."""

from dataclasses import replace

from pearhill.lifecycle.overrides import OperatorOverrides, Override
from pearhill.lifecycle.takeover import (
    ALIVE_WITHIN_US,
    MESSAGE_RETENTION_US,
    READY_WITHIN_US,
    REWRITE_INTERVAL_US,
    Takeover,
)
from tests.driver import S
from tests.lifecycle.test_takeover_message import MESSAGE


def takeover(started_at: int = 9 * S) -> Takeover:
    return Takeover("n3", started_at, OperatorOverrides())


def test_predecessor_and_successor_detect_each_other() -> None:
    new, old = takeover(9 * S), takeover(5 * S)
    predecessor, successor = (
        replace(MESSAGE, written_at=9 * S),
        replace(MESSAGE, started_at=9 * S, written_at=9 * S, serving=False),
    )
    new.receive(9 * S, [predecessor])
    assert (new.process_count, new.predecessor_alive, new.predecessor_serving, new.has_successor) == (
        2,
        True,
        True,
        False,
    )
    old.receive(9 * S, [successor])
    assert (old.process_count, old.has_successor) == (
        2,
        False,
    )  # the predecessor keeps accepting until the successor serves
    old.receive(9 * S, [replace(successor, serving=True)])
    assert old.has_successor
    assert not old.predecessor_alive
    for exited in (
        replace(successor, serving=True, ended=True),
        replace(successor, serving=True, written_at=9 * S - ALIVE_WITHIN_US),
    ):
        old.receive(9 * S, [exited])
        assert (old.process_count, old.has_successor) == (
            1,
            False,
        )  # the successor has exited: the predecessor accepts clients again


def test_readiness_waits_for_the_predecessor_but_not_beyond_the_limit() -> None:
    new = takeover()
    new.receive(9 * S, [replace(MESSAGE, written_at=9 * S)])
    assert not new.reports_ready(0)
    assert not new.reports_ready(READY_WITHIN_US - 1)
    assert new.reports_ready(READY_WITHIN_US)
    assert READY_WITHIN_US < 6 * S
    new.receive(9 * S, [replace(MESSAGE, written_at=9 * S, quiet=True)])
    assert new.reports_ready(0)
    new.receive(9 * S, [])
    assert new.reports_ready(0)


def test_down_overrides_outlive_their_process_and_a_drain_ends_with_it() -> None:
    drained = replace(MESSAGE, drain=Override(6 * S, True, 6 * S))
    for now, down, drain in (
        (6 * S, True, True),
        (6 * S + ALIVE_WITHIN_US, True, False),
        (6 * S + MESSAGE_RETENTION_US + 1, False, False),
    ):
        new = Takeover("n3", now, OperatorOverrides())
        assert new.receive(now, [drained]) == ({7} if down else set(), drain)
        assert (new.overrides.is_down(7), new.overrides.drain is not None) == (down, drain)
        assert new.is_expired(drained, now) == (not drain)  # a message whose process has exited can be deleted


def test_a_predecessor_never_deletes_its_successors_message() -> None:
    old = takeover(4 * S)
    assert not old.is_expired(MESSAGE, 6 * S + ALIVE_WITHIN_US + 1)


def test_a_message_is_written_when_it_changes_and_at_each_interval() -> None:
    new = takeover()
    assert new.message(9 * S, False, True)
    assert new.message(9 * S + 1, False, True) is None
    assert new.message(9 * S + 2, True, True)
    assert new.message(9 * S + 3, True, False)
    new.overrides.set_down(3, 9 * S, True)
    written = new.message(9 * S + 4, True, False)
    assert written
    assert written.down[3].on
    new.overrides.set_down(4, 9 * S, True)
    assert written.down.keys() == {3}  # a written message does not change with later overrides
    assert new.message(9 * S + 5, True, False)
    assert new.message(9 * S + 5 + REWRITE_INTERVAL_US, True, False)
