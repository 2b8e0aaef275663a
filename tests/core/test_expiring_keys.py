"""Keys are found until they expire, and a table that is too full forgets what would expire first."""

import random

from pearhill.core.expiring_keys import RECORDS_PER_BUCKET, ExpiringKeys, table_bytes

BUCKETS = 4
NOW = 1_000


def table(buckets: int = BUCKETS) -> ExpiringKeys:
    return ExpiringKeys(memoryview(bytearray(table_bytes(buckets))))


def test_a_key_is_there_until_it_expires_or_is_removed() -> None:
    keys = table()
    keys.add(7, NOW + 10, NOW)
    keys.add(7 + BUCKETS, NOW + 20, NOW)
    assert [keys.contains(7, NOW + 9), keys.contains(7, NOW + 10), keys.contains(8, NOW)] == [True, False, False]
    keys.remove(7 + BUCKETS)
    assert [keys.contains(7, NOW), keys.contains(7 + BUCKETS, NOW)] == [True, False]


def test_a_full_bucket_loses_an_expired_key_first_and_then_the_one_that_would_expire_first() -> None:
    keys = table(buckets=1)
    for key in range(1, RECORDS_PER_BUCKET + 1):
        keys.add(key, NOW + key, NOW)
    keys.add(100, NOW + 100, NOW + 3)
    lost = [key for key in range(1, RECORDS_PER_BUCKET + 1) if not keys.contains(key, NOW)]
    assert len(lost) == 1
    assert lost[0] <= 3
    for key in (101, 102, 103):
        keys.add(key, NOW + 100, NOW + 3)
    assert [key for key in range(4, RECORDS_PER_BUCKET + 1) if not keys.contains(key, NOW)] == [4]
    assert all(keys.contains(key, NOW) for key in (100, 101, 102, 103))


def test_two_views_of_one_buffer_agree_whatever_is_added_and_removed() -> None:
    """Compared with a dictionary, for no more keys than every bucket can hold."""
    seed = random.randrange(1 << 32)
    print(f"seed {seed}")
    rng = random.Random(seed)
    buffer = memoryview(bytearray(table_bytes(BUCKETS)))
    writer = ExpiringKeys(buffer)
    reader = ExpiringKeys(buffer)
    universe = [bucket + BUCKETS * n for bucket in range(1, BUCKETS + 1) for n in range(RECORDS_PER_BUCKET)]
    expected: dict[int, int] = {}
    for now in range(NOW, NOW + 2_000):
        key = rng.choice(universe)
        if rng.random() < 0.3:
            writer.remove(key)
            expected.pop(key, None)
        else:
            expected[key] = now + rng.randrange(1, 100)
            writer.add(key, expected[key], now)
        sample = rng.choice(universe)
        assert reader.contains(sample, now) == (expected.get(sample, 0) > now)
