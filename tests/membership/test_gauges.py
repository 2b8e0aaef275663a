"""Packed gauges unpack to the same codes, and codes are close to the tokens that they stand for."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from pearhill.membership import gauges


@given(st.binary(max_size=900), st.floats(0, 1), st.integers(0, 1 << 30))
@examples(max_examples=150, deadline=None, database=None, derandomize=True)
def test_gauges_survive_packing_and_are_close_to_the_tokens(codes: bytes, density: float, seed: int) -> None:
    rng = random.Random(seed)
    codes = bytes(c if rng.random() < density else 0 for c in codes)
    assert gauges.unpack(gauges.pack(codes), len(codes)) == codes
    assert len(gauges.pack(codes)) <= len(codes) + 1
    with pytest.raises(ValueError, match=r"bytes are not \d+ packed gauges"):
        gauges.unpack(gauges.pack(codes), len(codes) + 8)
    tokens = rng.uniform(16, 4e8)
    assert gauges.decode(gauges.encode(tokens)) / tokens == pytest.approx(1, abs=0.036)
    assert (gauges.encode(0), gauges.encode(1), gauges.encode(1 << 60)) == (0, 1, 255)
