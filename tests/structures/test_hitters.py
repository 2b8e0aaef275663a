"""Heavy hitters against a plain count."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from pearhill.structures.heavy_hitters import HeavyHitters


class Hitters(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 50)), max_size=200), st.integers(1, 12))
    def test_counts_are_never_too_low_and_too_high_by_no_more_than_told(self, stream, size):
        sketch, true = HeavyHitters[int](size), Counter[int]()
        for key, weight in stream:
            sketch.add(key, weight)
            true[key] += weight
        self.assertLessEqual(len(sketch), size)
        self.assertEqual(sketch.total, true.total())
        kept = {hitter.key: hitter for hitter in sketch.top(size)}
        for key, hitter in kept.items():
            self.assertTrue(hitter.weight - hitter.error <= true[key] <= hitter.weight)
        for key, count in true.items():
            if count * size > true.total():
                self.assertIn(key, kept)
        self.assertEqual([h.weight for h in sketch.top(size)], sorted((h.weight for h in kept.values()), reverse=True))

    def test_old_weight_gives_way(self):
        sketch = HeavyHitters[str](2)
        sketch.add("old", 1_000)
        for _ in range(12):
            sketch.halve()
            sketch.add("new", 10)
        self.assertEqual(sketch.top(1)[0].key, "new")
        with self.assertRaises(ValueError):
            HeavyHitters(0)
