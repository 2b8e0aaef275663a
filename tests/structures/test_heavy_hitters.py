"""Heavy hitters, compared with exact counts."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearhill.structures.heavy_hitters import HeavyHitters


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 50)), max_size=200), st.integers(1, 12))
def test_weights_are_never_too_low_and_too_high_by_no_more_than_their_error(
    stream: list[tuple[int, int]], size: int
) -> None:
    sketch = HeavyHitters[int](size)
    true = Counter[int]()
    for key, weight in stream:
        sketch.add(key, weight)
        true[key] += weight
    assert len(sketch) <= size
    assert sketch.total == true.total()
    top = sketch.top(size)
    retained = {hitter.key: hitter for hitter in top}
    for key, hitter in retained.items():
        assert hitter.weight - hitter.error <= true[key] <= hitter.weight
    for key, count in true.items():
        if count * size > true.total():
            assert key in retained
    assert [hitter.weight for hitter in top] == sorted((hitter.weight for hitter in retained.values()), reverse=True)


def test_recent_weight_outweighs_halved_old_weight() -> None:
    sketch = HeavyHitters[str](2)
    sketch.add("old", 1_000)
    for _ in range(12):
        sketch.halve()
        sketch.add("new", 10)
    assert sketch.top(1)[0].key == "new"


def test_a_size_of_zero_is_rejected() -> None:
    with pytest.raises(ValueError, match="size must be at least 1"):
        HeavyHitters(0)
