"""The stored form of the message between two processes of one dispatcher."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearhill.lifecycle.overrides import Override
from pearhill.lifecycle.takeover_message import TakeoverMessage, TakeoverMessageError, decode
from tests.driver import S

MESSAGE = TakeoverMessage(
    "n3", 5 * S, 6 * S, True, False, False, {7: Override(5 * S, True, 4 * S)}, Override(6 * S, False, 6 * S)
)


OVERRIDES = st.builds(Override, st.integers(0, 2**60), st.booleans(), st.integers(0, 2**60))


@given(
    st.builds(
        TakeoverMessage,
        st.text(),
        st.integers(0, 2**60),
        st.integers(0, 2**60),
        st.booleans(),
        st.booleans(),
        st.booleans(),
        st.dictionaries(st.integers(0, 2**64 - 1), OVERRIDES, max_size=5),
        st.none() | OVERRIDES,
    )
)
def test_a_message_is_decoded_as_it_was_encoded(message: TakeoverMessage) -> None:
    assert decode(message.encode(), message.name) == message


def test_a_message_cut_or_changed_at_any_byte_is_rejected() -> None:
    data = MESSAGE.encode()
    for cut in range(len(data)):
        with pytest.raises(TakeoverMessageError):
            decode(data[:cut], "n3")
    for at in range(0, len(data), 3):
        with pytest.raises(TakeoverMessageError):
            decode(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :], "n3")


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"", "not a takeover message"),
        (b"PK\x03\x04", "not a takeover message"),
        (b"pearhill-note 2 00000000\n{}", "of another version"),
        (replace(MESSAGE, name="n4").encode(), "of another dispatcher"),
        (replace(MESSAGE, down={n: Override(1, True, 1) for n in range(10_001)}).encode(), "too many overrides"),
    ],
)
def test_an_error_says_why_a_message_is_rejected(data: bytes, why: str) -> None:
    with pytest.raises(TakeoverMessageError, match=why):
        decode(data, "n3")
