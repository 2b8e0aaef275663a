"""Notes between two processes of one dispatcher, and what follows from them, free of I/O."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearhill.lifecycle.overrides import OperatorOverrides, Override
from pearhill.lifecycle.takeover import (
    ALIVE_WITHIN_US,
    MESSAGE_RETENTION_US,
    READY_WITHIN_US,
    REWRITE_INTERVAL_US,
    Takeover,
)
from pearhill.lifecycle.takeover_message import TakeoverMessage, TakeoverMessageError, decode
from tests.driver import S

NOTE = TakeoverMessage(
    "n3", 5 * S, 6 * S, True, False, False, {7: Override(5 * S, True, 4 * S)}, Override(6 * S, False, 6 * S)
)
WISH = st.builds(Override, st.integers(0, 2**60), st.booleans(), st.integers(0, 2**60))


@given(
    st.builds(
        TakeoverMessage,
        st.text(),
        st.integers(0, 2**60),
        st.integers(0, 2**60),
        st.booleans(),
        st.booleans(),
        st.booleans(),
        st.dictionaries(st.integers(0, 2**64 - 1), WISH, max_size=5),
        st.none() | WISH,
    )
)
def test_a_note_is_read_as_it_was_written(note):
    assert decode(note.encode(), note.name) == note


def test_a_note_cut_at_any_byte_tells_nothing():
    data = NOTE.encode()
    for cut in range(len(data)):
        with pytest.raises(TakeoverMessageError):
            decode(data[:cut], "n3")
    for at in range(0, len(data), 3):
        with pytest.raises(TakeoverMessageError):
            decode(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :], "n3")


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"", "no note"),
        (b"PK\x03\x04", "no note"),
        (b"pearhill-note 2 00000000\n{}", "of another version"),
        (replace(NOTE, name="n4").encode(), "of another dispatcher"),
        (replace(NOTE, down={n: Override(1, True, 1) for n in range(10_001)}).encode(), "too many"),
    ],
)
def test_what_is_no_note_of_ours_says_why(data, why):
    with pytest.raises(TakeoverMessageError, match=why):
        decode(data, "n3")


def one(start: int = 9 * S) -> Takeover:
    return Takeover("n3", start, OperatorOverrides())


def test_a_successor_knows_its_elder_and_the_elder_its_successor():
    new, old = one(9 * S), one(5 * S)
    elder, successor = replace(NOTE, written_at=9 * S), replace(NOTE, started_at=9 * S, written_at=9 * S, serving=False)
    new.receive(9 * S, [elder])
    assert (new.process_count, new.predecessor_alive, new.predecessor_serving, new.succeeded) == (2, True, True, False)
    old.receive(9 * S, [successor])
    assert (old.process_count, old.succeeded) == (2, False)  # until it serves, the elder goes on
    old.receive(9 * S, [replace(successor, serving=True)])
    assert old.succeeded and not old.predecessor_alive
    for gone in (
        replace(successor, serving=True, ended=True),
        replace(successor, serving=True, written_at=9 * S - ALIVE_WITHIN_US),
    ):
        old.receive(9 * S, [gone])
        assert (old.process_count, old.succeeded) == (1, False)  # it was killed: the elder takes its clients back


def test_the_elder_gets_the_time_to_answer_but_the_yes_comes_in_time():
    new = one()
    new.receive(9 * S, [replace(NOTE, written_at=9 * S)])
    assert (
        not new.reports_ready(0)
        and not new.reports_ready(READY_WITHIN_US - 1)
        and new.reports_ready(READY_WITHIN_US)
        and READY_WITHIN_US < 6 * S
    )
    new.receive(9 * S, [replace(NOTE, written_at=9 * S, quiet=True)])
    assert new.reports_ready(0)
    new.receive(9 * S, [])
    assert new.reports_ready(0)


def test_what_is_out_outlives_every_process_and_a_drain_only_its_own():
    drained = replace(NOTE, drain=Override(6 * S, True, 6 * S))
    for now, out, drain in (
        (6 * S, True, True),
        (6 * S + ALIVE_WITHIN_US, True, False),
        (6 * S + MESSAGE_RETENTION_US + 1, False, False),
    ):
        new = Takeover("n3", now, OperatorOverrides())
        assert new.receive(now, [drained]) == ({7} if out else set(), drain)
        assert (new.overrides.is_down(7), new.overrides.drain is not None) == (out, drain)
        assert new.expired(drained, now) == (not drain)  # a note that nobody will write again can go


def test_an_elder_leaves_its_successors_note_alone():
    old = one(4 * S)
    assert not old.expired(NOTE, 6 * S + ALIVE_WITHIN_US + 1)


def test_a_note_is_written_when_it_says_something_new_and_with_each_beat():
    new = one()
    assert new.message(9 * S, False, True)
    assert new.message(9 * S + 1, False, True) is None
    assert new.message(9 * S + 2, True, True) and new.message(9 * S + 3, True, False)
    new.overrides.set_down(3, 9 * S, True)
    told = new.message(9 * S + 4, True, False)
    assert told and told.down[3].on
    new.overrides.set_down(4, 9 * S, True)
    assert told.down.keys() == {3}  # it is what was written, not what has come since
    assert new.message(9 * S + 5, True, False)
    assert new.message(9 * S + 5 + REWRITE_INTERVAL_US, True, False)
