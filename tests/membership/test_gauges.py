"""Gauges come back as they were packed, and near to the tokens they stand for."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from pearhill.membership import gauges


class TestGauges(unittest.TestCase):
    @given(st.binary(max_size=900), st.floats(0, 1), st.integers(0, 1 << 30))
    @examples(max_examples=150, deadline=None, database=None, derandomize=True)
    def test_gauges_come_back_and_are_near(self, codes, thin, seed):
        rng = random.Random(seed)
        codes = bytes(c if rng.random() < thin else 0 for c in codes)
        self.assertEqual(gauges.unpack(gauges.pack(codes), len(codes)), codes)
        self.assertLessEqual(len(gauges.pack(codes)), len(codes) + 1)
        with self.assertRaises(ValueError):
            gauges.unpack(gauges.pack(codes), len(codes) + 8)
        tokens = rng.uniform(16, 4e8)
        self.assertAlmostEqual(gauges.decode(gauges.encode(tokens)) / tokens, 1, delta=0.036)
        self.assertEqual((gauges.encode(0), gauges.encode(1), gauges.encode(1 << 60)), (0, 1, 255))
